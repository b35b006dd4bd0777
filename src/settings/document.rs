//! Parses a settings file section by section, so that all errors are reported at once.

use {
  super::{
    Administration, BoxSettings, EndpointKindValue, EndpointSettings, Limits, Listen, LogSettings,
    Metrics, PeerKeys, Platform, Settings, SettingsError, Targets,
  },
  crate::{Error, Result},
  serde::de::DeserializeOwned,
  std::{
    collections::BTreeSet,
    ops::Range,
    path::{Path, PathBuf},
  },
  toml::{
    Spanned,
    de::{DeTable, DeValue, ValueDeserializer},
  },
};

const SECTIONS: [&str; 10] = [
  "administration",
  "box",
  "endpoint",
  "limits",
  "listen",
  "log",
  "metrics",
  "peers",
  "platform",
  "targets",
];

const HASH_HEX_DIGITS: usize = 64;
/// The safety margin of a lease, a quarter of it, must be longer than the timeout of a role command.
const MIN_LEASE_MS: u64 = 2_500;
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

struct SettingsParser<'a> {
  file: &'a Path,
  text: &'a str,
  errors: Vec<SettingsError>,
}

/// A parsed section and its position, for errors found by later checks.
struct Section<T> {
  value: T,
  span: Range<usize>,
}

impl SettingsParser<'_> {
  fn add_error(&mut self, span: &Range<usize>, key: impl Into<String>, message: impl Into<String>) {
    let before = self.text.get(..span.start).unwrap_or_default();
    self.errors.push(SettingsError {
      file: self.file.into(),
      key: key.into(),
      line: before.matches('\n').count() + 1,
      message: message.into(),
    });
  }

  /// The span of a key within a section, or of the section if it has no such key.
  fn key_span(&self, section: &Range<usize>, key: &str) -> Range<usize> {
    let text = self.text.get(section.start..).unwrap_or_default();
    let mut start = section.start;
    for (index, line) in text.split_inclusive('\n').enumerate() {
      if index > 0 && line.starts_with('[') {
        break;
      }
      let is_key = line.trim_start().strip_prefix(key);
      if is_key.is_some_and(|rest| rest.trim_start().starts_with('=')) {
        return start..start + line.len();
      }
      start += line.len();
    }
    section.clone()
  }

  fn parse_section<T: DeserializeOwned>(
    &mut self,
    name: &str,
    value: &Spanned<DeValue>,
  ) -> Option<Section<T>> {
    let span = value.span();
    match T::deserialize(ValueDeserializer::from(value.clone())) {
      Ok(value) => Some(Section { value, span }),
      Err(error) => {
        let span = error.span().unwrap_or(span);
        let message = error.message().to_string();
        self.add_error(&span, name, message);
        None
      }
    }
  }

  fn required<T: DeserializeOwned>(&mut self, table: &DeTable, name: &str) -> Option<Section<T>> {
    match table.get(name) {
      Some(value) => self.parse_section(name, value),
      None => {
        self.add_error(&(0..0), name, format!("section [{name}] is missing"));
        None
      }
    }
  }

  fn optional<T: DeserializeOwned + Default>(&mut self, table: &DeTable, name: &str) -> Option<T> {
    match table.get(name) {
      Some(value) => self.parse_section(name, value).map(|section| section.value),
      None => Some(T::default()),
    }
  }

  fn endpoints(&mut self, table: &DeTable) -> Vec<Section<EndpointSettings>> {
    let Some(value) = table.get("endpoint") else {
      self.add_error(&(0..0), "endpoint", "no [[endpoint]] is given");
      return Vec::new();
    };
    let DeValue::Array(items) = value.get_ref() else {
      self.add_error(
        &value.span(),
        "endpoint",
        "write [[endpoint]], with double brackets",
      );
      return Vec::new();
    };
    items
      .iter()
      .filter_map(|item| self.parse_section("endpoint", item))
      .collect()
  }

  fn check_endpoints(&mut self, endpoints: &[Section<EndpointSettings>]) {
    let mut names = BTreeSet::new();
    for Section { value, span } in endpoints {
      if !names.insert(value.name.clone()) {
        let span = self.key_span(span, "name");
        let message = format!("`{}` is given twice", value.name);
        self.add_error(&span, "endpoint.name", message);
      }
      if !is_url(&value.url) {
        let span = self.key_span(span, "url");
        let message = format!("`{}` is not of the form http://ADDRESS:PORT", value.url);
        self.add_error(&span, "endpoint.url", message);
      }
      if value.seats == 0 {
        let span = self.key_span(span, "seats");
        self.add_error(&span, "endpoint.seats", "must be at least 1");
      }
      match value.kind {
        EndpointKindValue::Engine => {
          if value.role.is_none() {
            self.add_error(
              span,
              "endpoint.role",
              "an engine needs `prefill` or `decode`",
            );
          }
          if value.models.is_empty() {
            self.add_error(
              span,
              "endpoint.models",
              "an engine needs at least one model",
            );
          }
        }
        EndpointKindValue::Service => {
          if value.service.is_none() {
            self.add_error(span, "endpoint.service", "a plain service needs its name");
          }
        }
      }
    }
  }

  fn check_platform(&mut self, platform: Option<&Section<Platform>>) {
    let Some(Section { value, span }) = platform else {
      return;
    };
    for (key, url) in [
      ("key_value", &value.key_value),
      ("box_list", &value.box_list),
    ] {
      if !is_url(url) {
        let span = self.key_span(span, key);
        let message = format!("`{url}` is not of the form http://ADDRESS:PORT");
        self.add_error(&span, format!("platform.{key}"), message);
      }
    }
    if value.lease_ms < MIN_LEASE_MS {
      let span = self.key_span(span, "lease_ms");
      let message = format!(
        "must be at least {MIN_LEASE_MS}: its margin must be longer than a role command takes"
      );
      self.add_error(&span, "platform.lease_ms", message);
    }
  }

  fn check_identity(&mut self, identity: Option<&Section<BoxSettings>>) {
    let Some(Section { value, span }) = identity else {
      return;
    };
    let is_label = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    for (key, name) in [("name", &value.name), ("hall", &value.hall)] {
      if name.is_empty() || !name.chars().all(is_label) {
        let span = self.key_span(span, key);
        let message = format!("`{name}` must be lower-case letters, digits and dashes");
        self.add_error(&span, format!("box.{key}"), message);
      }
    }
  }

  fn check_keys(&mut self, keys: Option<&Section<Administration>>) {
    let Some(Section { value, span }) = keys else {
      return;
    };
    for key in &value.keys_sha256 {
      let is_hash = key.len() == HASH_HEX_DIGITS && key.chars().all(|c| c.is_ascii_hexdigit());
      if !is_hash {
        let span = self.key_span(span, "keys_sha256");
        let message = "each must be a SHA-256 in 64 hexadecimal digits";
        self.add_error(&span, "administration.keys_sha256", message);
      }
    }
  }

  fn check_log(&mut self, table: &DeTable, log: Option<&LogSettings>) {
    let Some(level) = log.and_then(|log| log.level.clone()) else {
      return;
    };
    if !LOG_LEVELS.contains(&level.as_ref()) {
      let span = table.get("log").map_or(0..0, Spanned::span);
      let span = self.key_span(&span, "level");
      let message = format!("`{level}` is none of {}", LOG_LEVELS.join(", "));
      self.add_error(&span, "log.level", message);
    }
  }
}

fn is_url(text: &str) -> bool {
  text
    .parse::<http::Uri>()
    .is_ok_and(|uri| uri.scheme_str() == Some("http") && uri.authority().is_some())
}

impl Settings {
  /// Loads and validates a settings file.
  pub fn load(file: &Path) -> Result<Self> {
    let text = std::fs::read_to_string(file).map_err(|source| Error::Read {
      path: file.into(),
      source,
    })?;
    Self::parse(file, &text)
  }

  /// Parses and validates the text of a settings file; the error lists everything that is wrong.
  ///
  /// ```
  /// use rillford::{settings::Settings, Error};
  /// let error = Settings::parse("box.toml".as_ref(), "[boxes]\n").unwrap_err();
  /// assert!(error.to_string().contains("box.toml:1: boxes: unknown section"));
  /// ```
  pub fn parse(file: &Path, text: &str) -> Result<Self> {
    let mut parser = SettingsParser {
      errors: Vec::new(),
      file,
      text,
    };
    let table = match DeTable::parse(text) {
      Ok(table) => table,
      Err(error) => {
        let span = error.span().unwrap_or(0..0);
        parser.add_error(&span, "syntax", error.message());
        return Err(Error::Settings(parser.errors));
      }
    };
    let table = table.get_ref();
    for key in table.keys() {
      if !SECTIONS.contains(&key.get_ref().as_ref()) {
        let message = format!("unknown section; known are {}", SECTIONS.join(", "));
        parser.add_error(&key.span(), key.get_ref().as_ref(), message);
      }
    }
    let identity = parser.required::<BoxSettings>(table, "box");
    let listen = parser.required::<Listen>(table, "listen");
    let peers = parser.required::<PeerKeys>(table, "peers");
    let platform = parser.required::<Platform>(table, "platform");
    let administration = parser.required::<Administration>(table, "administration");
    let limits = parser.optional::<Limits>(table, "limits");
    let targets = parser.optional::<Targets>(table, "targets");
    let log = parser.optional::<LogSettings>(table, "log");
    let metrics = parser.optional::<Metrics>(table, "metrics");
    let endpoints = parser.endpoints(table);
    parser.check_identity(identity.as_ref());
    parser.check_endpoints(&endpoints);
    parser.check_platform(platform.as_ref());
    parser.check_keys(administration.as_ref());
    parser.check_log(table, log.as_ref());
    let errors = parser.errors;
    match (
      identity,
      listen,
      peers,
      platform,
      administration,
      limits,
      targets,
      log,
      metrics,
    ) {
      (
        Some(identity),
        Some(listen),
        Some(peers),
        Some(platform),
        Some(administration),
        Some(limits),
        Some(targets),
        Some(log),
        Some(metrics),
      ) if errors.is_empty() => Ok(Self {
        administration: administration.value,
        endpoints: endpoints.into_iter().map(|section| section.value).collect(),
        identity: identity.value,
        limits,
        listen: listen.value,
        log,
        metrics,
        peers: resolve_paths(file, peers.value),
        platform: platform.value,
        targets,
      }),
      _ => Err(Error::Settings(errors)),
    }
  }
}

/// Resolves the paths relative to the folder of the settings file.
fn resolve_paths(file: &Path, keys: PeerKeys) -> PeerKeys {
  let folder = file.parent().unwrap_or(Path::new(""));
  let join = |path: PathBuf| folder.join(path);
  PeerKeys {
    authority: join(keys.authority),
    certificate: join(keys.certificate),
    key: join(keys.key),
  }
}
