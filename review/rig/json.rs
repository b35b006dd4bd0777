//! A JSON parser for the bodies of the platform's store.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
  Null,
  Bool(bool),
  Number(f64),
  Text(String),
  List(Vec<Json>),
  Table(BTreeMap<String, Json>),
}

impl Json {
  /// Parses a document; `None` if it is not JSON.
  pub fn parse(text: &str) -> Option<Self> {
    let mut parser = Parser {
      bytes: text.as_bytes(),
      at: 0,
    };
    let value = parser.value()?;
    parser.skip_blanks();
    (parser.at == parser.bytes.len()).then_some(value)
  }

  /// A field of a table.
  pub fn get(&self, name: &str) -> Option<&Json> {
    match self {
      Self::Table(fields) => fields.get(name),
      _ => None,
    }
  }

  /// A text field of a table; empty if it is missing.
  pub fn text(&self, name: &str) -> &str {
    match self.get(name) {
      Some(Self::Text(text)) => text,
      _ => "",
    }
  }

  /// A whole number in a table; 0 if it is missing.
  pub fn number(&self, name: &str) -> u64 {
    match self.get(name) {
      Some(Self::Number(number)) => *number as u64,
      _ => 0,
    }
  }

  /// The entries of a list in a table; empty if it is missing.
  pub fn list(&self, name: &str) -> &[Json] {
    match self.get(name) {
      Some(Self::List(entries)) => entries,
      _ => &[],
    }
  }
}

struct Parser<'a> {
  bytes: &'a [u8],
  at: usize,
}

impl Parser<'_> {
  fn skip_blanks(&mut self) {
    while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
      self.at += 1;
    }
  }

  fn peek(&self) -> Option<u8> {
    self.bytes.get(self.at).copied()
  }

  fn accept(&mut self, byte: u8) -> bool {
    self.skip_blanks();
    let is_next = self.peek() == Some(byte);
    self.at += usize::from(is_next);
    is_next
  }

  fn literal(&mut self, text: &str, value: Json) -> Option<Json> {
    let is_next = self.bytes[self.at..].starts_with(text.as_bytes());
    self.at += text.len();
    is_next.then_some(value)
  }

  fn value(&mut self) -> Option<Json> {
    self.skip_blanks();
    match self.peek()? {
      b'{' => self.table(),
      b'[' => self.list(),
      b'"' => self.string().map(Json::Text),
      b't' => self.literal("true", Json::Bool(true)),
      b'f' => self.literal("false", Json::Bool(false)),
      b'n' => self.literal("null", Json::Null),
      _ => self.number(),
    }
  }

  fn table(&mut self) -> Option<Json> {
    self.at += 1;
    let mut fields = BTreeMap::new();
    if self.accept(b'}') {
      return Some(Json::Table(fields));
    }
    loop {
      self.skip_blanks();
      let name = self.string()?;
      if !self.accept(b':') {
        return None;
      }
      fields.insert(name, self.value()?);
      if self.accept(b'}') {
        return Some(Json::Table(fields));
      }
      if !self.accept(b',') {
        return None;
      }
    }
  }

  fn list(&mut self) -> Option<Json> {
    self.at += 1;
    let mut entries = Vec::new();
    if self.accept(b']') {
      return Some(Json::List(entries));
    }
    loop {
      entries.push(self.value()?);
      if self.accept(b']') {
        return Some(Json::List(entries));
      }
      if !self.accept(b',') {
        return None;
      }
    }
  }

  /// A string; escapes other than those of quotes and backslashes do not occur in keys, ids and base64.
  fn string(&mut self) -> Option<String> {
    if self.peek()? != b'"' {
      return None;
    }
    self.at += 1;
    let mut text = Vec::new();
    loop {
      let byte = self.peek()?;
      self.at += 1;
      match byte {
        b'"' => return String::from_utf8(text).ok(),
        b'\\' => {
          text.push(self.peek()?);
          self.at += 1;
        }
        byte => text.push(byte),
      }
    }
  }

  fn number(&mut self) -> Option<Json> {
    let start = self.at;
    let is_part = |byte: u8| byte.is_ascii_digit() || b"+-.eE".contains(&byte);
    while self.peek().is_some_and(is_part) {
      self.at += 1;
    }
    let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
    text.parse().ok().map(Json::Number)
  }
}
