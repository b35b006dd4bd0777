//! The deploy file of a repository: which program runs on the boxes, and with which settings.

use {
  super::{
    error::{Error, Result},
    settings_template::SettingsTemplate,
  },
  serde::Deserialize,
  serde_json::Value,
  std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
  },
};

/// The deploy file in a repository.
const DEPLOY_PATH: &str = "deploy/system.toml";
/// Where a deployed process finds its settings.
const SETTINGS_PATH: &str = "/etc/rillford/boot.yaml";
/// The class of the boxes, and what they serve.
const FRONT: &str = "front";
/// Port of the metrics where the deploy file names none.
const METRICS_PORT: u16 = 9_102;

#[derive(Deserialize)]
struct Document {
  #[serde(default)]
  roles: BTreeMap<String, RoleDocument>,
}

#[derive(Deserialize)]
struct RoleDocument {
  run: String,
  template: Option<PathBuf>,
  metrics: Option<String>,
  on: String,
  #[serde(default)]
  serves: Vec<String>,
  #[serde(default)]
  env: BTreeMap<String, String>,
}

/// What a repository's deploy file says about the role that carries the traffic.
#[derive(Clone, Debug)]
pub struct DeployFile {
  /// The words after the program.
  arguments: Vec<SettingsTemplate>,
  /// The settings file; `None` for all fields as they are.
  template: Option<SettingsTemplate>,
  variables: Vec<(String, SettingsTemplate)>,
  metrics_port: u16,
}

impl DeployFile {
  /// Reads `deploy/system.toml` of a repository, and the settings template that it names. Fails if a file can't be read, or is
  /// not valid, or if no role on the front machines serves callers.
  pub fn read(repository: &Path) -> Result<Self> {
    let path = repository.join(DEPLOY_PATH);
    let invalid = |reason: String| Error::Deploy {
      path: path.clone(),
      reason,
    };
    let document: Document =
      toml::from_str(&read_text(&path)?).map_err(|error| invalid(error.to_string()))?;
    let mut roles = document.roles.into_values();
    let role = roles
      .find(|role| role.on == FRONT && role.serves.iter().any(|what| what == FRONT))
      .ok_or_else(|| invalid("no role on front machines serves front".into()))?;
    let template = role.template.as_ref().map(|of| {
      let text = read_text(&repository.join(of))?;
      SettingsTemplate::parse(&text)
    });
    let variables = role.env.iter().map(|(name, text)| {
      let template = SettingsTemplate::parse(text)?;
      Ok((name.clone(), template))
    });
    Ok(Self {
      arguments: role
        .run
        .split_whitespace()
        .skip(1)
        .map(SettingsTemplate::parse)
        .collect::<Result<_>>()?,
      template: template.transpose()?,
      variables: variables.collect::<Result<_>>()?,
      metrics_port: metrics_port(role.metrics.as_deref()).map_err(invalid)?,
    })
  }

  /// The text of a settings file.
  pub fn settings(&self, values: &Value) -> String {
    match &self.template {
      Some(template) => template.render(values),
      // JSON is YAML.
      None => values.to_string(),
    }
  }

  /// The words after the program, with `settings` in the place of the path of a deployed settings file. Fails if a value that
  /// is filled in holds a blank.
  pub fn arguments(&self, settings: &Path, values: &Value) -> Result<Vec<String>> {
    let path = settings.to_string_lossy();
    let words = self.arguments.iter().map(|template| {
      let word = template.render(values);
      if word.contains(char::is_whitespace) {
        return Err(Error::Template(format!(
          "a word of run holds a blank: \"{word}\""
        )));
      }
      Ok(word.replace(SETTINGS_PATH, &path))
    });
    words.collect()
  }

  /// Environment variables of a process, names first.
  pub fn variables(&self, values: &Value) -> Vec<(String, String)> {
    let variables = self.variables.iter();
    variables
      .map(|(name, template)| (name.clone(), template.render(values)))
      .collect()
  }

  /// Port of a box's metrics.
  pub fn metrics_port(&self) -> u16 {
    self.metrics_port
  }
}

fn read_text(path: &Path) -> Result<String> {
  std::fs::read_to_string(path).map_err(|source| Error::File {
    path: path.into(),
    source,
  })
}

/// The port of `PORT/PATH`.
fn metrics_port(metrics: Option<&str>) -> std::result::Result<u16, String> {
  let Some(metrics) = metrics else {
    return Ok(METRICS_PORT);
  };
  let (port, _) = metrics.split_once('/').unwrap_or((metrics, ""));
  let port = port.parse();
  port.map_err(|error| format!("metrics \"{metrics}\": {error}"))
}
