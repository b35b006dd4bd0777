//! An answer of a server, and its bytes.

use {
  super::draw::whole, rand::RngExt, rand_chacha::ChaCha8Rng, serde_json::Value, std::fmt::Write,
};

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
  /// By its length.
  Length,
  /// By its last chunk.
  Chunks,
  /// By the end of the connection.
  Connection,
}

/// An answer.
#[derive(Clone, Debug)]
pub(super) struct Answer {
  pub(super) status: u16,
  pub(super) headers: Vec<(&'static str, String)>,
  pub(super) framing: Framing,
  pub(super) body: Vec<u8>,
  /// Whether the connection is closed after it.
  pub(super) closes: bool,
}

impl Answer {
  pub(super) fn new(status: u16) -> Self {
    Self {
      body: Vec::new(),
      closes: false,
      framing: Framing::Length,
      headers: Vec::new(),
      status,
    }
  }

  pub(super) fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
    self.headers.push((name, value.into()));
    self
  }

  pub(super) fn with_json(mut self, body: &Value) -> Self {
    self.body = body.to_string().into();
    self.with("Content-Type", "application/json")
  }

  /// Draws a body of a size, in chunks or with a length.
  pub(super) fn with_drawn_body(mut self, text: &str, bytes: f64, random: &mut ChaCha8Rng) -> Self {
    let mut body = text.as_bytes().to_vec();
    let length = usize::try_from(whole(bytes)).unwrap_or_default();
    body.resize(length.max(body.len()), b'.');
    self.body = body;
    self.framing = match random.random_range(0..3_u32) {
      0 => Framing::Chunks,
      _ => Framing::Length,
    };
    self.with("Content-Type", "text/plain")
  }

  /// Its head with the blank line.
  pub(super) fn head(&self) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
    for (name, value) in &self.headers {
      line(&mut head, name, value);
    }
    match self.framing {
      Framing::Length => line(&mut head, "Content-Length", &self.body.len().to_string()),
      Framing::Chunks => line(&mut head, "Transfer-Encoding", "chunked"),
      Framing::Connection => {}
    }
    if self.closes {
      line(&mut head, "Connection", "close");
    }
    head.push_str("\r\n");
    head.into()
  }

  /// Its body as it is sent.
  pub(super) fn framed_body(&self, random: &mut ChaCha8Rng) -> Vec<u8> {
    match self.framing {
      Framing::Length | Framing::Connection => self.body.clone(),
      Framing::Chunks => {
        let mut chunks = chunks(&self.body, random);
        chunks.extend_from_slice(LAST_CHUNK);
        chunks
      }
    }
  }
}

/// The end of a body in chunks.
pub(super) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Bytes in one to three chunks; nothing for no bytes.
pub(super) fn chunks(bytes: &[u8], random: &mut ChaCha8Rng) -> Vec<u8> {
  let mut chunks = Vec::new();
  let mut rest = bytes;
  for _ in 0..random.random_range(0..3_u32) {
    if rest.len() < 2 {
      break;
    }
    let (part, later) = rest.split_at(random.random_range(1..rest.len()));
    push_chunk(&mut chunks, part);
    rest = later;
  }
  if !rest.is_empty() {
    push_chunk(&mut chunks, rest);
  }
  chunks
}

fn push_chunk(chunks: &mut Vec<u8>, bytes: &[u8]) {
  chunks.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
  chunks.extend_from_slice(bytes);
  chunks.extend_from_slice(b"\r\n");
}

fn line(head: &mut String, name: &str, value: &str) {
  // Writing to a string never fails.
  let _ = write!(head, "{name}: {value}\r\n");
}

fn reason(status: u16) -> &'static str {
  match status {
    200 => "OK",
    202 => "Accepted",
    400 => "Bad Request",
    404 => "Not Found",
    408 => "Request Timeout",
    409 => "Conflict",
    421 => "Misdirected Request",
    429 => "Too Many Requests",
    500 => "Internal Server Error",
    503 => "Service Unavailable",
    504 => "Gateway Timeout",
    _ => "Unknown",
  }
}
