//! Variants of a gateway's settings.

use super::ExperimentError;

/// A new value of one setting.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Change {
  section: String,
  key: String,
  value: String,
}

/// A named set of changes to the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Variant {
  /// Name in tables and plots.
  pub name: String,
  changes: Vec<Change>,
}

impl Variant {
  /// A variant without changes.
  pub fn unchanged(name: &str) -> Self {
    Self {
      changes: Vec::new(),
      name: name.into(),
    }
  }

  /// Parses `NAME` or `NAME:section.key=value,section.key=value`.
  ///
  /// ```
  /// use emulator::experiment::Variant;
  /// let variant = Variant::parse("no orders:mechanisms.role_orders=false").unwrap();
  /// let settings = "[engines]\nprefill_share = 0.25\n";
  /// assert_eq!(
  ///   variant.apply(settings),
  ///   "[engines]\nprefill_share = 0.25\n\n[mechanisms]\nrole_orders = false\n"
  /// );
  /// let variant = Variant::parse("few:engines.prefill_share=0.2").unwrap();
  /// assert_eq!(variant.apply(settings), "[engines]\nprefill_share = 0.2\n");
  /// ```
  pub fn parse(text: &str) -> Result<Self, ExperimentError> {
    let (name, changes) = text.split_once(':').unwrap_or((text, ""));
    let changes = changes
      .split(',')
      .filter(|change| !change.is_empty())
      .map(parse_change)
      .collect::<Option<Vec<_>>>();
    match changes {
      Some(changes) if !name.is_empty() => Ok(Self {
        changes,
        name: name.into(),
      }),
      _ => Err(ExperimentError::Option {
        message: format!("`{text}` is not NAME or NAME:section.key=value,..."),
        option: "--variant",
      }),
    }
  }

  /// Applies the changes to settings in TOML. Works line by line, since a template with placeholders need not parse as TOML.
  pub fn apply(&self, settings: &str) -> String {
    let mut lines: Vec<String> = settings.lines().map(str::to_string).collect();
    for change in &self.changes {
      change.apply(&mut lines);
    }
    lines.join("\n") + "\n"
  }
}

fn parse_change(text: &str) -> Option<Change> {
  let (path, value) = text.split_once('=')?;
  let (section, key) = path.trim().split_once('.')?;
  Some(Change {
    key: key.into(),
    section: section.into(),
    value: value.trim().into(),
  })
}

impl Change {
  fn apply(&self, lines: &mut Vec<String>) {
    let line = format!("{} = {}", self.key, self.value);
    let header = format!("[{}]", self.section);
    let Some(begin) = lines.iter().position(|line| line.trim() == header) else {
      lines.extend([String::new(), header, line]);
      return;
    };
    let end = lines[begin + 1..]
      .iter()
      .position(|line| line.starts_with('['))
      .map_or(lines.len(), |offset| begin + 1 + offset);
    let is_key = |line: &String| line.split('=').next().map(str::trim) == Some(&*self.key);
    match lines[begin..end].iter().position(is_key) {
      Some(offset) => lines[begin + offset] = line,
      None => lines.insert(begin + 1, line),
    }
  }
}
