//! Reads an answer from a connection, in pieces of any size.

/// Largest head.
const MAX_HEADERS: usize = 64;
/// Longest line of a chunk's length or a trailer.
const MAX_LINE_BYTES: usize = 8_192;

/// The head of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
  /// The status.
  pub status: u16,
  headers: Vec<(String, String)>,
}

impl AnswerHead {
  /// The value of a header.
  pub fn header(&self, name: &str) -> Option<&str> {
    let mut headers = self.headers.iter();
    let found = headers.find(|(of_header, _)| of_header.eq_ignore_ascii_case(name))?;
    Some(&found.1)
  }

  /// Whether the connection ends with the answer.
  pub fn closes(&self) -> bool {
    let connection = self.header("connection").unwrap_or_default();
    let mut words = connection.split(',');
    words.any(|word| word.trim().eq_ignore_ascii_case("close"))
  }

  /// How long the connection may be idle, in seconds.
  pub fn keep_alive_s(&self) -> Option<u64> {
    let mut parameters = self.header("keep-alive")?.split(',');
    parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout=")?.parse().ok())
  }

  /// When to come back, in seconds.
  pub fn retry_after_s(&self) -> Option<f64> {
    let seconds: f64 = self.header("retry-after")?.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some(seconds)
  }
}

/// How far an answer has been read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerProgress {
  /// More is to come.
  More,
  /// It was read to its end.
  Whole,
  /// It is no answer of the protocol.
  Invalid,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
  #[default]
  Head,
  Length(usize),
  ChunkLength,
  Chunk(usize),
  ChunkEnd,
  Trailer,
  Unframed,
  Whole,
  Invalid,
}

/// Reads an answer in pieces of any size.
///
/// ```
/// use replay::{AnswerProgress, AnswerReader};
/// let mut reader = AnswerReader::default();
/// assert_eq!(reader.read(b"HTTP/1.1 200 OK\r\nContent-Len"), AnswerProgress::More);
/// assert_eq!(reader.read(b"gth: 2\r\n\r\nok"), AnswerProgress::Whole);
/// assert_eq!(reader.body(), b"ok");
/// ```
#[derive(Debug, Default)]
pub struct AnswerReader {
  /// Bytes that were not parsed yet.
  unparsed: Vec<u8>,
  head: Option<AnswerHead>,
  body: Vec<u8>,
  state: State,
}

impl AnswerReader {
  /// Reads what has come.
  pub fn read(&mut self, bytes: &[u8]) -> AnswerProgress {
    self.unparsed.extend_from_slice(bytes);
    while self.step() {}
    match self.state {
      State::Whole => AnswerProgress::Whole,
      State::Invalid => AnswerProgress::Invalid,
      _ => AnswerProgress::More,
    }
  }

  /// Whether the answer was read to the end that its framing gives.
  pub fn is_whole(&self) -> bool {
    self.state == State::Whole
  }

  /// Whether the answer is whole if its connection closes now.
  pub fn is_whole_at_close(&self) -> bool {
    matches!(self.state, State::Whole | State::Unframed)
  }

  /// The head of the final answer, once it was read.
  pub fn head(&self) -> Option<&AnswerHead> {
    self.head.as_ref()
  }

  /// The body so far, without its framing.
  pub fn body(&self) -> &[u8] {
    &self.body
  }

  /// Bytes behind the end of the answer.
  pub fn surplus(&self) -> &[u8] {
    match self.state {
      State::Whole | State::Invalid => &self.unparsed,
      _ => &[],
    }
  }

  /// Parses one element. Returns whether there may be another one.
  fn step(&mut self) -> bool {
    match self.state {
      State::Head => self.parse_head(),
      State::Length(bytes) => self.take_body(bytes, State::Length, State::Whole),
      State::ChunkLength => self.parse_chunk_length(),
      State::Chunk(bytes) => self.take_body(bytes, State::Chunk, State::ChunkEnd),
      State::ChunkEnd => self.parse_chunk_end(),
      State::Trailer => self.parse_trailer(),
      State::Unframed => {
        self.body.append(&mut self.unparsed);
        false
      }
      State::Whole | State::Invalid => false,
    }
  }

  fn go_on(&mut self, state: State) -> bool {
    self.state = state;
    true
  }

  fn parse_head(&mut self) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(&self.unparsed) {
      Ok(httparse::Status::Complete(length)) => length,
      Ok(httparse::Status::Partial) => return false,
      Err(_) => return self.go_on(State::Invalid),
    };
    let headers = response.headers.iter().map(|header| {
      let value = String::from_utf8_lossy(header.value);
      (header.name.to_owned(), value.trim().to_owned())
    });
    let head = AnswerHead {
      headers: headers.collect(),
      status: response.code.unwrap_or_default(),
    };
    self.unparsed.drain(..length);
    if head.status < 200 {
      return true;
    }
    let state = body_state(&head);
    self.head = Some(head);
    self.go_on(state)
  }

  fn take_body(&mut self, bytes: usize, more: fn(usize) -> State, end: State) -> bool {
    let taken = bytes.min(self.unparsed.len());
    self.body.extend(self.unparsed.drain(..taken));
    let rest = bytes - taken;
    if rest == 0 {
      return self.go_on(end);
    }
    self.state = more(rest);
    false
  }

  /// Takes a line without its end, once it is there.
  fn take_line(&mut self) -> Option<String> {
    let end = self.unparsed.windows(2).position(|pair| pair == b"\r\n");
    let Some(end) = end else {
      if self.unparsed.len() > MAX_LINE_BYTES {
        self.state = State::Invalid;
      }
      return None;
    };
    let line = String::from_utf8_lossy(&self.unparsed[..end]).into_owned();
    self.unparsed.drain(..end + 2);
    Some(line)
  }

  fn parse_chunk_length(&mut self) -> bool {
    let Some(line) = self.take_line() else {
      return false;
    };
    let digits = line.split(';').next().unwrap_or_default().trim();
    let state = match usize::from_str_radix(digits, 16) {
      Ok(0) => State::Trailer,
      Ok(bytes) => State::Chunk(bytes),
      Err(_) => State::Invalid,
    };
    self.go_on(state)
  }

  fn parse_chunk_end(&mut self) -> bool {
    if self.unparsed.len() < 2 {
      return false;
    }
    let is_end = self.unparsed.starts_with(b"\r\n");
    self.unparsed.drain(..2);
    self.go_on(if is_end {
      State::ChunkLength
    } else {
      State::Invalid
    })
  }

  fn parse_trailer(&mut self) -> bool {
    match self.take_line() {
      Some(line) if line.is_empty() => self.go_on(State::Whole),
      Some(_) => true,
      None => false,
    }
  }
}

fn body_state(head: &AnswerHead) -> State {
  if matches!(head.status, 204 | 304) {
    return State::Whole;
  }
  let encoding = head.header("transfer-encoding");
  if encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("chunked")) {
    return State::ChunkLength;
  }
  match head.header("content-length").map(str::parse) {
    Some(Ok(bytes)) => State::Length(bytes),
    Some(Err(_)) => State::Invalid,
    None => State::Unframed,
  }
}
