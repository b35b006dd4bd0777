//! Text with gaps that are filled from the fields of a settings file.

use {
  super::error::{Error, Result},
  serde_json::Value,
};

const OPEN: &str = "{{";
const CLOSE: &str = "}}";
/// Suffix of a gap that is filled with JSON.
const JSON_FILTER: &str = "|json";

#[derive(Clone, Debug)]
enum Part {
  Text(String),
  /// A value: as plain text, or as JSON.
  Value {
    name: String,
    is_json: bool,
  },
  /// The key or number of the current entry.
  Key,
  /// A comma after every entry but the last.
  Comma,
  /// Parts that stand once for each entry of a value.
  Section {
    name: String,
    parts: Vec<Part>,
  },
  /// Parts that stand if a value is missing or false.
  Inverted {
    name: String,
    parts: Vec<Part>,
  },
}

/// The entry in whose section a part stands; the outermost entry is all fields.
struct Scope<'a> {
  entry: &'a Value,
  key: Option<String>,
  is_last: bool,
  outer: Option<&'a Scope<'a>>,
}

/// Text with gaps: `{{a.b}}` and `{{a|json}}` give a value, `{{#a}}..{{/a}}` stands once for each entry of a list or table,
/// or once if the value is given and not false, and `{{^a}}..{{/a}}` if it is missing or false. In a section, `{{.}}` is the
/// entry, `{{@}}` its key or number, and `{{,}}` a comma after every entry but the last. Names resolve in the entry first.
/// Nothing is escaped.
///
/// ```
/// let template = replay::SettingsTemplate::parse("[{{#zones}}{{@}}={{.}}{{,}}{{/zones}}]")?;
/// let fields = serde_json::json!({"zones": {"north": "a", "south": "b"}});
/// assert_eq!(template.render(&fields), "[north=a,south=b]");
/// # Ok::<(), replay::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct SettingsTemplate {
  parts: Vec<Part>,
}

impl SettingsTemplate {
  /// Parses a template. Fails if a gap or a section has no end, or a section ends that did not begin.
  pub fn parse(text: &str) -> Result<Self> {
    let mut rest = text;
    let parts = parse_parts(&mut rest, None)?;
    Ok(Self { parts })
  }

  /// Fills the gaps. Missing values give nothing.
  pub fn render(&self, fields: &Value) -> String {
    let scope = Scope {
      entry: fields,
      key: None,
      is_last: true,
      outer: None,
    };
    let mut text = String::new();
    render_parts(&self.parts, &scope, &mut text);
    text
  }
}

/// Parses up to the end of the text, or of the section.
fn parse_parts(rest: &mut &str, section: Option<&str>) -> Result<Vec<Part>> {
  let mut parts = Vec::new();
  while let Some((text, after)) = rest.split_once(OPEN) {
    let (gap, after) = after
      .split_once(CLOSE)
      .ok_or_else(|| Error::Template(format!("a gap has no end: {OPEN}{}", first_line(after))))?;
    *rest = after;
    if !text.is_empty() {
      parts.push(Part::Text(text.into()));
    }
    let gap = gap.trim();
    if let Some(name) = gap.strip_prefix('/') {
      return end_section(section, name.trim()).map(|()| parts);
    }
    parts.push(parse_gap(gap, rest)?);
  }
  if let Some(name) = section {
    return Err(Error::Template(format!("section {name} has no end")));
  }
  if !rest.is_empty() {
    parts.push(Part::Text((*rest).into()));
  }
  Ok(parts)
}

fn first_line(text: &str) -> &str {
  text.lines().next().unwrap_or_default()
}

fn end_section(section: Option<&str>, name: &str) -> Result {
  match section {
    Some(open) if open == name => Ok(()),
    Some(open) => Err(Error::Template(format!(
      "section {open} ends as section {name}"
    ))),
    None => Err(Error::Template(format!(
      "section {name} ends, but did not begin"
    ))),
  }
}

/// Parses a gap, and what follows it if it begins a section.
fn parse_gap(gap: &str, rest: &mut &str) -> Result<Part> {
  if let Some(name) = gap.strip_prefix('#') {
    let name = parse_name(name)?;
    let parts = parse_parts(rest, Some(&name))?;
    return Ok(Part::Section { name, parts });
  }
  if let Some(name) = gap.strip_prefix('^') {
    let name = parse_name(name)?;
    let parts = parse_parts(rest, Some(&name))?;
    return Ok(Part::Inverted { name, parts });
  }
  match gap {
    "@" => Ok(Part::Key),
    "," => Ok(Part::Comma),
    _ => {
      let json = gap.strip_suffix(JSON_FILTER);
      Ok(Part::Value {
        name: parse_name(json.unwrap_or(gap))?,
        is_json: json.is_some(),
      })
    }
  }
}

fn parse_name(name: &str) -> Result<String> {
  let name = name.trim();
  let is_path = !name.is_empty() && name.split('.').all(is_segment);
  if name != "." && !is_path {
    return Err(Error::Template(format!("no name of a value: \"{name}\"")));
  }
  Ok(name.into())
}

fn is_segment(segment: &str) -> bool {
  let is_plain = |of: char| of.is_alphanumeric() || "_-".contains(of);
  !segment.is_empty() && segment.chars().all(is_plain)
}

impl Scope<'_> {
  /// The value of a name: in the entry, or else in the entries around it.
  fn resolve(&self, name: &str) -> Option<&Value> {
    if name == "." {
      return Some(self.entry);
    }
    let found = value_at(self.entry, name);
    found.or_else(|| self.outer.and_then(|outer| outer.resolve(name)))
  }

  /// The key of the innermost entry of a list or table.
  fn key(&self) -> Option<&str> {
    let own = self.key.as_deref();
    own.or_else(|| self.outer.and_then(Scope::key))
  }
}

fn value_at<'a>(entry: &'a Value, name: &str) -> Option<&'a Value> {
  let mut segments = name.split('.');
  let found = segments.try_fold(entry, |value, segment| match value {
    Value::Array(entries) => entries.get(segment.parse::<usize>().ok()?),
    Value::Object(fields) => fields.get(segment),
    _ => None,
  });
  found.filter(|value| !value.is_null())
}

fn render_parts(parts: &[Part], scope: &Scope<'_>, text: &mut String) {
  for part in parts {
    render_part(part, scope, text);
  }
}

fn render_part(part: &Part, scope: &Scope<'_>, text: &mut String) {
  match part {
    Part::Text(plain) => text.push_str(plain),
    Part::Value { name, is_json } => match scope.resolve(name) {
      Some(value) if *is_json => text.push_str(&value.to_string()),
      Some(value) => text.push_str(&plain_text(value)),
      None => {}
    },
    Part::Key => text.push_str(scope.key().unwrap_or_default()),
    Part::Comma if !scope.is_last => text.push(','),
    Part::Comma => {}
    Part::Section { name, parts } => render_section(scope.resolve(name), parts, scope, text),
    Part::Inverted { name, parts } => match scope.resolve(name) {
      None | Some(Value::Null | Value::Bool(false)) => render_parts(parts, scope, text),
      Some(_) => {}
    },
  }
}

fn render_section(value: Option<&Value>, parts: &[Part], scope: &Scope<'_>, text: &mut String) {
  let entries: Vec<(Option<String>, &Value)> = match value {
    None | Some(Value::Null | Value::Bool(false)) => Vec::new(),
    Some(Value::Array(entries)) => entries
      .iter()
      .enumerate()
      .map(|(index, entry)| (Some(index.to_string()), entry))
      .collect(),
    Some(Value::Object(fields)) => fields
      .iter()
      .map(|(key, entry)| (Some(key.clone()), entry))
      .collect(),
    Some(value) => vec![(None, value)],
  };
  let count = entries.len();
  for (index, (key, entry)) in entries.into_iter().enumerate() {
    let inner = Scope {
      entry,
      key,
      is_last: index + 1 == count,
      outer: Some(scope),
    };
    render_parts(parts, &inner, text);
  }
}

/// A value as plain text: lists joined by commas, tables as JSON.
fn plain_text(value: &Value) -> String {
  match value {
    Value::Null => String::new(),
    Value::String(text) => text.clone(),
    Value::Array(entries) => entries.iter().map(plain_text).collect::<Vec<_>>().join(","),
    Value::Bool(_) | Value::Number(_) | Value::Object(_) => value.to_string(),
  }
}
