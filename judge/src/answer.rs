//! Answers as their bytes on a connection tell them.

use {
  super::{
    clause::{Clause, Finding},
    raw_records::{RawConnection, RawRecords, ReadEnd},
  },
  std::collections::BTreeMap,
};

/// How an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnswerEnd {
  /// By its last chunk or its length.
  Framed,
  /// With its connection, which its box closed.
  Connection,
  /// Within its head, a chunk or its length, or by a reset.
  BrokenOff,
  /// The caller stopped reading before the end.
  Unread,
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub(super) struct Answer {
  pub(super) status: u16,
  headers: Vec<(String, String)>,
  pub(super) body: Vec<u8>,
  pub(super) end: AnswerEnd,
}

impl Answer {
  pub(super) fn header(&self, name: &str) -> Option<&str> {
    let mut headers = self.headers.iter();
    let found = headers.find(|(of_header, _)| of_header.eq_ignore_ascii_case(name))?;
    Some(&found.1)
  }

  pub(super) fn is_success(&self) -> bool {
    (200..300).contains(&self.status)
  }
}

/// The answers of all connections.
#[derive(Debug, Default)]
pub(super) struct Answers {
  by_request: BTreeMap<usize, Answer>,
  /// Bytes that are no answer to a request.
  pub(super) findings: Vec<Finding>,
}

impl Answers {
  pub(super) fn of(&self, request: usize) -> Option<&Answer> {
    self.by_request.get(&request)
  }
}

/// Parses the answers of all connections.
pub(super) fn answers(records: &RawRecords) -> Answers {
  let mut answers = Answers::default();
  for connection in &records.connections {
    let mut reader = Reader {
      bytes: &connection.bytes,
      connection,
    };
    let mut last = None;
    for request in &connection.requests {
      last = Some(*request);
      if reader.bytes.is_empty() {
        break;
      }
      let Some(answer) = reader.take_answer() else {
        break;
      };
      answers.by_request.insert(*request, answer);
    }
    if let (Some(request), false) = (last, reader.is_between_answers()) {
      answers.findings.push(Finding {
        clause: Clause::NoAnswer,
        observed: format!(
          "bytes on its connection: {:?}",
          String::from_utf8_lossy(reader.bytes)
        ),
        stream: records.requests[request].id.clone(),
      });
    }
  }
  answers
}

/// Reads answers from the bytes of a connection.
struct Reader<'a> {
  bytes: &'a [u8],
  connection: &'a RawConnection,
}

impl<'a> Reader<'a> {
  /// Whether all bytes were read, or the rest may be the beginning of a head.
  fn is_between_answers(&self) -> bool {
    b"HTTP/1."
      .iter()
      .zip(self.bytes)
      .all(|(expected, byte)| expected == byte)
      && !has_head(self.bytes)
  }

  /// The next answer that is no interim response. `None` if the bytes are none, or end within the head.
  fn take_answer(&mut self) -> Option<Answer> {
    loop {
      let answer = self.take_one()?;
      if answer.status >= 200 {
        return Some(answer);
      }
    }
  }

  fn take_one(&mut self) -> Option<Answer> {
    let end = position(self.bytes, b"\r\n\r\n")?;
    let text = std::str::from_utf8(&self.bytes[..end]).ok()?;
    let mut lines = text.split("\r\n");
    let mut status_line = lines.next()?.splitn(3, ' ');
    status_line.next()?.strip_prefix("HTTP/1.")?;
    let status = status_line.next()?.parse().ok()?;
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    let mut answer = Answer {
      body: Vec::new(),
      end: AnswerEnd::Framed,
      headers: headers.collect(),
      status,
    };
    self.bytes = &self.bytes[end + 4..];
    if status < 200 || matches!(status, 204 | 304) {
      return Some(answer);
    }
    let encoding = answer.header("transfer-encoding");
    let is_chunked = encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("chunked"));
    let length = answer
      .header("content-length")
      .and_then(|length| length.parse().ok());
    (answer.body, answer.end) = match length {
      _ if is_chunked => self.take_chunks(),
      Some(length) => self.take_length(length),
      None => (self.take(self.bytes.len()).to_vec(), self.unframed_end()),
    };
    Some(answer)
  }

  fn take(&mut self, bytes: usize) -> &'a [u8] {
    let (taken, rest) = self.bytes.split_at(bytes);
    self.bytes = rest;
    taken
  }

  fn take_length(&mut self, length: usize) -> (Vec<u8>, AnswerEnd) {
    let body = self.take(length.min(self.bytes.len())).to_vec();
    let is_whole = body.len() == length;
    let end = if is_whole {
      AnswerEnd::Framed
    } else {
      self.early_end()
    };
    (body, end)
  }

  fn take_chunks(&mut self) -> (Vec<u8>, AnswerEnd) {
    let mut body = Vec::new();
    while let Some(line_end) = position(self.bytes, b"\r\n") {
      let line = String::from_utf8_lossy(&self.bytes[..line_end]).into_owned();
      let digits = line.split(';').next().unwrap_or_default().trim();
      let Ok(length) = usize::from_str_radix(digits, 16) else {
        return (body, AnswerEnd::BrokenOff);
      };
      let rest = &self.bytes[line_end + 2..];
      if length == 0 {
        return match self.take_trailers(rest) {
          true => (body, AnswerEnd::Framed),
          false => (body, self.early_end()),
        };
      }
      self.bytes = rest;
      body.extend_from_slice(self.take(length.min(rest.len())));
      if self.bytes.len() < 2 {
        break;
      }
      if self.take(2) != b"\r\n" {
        return (body, AnswerEnd::BrokenOff);
      }
    }
    (body, self.early_end())
  }

  /// Takes what follows the last chunk, up to the blank line. Returns whether that has come.
  fn take_trailers(&mut self, mut rest: &'a [u8]) -> bool {
    while let Some(line_end) = position(rest, b"\r\n") {
      rest = &rest[line_end + 2..];
      if line_end == 0 {
        self.bytes = rest;
        return true;
      }
    }
    false
  }

  /// The end of an answer whose framing would go on. What is left belongs to it.
  fn early_end(&mut self) -> AnswerEnd {
    self.bytes = &[];
    match self.connection.end {
      ReadEnd::Open => AnswerEnd::Unread,
      ReadEnd::Closed | ReadEnd::Reset => AnswerEnd::BrokenOff,
    }
  }

  fn unframed_end(&self) -> AnswerEnd {
    match self.connection.end {
      ReadEnd::Open => AnswerEnd::Unread,
      ReadEnd::Closed => AnswerEnd::Connection,
      ReadEnd::Reset => AnswerEnd::BrokenOff,
    }
  }
}

fn has_head(bytes: &[u8]) -> bool {
  position(bytes, b"\r\n\r\n").is_some()
}

fn position(bytes: &[u8], of: &[u8]) -> Option<usize> {
  bytes.windows(of.len()).position(|window| window == of)
}
