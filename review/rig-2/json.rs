//! A small JSON parser, enough for the bodies that boxes send to the store.

use std::collections::BTreeMap;

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
  pub fn parse(bytes: &[u8]) -> Option<Json> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut parser = Parser {
      chars: text.chars().collect(),
      at: 0,
    };
    parser.value()
  }

  pub fn get(&self, key: &str) -> &Json {
    match self {
      Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
      _ => &Json::Null,
    }
  }

  pub fn list(&self) -> &[Json] {
    match self {
      Json::List(items) => items,
      _ => &[],
    }
  }

  pub fn text(&self) -> &str {
    match self {
      Json::Text(text) => text,
      _ => "",
    }
  }

  pub fn number(&self) -> u64 {
    match self {
      Json::Number(number) => *number as u64,
      _ => 0,
    }
  }
}

struct Parser {
  chars: Vec<char>,
  at: usize,
}

impl Parser {
  fn peek(&mut self) -> Option<char> {
    while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
      self.at += 1;
    }
    self.chars.get(self.at).copied()
  }

  fn take(&mut self, wanted: char) -> Option<()> {
    (self.peek()? == wanted).then(|| self.at += 1)
  }

  fn value(&mut self) -> Option<Json> {
    match self.peek()? {
      '{' => self.table(),
      '[' => self.items(),
      '"' => self.string().map(Json::Text),
      't' => self.word("true", Json::Bool(true)),
      'f' => self.word("false", Json::Bool(false)),
      'n' => self.word("null", Json::Null),
      _ => self.number(),
    }
  }

  fn word(&mut self, word: &str, value: Json) -> Option<Json> {
    self.at += word.len();
    Some(value)
  }

  fn number(&mut self) -> Option<Json> {
    let from = self.at;
    while self
      .chars
      .get(self.at)
      .is_some_and(|c| c.is_ascii_digit() || "+-.eE".contains(*c))
    {
      self.at += 1;
    }
    let text: String = self.chars[from..self.at].iter().collect();
    text.parse().ok().map(Json::Number)
  }

  fn string(&mut self) -> Option<String> {
    self.take('"')?;
    let mut text = String::new();
    loop {
      let c = *self.chars.get(self.at)?;
      self.at += 1;
      match c {
        '"' => return Some(text),
        '\\' => {
          let escaped = *self.chars.get(self.at)?;
          self.at += 1;
          match escaped {
            'n' => text.push('\n'),
            't' => text.push('\t'),
            'r' => text.push('\r'),
            'u' => {
              let code: String = self.chars.get(self.at..self.at + 4)?.iter().collect();
              self.at += 4;
              text.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
            }
            other => text.push(other),
          }
        }
        c => text.push(c),
      }
    }
  }

  fn items(&mut self) -> Option<Json> {
    self.take('[')?;
    let mut items = Vec::new();
    if self.peek()? == ']' {
      self.at += 1;
      return Some(Json::List(items));
    }
    loop {
      items.push(self.value()?);
      if self.peek()? == ',' {
        self.at += 1;
      } else {
        self.take(']')?;
        return Some(Json::List(items));
      }
    }
  }

  fn table(&mut self) -> Option<Json> {
    self.take('{')?;
    let mut table = BTreeMap::new();
    if self.peek()? == '}' {
      self.at += 1;
      return Some(Json::Table(table));
    }
    loop {
      self.peek()?;
      let key = self.string()?;
      self.take(':')?;
      table.insert(key, self.value()?);
      if self.peek()? == ',' {
        self.at += 1;
      } else {
        self.take('}')?;
        return Some(Json::Table(table));
      }
    }
  }
}

/// A text as JSON.
pub fn quoted(text: &str) -> String {
  let mut out = String::from("\"");
  for c in text.chars() {
    match c {
      '"' => out.push_str("\\\""),
      '\\' => out.push_str("\\\\"),
      '\n' => out.push_str("\\n"),
      c => out.push(c),
    }
  }
  out.push('"');
  out
}
