//! `rillford check`: validates files offline and reports all errors at once.

use {
  crate::{
    Error, Result,
    configuration::parse_document,
    gateway::GatewaySettings,
    policy::{PolicyError, Program},
    settings::{Settings, SettingsError},
  },
  bpaf::Bpaf,
  std::{
    fs,
    path::{Path, PathBuf},
  },
};

/// Check settings, policies and configuration documents without running anything
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Check {
  /// Settings file to check; may be given more than once
  #[bpaf(long, argument("FILE"))]
  settings: Vec<PathBuf>,
  /// Settings file of a gateway box to check, with its policy; may be given more than once
  #[bpaf(long, argument("FILE"))]
  gateway: Vec<PathBuf>,
  /// Policy program to check; may be given more than once
  #[bpaf(long, argument("FILE"))]
  policy: Vec<PathBuf>,
  /// Platform document (JSON) to check; may be given more than once
  #[bpaf(long, argument("FILE"))]
  platform: Vec<PathBuf>,
  /// Organisation document (JSON) to check; may be given more than once
  #[bpaf(long, argument("FILE"))]
  organisation: Vec<PathBuf>,
}

fn read_file(path: &Path) -> Result<String> {
  fs::read_to_string(path).map_err(|source| Error::Read {
    path: path.into(),
    source,
  })
}

fn policy_errors(path: &Path) -> Result<Vec<SettingsError>> {
  let Err(error) = Program::compile(&read_file(path)?) else {
    return Ok(Vec::new());
  };
  let line = match &error {
    PolicyError::Parse { line, .. } | PolicyError::Run { line, .. } => *line,
    PolicyError::Missing(_) | PolicyError::ReturnValue { .. } => 1,
  };
  Ok(vec![SettingsError {
    file: path.into(),
    key: "policy".into(),
    line,
    message: error.to_string(),
  }])
}

fn document_errors(path: &Path, key: &str) -> Result<Vec<SettingsError>> {
  let Err(error) = parse_document(&key.into(), &read_file(path)?) else {
    return Ok(Vec::new());
  };
  let line = match &error {
    crate::configuration::ConfigurationError::Form { line, .. } => *line,
    _ => 1,
  };
  Ok(vec![SettingsError {
    file: path.into(),
    key: key.into(),
    line,
    message: error.to_string(),
  }])
}

fn gateway_errors(path: &Path) -> Result<Vec<SettingsError>> {
  match GatewaySettings::load(path).and_then(|settings| settings.load_policy()) {
    Ok(_) => Ok(Vec::new()),
    Err(Error::Settings(errors)) => Ok(errors),
    Err(error) => Err(error),
  }
}

fn settings_errors(path: &Path) -> Result<Vec<SettingsError>> {
  match Settings::load(path) {
    Ok(_) => Ok(Vec::new()),
    Err(Error::Settings(errors)) => Ok(errors),
    Err(error) => Err(error),
  }
}

impl Check {
  pub(crate) fn run(self) -> Result {
    let files = self.gateway.len()
      + self.settings.len()
      + self.policy.len()
      + self.platform.len()
      + self.organisation.len();
    if files == 0 {
      let message =
        "nothing to check: give --settings, --gateway, --policy, --platform or --organisation";
      return Err(Error::Usage(message.into()));
    }
    let mut errors = Vec::new();
    for path in &self.settings {
      errors.extend(settings_errors(path)?);
    }
    for path in &self.gateway {
      errors.extend(gateway_errors(path)?);
    }
    for path in &self.policy {
      errors.extend(policy_errors(path)?);
    }
    for path in &self.platform {
      errors.extend(document_errors(path, "platform")?);
    }
    for path in &self.organisation {
      errors.extend(document_errors(path, "organisations/check")?);
    }
    if !errors.is_empty() {
      return Err(Error::Settings(errors));
    }
    println!("{files} files are valid");
    Ok(())
  }
}
