//! A caller that reads its response from the socket, and so sees how the connection ends.

use {
  super::{HOST, TIMEOUT},
  std::{fmt::Write, net::SocketAddr},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::timeout,
  },
};

/// Size of a receive buffer that the kernel raises to its least.
const SMALLEST_BUFFER_BYTES: u32 = 1;

/// A request for a stream.
#[derive(Clone, Debug)]
pub(crate) struct RawRequest {
  path: String,
  version: &'static str,
  headers: String,
  has_small_buffer: bool,
}

impl RawRequest {
  pub(crate) fn new(path: &str, id: &str) -> Self {
    Self::with_tokens(path, id, 50)
  }

  /// A request whose response has at most some tokens.
  pub(crate) fn with_tokens(path: &str, id: &str, answer_tokens: u64) -> Self {
    Self {
      has_small_buffer: false,
      headers: format!(
        "host: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: 120000\r\nx-token-counts: 100,{answer_tokens}\r\n\
         content-length: 6\r\n"
      ),
      path: path.into(),
      version: "HTTP/1.1",
    }
  }

  /// The same request in HTTP/1.0, whose responses have neither a length nor chunks.
  pub(crate) fn http_10(mut self) -> Self {
    self.version = "HTTP/1.0";
    self
  }

  pub(crate) fn header(mut self, name: &str, value: &str) -> Self {
    // Writing to a string never fails.
    let _ = write!(self.headers, "{name}: {value}\r\n");
    self
  }

  /// The same request of a caller whose kernel buffers as little as possible.
  pub(crate) fn small_buffer(mut self) -> Self {
    self.has_small_buffer = true;
    self
  }

  /// Sends the request on a connection of its own.
  pub(crate) async fn send(&self, address: SocketAddr) -> RawCaller {
    let socket = TcpSocket::new_v4().unwrap();
    if self.has_small_buffer {
      socket.set_recv_buffer_size(SMALLEST_BUFFER_BYTES).unwrap();
    }
    let mut stream = socket.connect(address).await.unwrap();
    let head = format!(
      "POST {} {}\r\n{}\r\n",
      self.path, self.version, self.headers
    );
    stream
      .write_all((head + "prompt").as_bytes())
      .await
      .unwrap();
    RawCaller {
      bytes: Vec::new(),
      stream,
    }
  }
}

/// A caller that has sent its request.
pub(crate) struct RawCaller {
  stream: TcpStream,
  bytes: Vec<u8>,
}

/// What a caller has received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RawResponse {
  pub(crate) status: u16,
  /// The body, without its chunks' heads.
  pub(crate) body: String,
  /// Whether the body's end was received.
  pub(crate) is_complete: bool,
}

impl RawCaller {
  /// Reads until the response contains a text.
  pub(crate) async fn read_until(&mut self, text: &str) {
    let contains = |bytes: &[u8]| {
      bytes
        .windows(text.len())
        .any(|part| part == text.as_bytes())
    };
    while !contains(&self.bytes) {
      let is_open = self.read().await;
      let received = String::from_utf8_lossy(&self.bytes).into_owned();
      assert_eq!(is_open, Ok(true), "received {received:?} without {text:?}");
    }
  }

  /// Closes the caller's direction of the connection.
  pub(crate) async fn half_close(&mut self) {
    self.stream.shutdown().await.unwrap();
  }

  /// Reads the rest of the response.
  pub(crate) async fn finish(mut self) -> RawResponse {
    loop {
      if let Some(response) = parse(&self.bytes, None).filter(|response| response.is_complete) {
        return response;
      }
      let end = match self.read().await {
        Ok(true) => continue,
        Ok(false) => Ok(()),
        Err(()) => Err(()),
      };
      return parse(&self.bytes, Some(end)).expect("a response's head");
    }
  }

  /// Reads some bytes; `false` when the connection was closed in order, an error when it was reset.
  async fn read(&mut self) -> Result<bool, ()> {
    let read = timeout(TIMEOUT, self.stream.read_buf(&mut self.bytes)).await;
    match read.expect("no bytes in time") {
      Ok(count) => Ok(count > 0),
      Err(_) => Err(()),
    }
  }
}

/// The response in some bytes; `end` is how the connection has ended, if it has.
fn parse(bytes: &[u8], end: Option<Result<(), ()>>) -> Option<RawResponse> {
  let head_end = bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
  let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
  let rest = &bytes[head_end + 4..];
  let length = head
    .lines()
    .find_map(|line| line.strip_prefix("content-length: "))
    .map(|length| length.parse::<usize>().unwrap());
  let (body, is_complete) = if head.contains("transfer-encoding: chunked") {
    decode_chunks(rest)
  } else if let Some(length) = length {
    (rest.to_vec(), rest.len() == length)
  } else {
    (rest.to_vec(), end == Some(Ok(())))
  };
  Some(RawResponse {
    body: String::from_utf8_lossy(&body).into_owned(),
    is_complete,
    status: head.split(' ').nth(1)?.parse().ok()?,
  })
}

/// The data of a body in chunks, and whether its last chunk is there.
fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
  let mut body = Vec::new();
  while let Some(line_end) = bytes.windows(2).position(|part| part == b"\r\n") {
    let size = std::str::from_utf8(&bytes[..line_end]).unwrap();
    let size = usize::from_str_radix(size, 16).unwrap();
    let data = &bytes[line_end + 2..];
    if size == 0 {
      return (body, data.starts_with(b"\r\n"));
    }
    body.extend_from_slice(&data[..size.min(data.len())]);
    let Some(rest) = data.get(size + 2..) else {
      break;
    };
    bytes = rest;
  }
  (body, false)
}
