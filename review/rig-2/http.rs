//! HTTP/1.1 over blocking sockets: what stand-ins read and write.

use std::{
  io::{self, BufRead, BufReader, Read, Write},
  net::{SocketAddr, TcpStream},
  time::{Duration, Instant},
};

pub type Headers = Vec<(String, String)>;

/// The value of a header, whose name is given in lower case.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
  let found = headers.iter().find(|(key, _)| key == name);
  found.map(|(_, value)| value.as_str())
}

#[derive(Clone, Debug)]
pub struct Request {
  pub method: String,
  pub target: String,
  pub headers: Headers,
  pub body: Vec<u8>,
}

impl Request {
  pub fn header(&self, name: &str) -> Option<&str> {
    header(&self.headers, name)
  }

  pub fn path(&self) -> &str {
    self.target.split('?').next().unwrap_or_default()
  }

  /// A parameter of the query.
  pub fn query(&self, name: &str) -> Option<String> {
    let query = self.target.split_once('?')?.1;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map(|(_, value)| value.replace("%2F", "/").replace("%2f", "/"))
  }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
  let mut line = Vec::new();
  if reader.read_until(b'\n', &mut line)? == 0 {
    return Ok(None);
  }
  if line.last() != Some(&b'\n') {
    return Err(io::ErrorKind::UnexpectedEof.into());
  }
  let text = String::from_utf8_lossy(&line);
  Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Headers> {
  let mut headers = Vec::new();
  loop {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if line.is_empty() {
      return Ok(headers);
    }
    if let Some((name, value)) = line.split_once(':') {
      headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
  }
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
  loop {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = line.split(';').next().unwrap_or_default().trim().to_owned();
    let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    if size == 0 {
      read_headers(reader)?;
      return Ok(());
    }
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    body.extend_from_slice(&chunk[..size]);
  }
}

/// Reads the next request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
  let Some(line) = read_line(reader)? else {
    return Ok(None);
  };
  let mut words = line.split(' ');
  let method = words.next().unwrap_or_default().to_owned();
  let target = words.next().unwrap_or_default().to_owned();
  let headers = read_headers(reader)?;
  let mut body = Vec::new();
  if header(&headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
    read_chunks(reader, &mut body)?;
  } else if let Some(length) = header(&headers, "content-length") {
    body = vec![0; length.parse().unwrap_or(0)];
    reader.read_exact(&mut body)?;
  }
  Ok(Some(Request {
    method,
    target,
    headers,
    body,
  }))
}

/// Writes a whole answer with a length.
pub fn write_answer(
  stream: &mut TcpStream,
  status: u16,
  headers: &[(&str, &str)],
  body: &[u8],
) -> io::Result<()> {
  let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
  for (name, value) in headers {
    text += &format!("{name}: {value}\r\n");
  }
  text += "\r\n";
  let mut bytes = text.into_bytes();
  bytes.extend_from_slice(body);
  stream.write_all(&bytes)
}

/// What a client got.
#[derive(Clone, Debug)]
pub struct Answer {
  /// `None` if no head came.
  pub status: Option<u16>,
  pub headers: Headers,
  pub body: Vec<u8>,
  /// Whether the answer ended as its framing says.
  pub whole: bool,
  pub took: Duration,
}

impl Answer {
  pub fn text(&self) -> String {
    match self.status {
      Some(status) => format!(
        "{status}{} {} bytes in {} ms",
        if self.whole { "" } else { " (broken off)" },
        self.body.len(),
        self.took.as_millis()
      ),
      None => format!("no answer in {} ms", self.took.as_millis()),
    }
  }
}

/// A client's channel to a box.
pub struct Channel {
  reader: Option<BufReader<TcpStream>>,
}

impl Channel {
  pub fn open(address: SocketAddr) -> Channel {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok();
    if let Some(stream) = &stream {
      let _ = stream.set_nodelay(true);
    }
    Channel {
      reader: stream.map(BufReader::new),
    }
  }

  /// Whether it was not closed since the last answer.
  pub fn is_open(&self) -> bool {
    let Some(reader) = &self.reader else {
      return false;
    };
    let stream = reader.get_ref();
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
  }

  /// Sends bytes and reads one answer. The channel is not used again after an answer that was broken off.
  pub fn exchange(&mut self, bytes: &[u8], limit: Duration) -> Answer {
    let since = Instant::now();
    let mut answer = Answer {
      status: None,
      headers: Vec::new(),
      body: Vec::new(),
      whole: false,
      took: Duration::ZERO,
    };
    let result = match &mut self.reader {
      Some(reader) => try_exchange(reader, bytes, limit, &mut answer),
      None => Err(io::ErrorKind::NotConnected.into()),
    };
    if result.is_err() {
      self.reader = None;
    }
    answer.took = since.elapsed();
    answer
  }
}

/// How a client's reading of a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
  /// The answer ended as its framing says.
  Whole,
  /// The channel ended before that.
  BrokenOff,
  /// The client gave up: no event came for too long, or its time was over.
  GivenUp,
}

/// Sends a request on a new channel and reads a stream; gives up when no event has come for `gap`, or when `budget` is over.
pub fn read_stream(
  address: SocketAddr,
  bytes: &[u8],
  gap: Duration,
  budget: Duration,
) -> (Option<u16>, usize, StreamEnd) {
  let since = Instant::now();
  let Some(reader) = Channel::open(address).reader else {
    return (None, 0, StreamEnd::BrokenOff);
  };
  let mut stream = reader.into_inner();
  let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
  if stream.write_all(bytes).is_err() {
    return (None, 0, StreamEnd::BrokenOff);
  }
  let mut status = None;
  let mut received = 0;
  let mut tail: Vec<u8> = Vec::new();
  let mut last_event = Instant::now();
  let mut piece = vec![0; 64 * 1024];
  loop {
    if last_event.elapsed() > gap || since.elapsed() > budget {
      return (status, received, StreamEnd::GivenUp);
    }
    match stream.read(&mut piece) {
      Ok(0) => return (status, received, StreamEnd::BrokenOff),
      Ok(length) => {
        received += length;
        tail.extend_from_slice(&piece[..length]);
        if status.is_none() {
          let line = String::from_utf8_lossy(&tail);
          status = line
            .split(' ')
            .nth(1)
            .and_then(|code| code.get(..3)?.parse().ok());
        }
        if tail.windows(5).any(|bytes| bytes == b"data:") {
          last_event = Instant::now();
        }
        let head_is_whole = tail.windows(4).any(|bytes| bytes == b"\r\n\r\n");
        let is_empty = tail
          .windows(17)
          .any(|bytes| bytes.eq_ignore_ascii_case(b"content-length: 0"));
        if tail.ends_with(b"\r\n0\r\n\r\n") || head_is_whole && is_empty {
          return (status, received, StreamEnd::Whole);
        }
        let keep = tail.len().saturating_sub(16);
        tail.drain(..keep);
      }
      Err(error)
        if matches!(
          error.kind(),
          io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        ) => {}
      Err(_) => return (status, received, StreamEnd::BrokenOff),
    }
  }
}

/// Sends bytes on a new connection and reads one answer.
pub fn exchange(address: SocketAddr, bytes: &[u8], limit: Duration) -> Answer {
  Channel::open(address).exchange(bytes, limit)
}

fn try_exchange(
  reader: &mut BufReader<TcpStream>,
  bytes: &[u8],
  limit: Duration,
  answer: &mut Answer,
) -> io::Result<()> {
  reader.get_ref().set_read_timeout(Some(limit))?;
  reader.get_mut().write_all(bytes)?;
  let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
  let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
  answer.headers = read_headers(reader)?;
  answer.status = status;
  if header(&answer.headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
    read_chunks(reader, &mut answer.body)?;
  } else if let Some(length) = header(&answer.headers, "content-length") {
    let length: u64 = length.parse().unwrap_or(0);
    reader.take(length).read_to_end(&mut answer.body)?;
    if answer.body.len() as u64 != length {
      return Err(io::ErrorKind::UnexpectedEof.into());
    }
  } else {
    reader.read_to_end(&mut answer.body)?;
  }
  answer.whole = true;
  Ok(())
}

/// A request as a client writes it.
pub fn request_bytes(
  method: &str,
  path: &str,
  host: &str,
  headers: &[(&str, String)],
  body: &[u8],
) -> Vec<u8> {
  let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
  for (name, value) in headers {
    text += &format!("{name}: {value}\r\n");
  }
  if method == "POST" {
    text += &format!("Content-Length: {}\r\n", body.len());
  }
  text += "\r\n";
  let mut bytes = text.into_bytes();
  bytes.extend_from_slice(body);
  bytes
}
