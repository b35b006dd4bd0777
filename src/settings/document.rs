//! Reading a settings file section by section, so that all errors are found at once.

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
/// A quarter of a lease is its margin, which has to outlast an order on its way.
const LEAST_LEASE_MS: u64 = 2_500;
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

struct Reader<'a> {
  file: &'a Path,
  text: &'a str,
  errors: Vec<SettingsError>,
}

/// A section that was read, with its place for errors of meaning.
struct Section<T> {
  value: T,
  span: Range<usize>,
}

impl Reader<'_> {
  fn refuse(&mut self, span: &Range<usize>, key: impl Into<String>, message: impl Into<String>) {
    let before = self.text.get(..span.start).unwrap_or_default();
    self.errors.push(SettingsError {
      file: self.file.into(),
      key: key.into(),
      line: before.matches('\n').count() + 1,
      message: message.into(),
    });
  }

  /// The place of a key within a section, or the section's own.
  fn place_of(&self, section: &Range<usize>, key: &str) -> Range<usize> {
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

  fn read<T: DeserializeOwned>(
    &mut self,
    name: &str,
    value: &Spanned<DeValue>,
  ) -> Option<Section<T>> {
    let span = value.span();
    match T::deserialize(ValueDeserializer::from(value.clone())) {
      Ok(value) => Some(Section { value, span }),
      Err(error) => {
        let place = error.span().unwrap_or(span);
        let message = error.message().to_string();
        self.refuse(&place, name, message);
        None
      }
    }
  }

  fn required<T: DeserializeOwned>(&mut self, table: &DeTable, name: &str) -> Option<Section<T>> {
    match table.get(name) {
      Some(value) => self.read(name, value),
      None => {
        self.refuse(&(0..0), name, format!("section [{name}] is missing"));
        None
      }
    }
  }

  fn optional<T: DeserializeOwned + Default>(&mut self, table: &DeTable, name: &str) -> Option<T> {
    match table.get(name) {
      Some(value) => self.read(name, value).map(|section| section.value),
      None => Some(T::default()),
    }
  }

  fn endpoints(&mut self, table: &DeTable) -> Vec<Section<EndpointSettings>> {
    let Some(value) = table.get("endpoint") else {
      self.refuse(&(0..0), "endpoint", "no [[endpoint]] is given");
      return Vec::new();
    };
    let DeValue::Array(items) = value.get_ref() else {
      self.refuse(
        &value.span(),
        "endpoint",
        "write [[endpoint]], with double brackets",
      );
      return Vec::new();
    };
    items
      .iter()
      .filter_map(|item| self.read("endpoint", item))
      .collect()
  }

  fn check_endpoints(&mut self, endpoints: &[Section<EndpointSettings>]) {
    let mut names = BTreeSet::new();
    for Section { value, span } in endpoints {
      if !names.insert(value.name.clone()) {
        let place = self.place_of(span, "name");
        let message = format!("`{}` is given twice", value.name);
        self.refuse(&place, "endpoint.name", message);
      }
      if !is_url(&value.url) {
        let place = self.place_of(span, "url");
        let message = format!("`{}` is not of the form http://ADDRESS:PORT", value.url);
        self.refuse(&place, "endpoint.url", message);
      }
      if value.seats == 0 {
        let place = self.place_of(span, "seats");
        self.refuse(&place, "endpoint.seats", "must be at least 1");
      }
      match value.kind {
        EndpointKindValue::Engine => {
          if value.role.is_none() {
            self.refuse(
              span,
              "endpoint.role",
              "an engine needs `prefill` or `decode`",
            );
          }
          if value.models.is_empty() {
            self.refuse(
              span,
              "endpoint.models",
              "an engine needs at least one model",
            );
          }
        }
        EndpointKindValue::Service => {
          if value.service.is_none() {
            self.refuse(span, "endpoint.service", "a plain service needs its name");
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
        let place = self.place_of(span, key);
        let message = format!("`{url}` is not of the form http://ADDRESS:PORT");
        self.refuse(&place, format!("platform.{key}"), message);
      }
    }
    if value.lease_ms < LEAST_LEASE_MS {
      let place = self.place_of(span, "lease_ms");
      let message = format!("must be at least {LEAST_LEASE_MS}: the margin must outlast an order");
      self.refuse(&place, "platform.lease_ms", message);
    }
  }

  fn check_identity(&mut self, identity: Option<&Section<BoxSettings>>) {
    let Some(Section { value, span }) = identity else {
      return;
    };
    let is_label = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    for (key, name) in [("name", &value.name), ("hall", &value.hall)] {
      if name.is_empty() || !name.chars().all(is_label) {
        let place = self.place_of(span, key);
        let message = format!("`{name}` must be lower-case letters, digits and dashes");
        self.refuse(&place, format!("box.{key}"), message);
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
        let place = self.place_of(span, "keys_sha256");
        let message = "each must be a SHA-256 in 64 hexadecimal digits";
        self.refuse(&place, "administration.keys_sha256", message);
      }
    }
  }

  fn check_log(&mut self, table: &DeTable, log: Option<&LogSettings>) {
    let Some(level) = log.and_then(|log| log.level.clone()) else {
      return;
    };
    if !LEVELS.contains(&level.as_ref()) {
      let span = table.get("log").map_or(0..0, Spanned::span);
      let place = self.place_of(&span, "level");
      let message = format!("`{level}` is none of {}", LEVELS.join(", "));
      self.refuse(&place, "log.level", message);
    }
  }
}

fn is_url(text: &str) -> bool {
  text
    .parse::<http::Uri>()
    .is_ok_and(|uri| uri.scheme_str() == Some("http") && uri.authority().is_some())
}

impl Settings {
  /// Reads and checks a settings file.
  pub fn load(file: &Path) -> Result<Self> {
    let text = std::fs::read_to_string(file).map_err(|source| Error::Read {
      path: file.into(),
      source,
    })?;
    Self::parse(file, &text)
  }

  /// Reads and checks the text of a settings file; all errors are found at once.
  ///
  /// ```
  /// use rillford::{settings::Settings, Error};
  /// let error = Settings::parse("box.toml".as_ref(), "[boxes]\n").unwrap_err();
  /// assert!(error.to_string().contains("box.toml:1: boxes: unknown section"));
  /// ```
  pub fn parse(file: &Path, text: &str) -> Result<Self> {
    let mut reader = Reader {
      errors: Vec::new(),
      file,
      text,
    };
    let table = match DeTable::parse(text) {
      Ok(table) => table,
      Err(error) => {
        let span = error.span().unwrap_or(0..0);
        reader.refuse(&span, "syntax", error.message());
        return Err(Error::Settings(reader.errors));
      }
    };
    let table = table.get_ref();
    for key in table.keys() {
      if !SECTIONS.contains(&key.get_ref().as_ref()) {
        let message = format!("unknown section; known are {}", SECTIONS.join(", "));
        reader.refuse(&key.span(), key.get_ref().as_ref(), message);
      }
    }
    let identity = reader.required::<BoxSettings>(table, "box");
    let listen = reader.required::<Listen>(table, "listen");
    let peers = reader.required::<PeerKeys>(table, "peers");
    let platform = reader.required::<Platform>(table, "platform");
    let administration = reader.required::<Administration>(table, "administration");
    let limits = reader.optional::<Limits>(table, "limits");
    let targets = reader.optional::<Targets>(table, "targets");
    let log = reader.optional::<LogSettings>(table, "log");
    let metrics = reader.optional::<Metrics>(table, "metrics");
    let endpoints = reader.endpoints(table);
    reader.check_identity(identity.as_ref());
    reader.check_endpoints(&endpoints);
    reader.check_platform(platform.as_ref());
    reader.check_keys(administration.as_ref());
    reader.check_log(table, log.as_ref());
    let errors = reader.errors;
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
        peers: beside(file, peers.value),
        platform: platform.value,
        targets,
      }),
      _ => Err(Error::Settings(errors)),
    }
  }
}

/// Paths in settings are relative to the settings file.
fn beside(file: &Path, keys: PeerKeys) -> PeerKeys {
  let folder = file.parent().unwrap_or(Path::new(""));
  let join = |path: PathBuf| folder.join(path);
  PeerKeys {
    authority: join(keys.authority),
    certificate: join(keys.certificate),
    key: join(keys.key),
  }
}
