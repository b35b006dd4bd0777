//! A request as a server reads it.

use {
  super::prompt_cache::PromptPart,
  std::{
    str::FromStr,
    time::{Duration, Instant},
  },
};

/// Headers that are read of a request.
const MAX_HEADERS: usize = 64;

/// Bytes that are no request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct BadRequest;

/// A request.
#[derive(Clone, Debug)]
pub(super) struct Request {
  pub(super) method: String,
  pub(super) target: String,
  headers: Vec<(String, String)>,
  pub(super) body: Vec<u8>,
  arrived: Instant,
}

impl Request {
  /// Parses the first request of `bytes`, and tells its length. `None` if it is not whole.
  pub(super) fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, BadRequest> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head) = parsed.parse(bytes).map_err(|_| BadRequest)? else {
      return Ok(None);
    };
    let headers = parsed.headers.iter().map(|header| {
      let value = String::from_utf8_lossy(header.value).into_owned();
      (header.name.to_owned(), value)
    });
    let mut request = Self {
      arrived: Instant::now(),
      body: Vec::new(),
      headers: headers.collect(),
      method: parsed.method.unwrap_or_default().into(),
      target: parsed.path.unwrap_or_default().into(),
    };
    let Some((body, length)) = request.take_body(&bytes[head..])? else {
      return Ok(None);
    };
    request.body = body;
    Ok(Some((request, head + length)))
  }

  pub(super) fn header(&self, name: &str) -> Option<&str> {
    let mut headers = self.headers.iter();
    let found = headers.find(|(of_header, _)| of_header.eq_ignore_ascii_case(name))?;
    Some(&found.1)
  }

  /// A header as a number or another value; `None` if it is absent or no such value.
  pub(super) fn parsed<T: FromStr>(&self, name: &str) -> Option<T> {
    self.header(name)?.trim().parse().ok()
  }

  /// Its id; empty if it has none.
  pub(super) fn id(&self) -> &str {
    self.header("x-request-id").unwrap_or_default()
  }

  /// Its path without the query.
  pub(super) fn path(&self) -> &str {
    self.target.split('?').next().unwrap_or_default()
  }

  /// The host without the port.
  pub(super) fn host(&self) -> &str {
    let host = self.header("host").unwrap_or_default();
    host.split(':').next().unwrap_or_default()
  }

  /// A number in the query.
  pub(super) fn query(&self, name: &str) -> Option<u64> {
    let (_, query) = self.target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
  }

  /// When its time is over.
  pub(super) fn deadline(&self) -> Option<Instant> {
    let ms: f64 = self.parsed("x-deadline-ms")?;
    let duration = Duration::try_from_secs_f64(ms / 1e3).ok()?;
    self.arrived.checked_add(duration)
  }

  /// Tokens of its prompt, and the most out.
  pub(super) fn token_counts(&self) -> Option<(u64, u64)> {
    let (prompt, out) = self.header("x-token-counts")?.split_once(',')?;
    Some((prompt.trim().parse().ok()?, out.trim().parse().ok()?))
  }

  /// The parts of its prompt.
  pub(super) fn prompt(&self) -> Vec<PromptPart> {
    let parts = self
      .header("x-prompt-prefix")
      .unwrap_or_default()
      .split(',');
    let parts = parts.filter_map(|part| {
      let (id, tokens) = part.trim().split_once(':')?;
      Some((id.to_owned(), tokens.parse().ok()?))
    });
    parts.collect()
  }

  /// The id of the stream's first request.
  pub(super) fn stream(&self) -> &str {
    self.header("resumes").unwrap_or(self.id())
  }

  /// Whether the connection is to be closed after the answer.
  pub(super) fn asks_to_close(&self) -> bool {
    let connection = self.header("connection").unwrap_or_default();
    connection.eq_ignore_ascii_case("close")
  }

  fn take_body(&self, bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, BadRequest> {
    let encoding = self.header("transfer-encoding");
    if encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("chunked")) {
      return take_chunks(bytes);
    }
    let Some(length) = self.header("content-length") else {
      return Ok(Some((Vec::new(), 0)));
    };
    let length: usize = length.trim().parse().map_err(|_| BadRequest)?;
    Ok(bytes.get(..length).map(|body| (body.to_vec(), length)))
  }
}

fn take_chunks(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, BadRequest> {
  let mut body = Vec::new();
  let mut at = 0;
  loop {
    let size = httparse::parse_chunk_size(&bytes[at..]).map_err(|_| BadRequest)?;
    let httparse::Status::Complete((line, length)) = size else {
      return Ok(None);
    };
    at += line;
    if length == 0 {
      return Ok(trailers_length(&bytes[at..]).map(|length| (body, at + length)));
    }
    let length = usize::try_from(length).map_err(|_| BadRequest)?;
    let Some(chunk) = bytes[at..].get(..length + 2) else {
      return Ok(None);
    };
    body.extend_from_slice(&chunk[..length]);
    at += length + 2;
  }
}

/// The length of the trailers with their blank line. `None` if it has not come.
fn trailers_length(bytes: &[u8]) -> Option<usize> {
  let mut at = 0;
  loop {
    let line = bytes[at..]
      .windows(2)
      .position(|window| window == b"\r\n")?;
    at += line + 2;
    if line == 0 {
      return Some(at);
    }
  }
}
