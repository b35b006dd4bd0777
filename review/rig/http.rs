//! HTTP/1.1 over blocking sockets: a server with one thread per connection, and the parts of a client.

use std::{
  io::{self, BufRead, BufReader, Read, Write},
  net::{Shutdown, SocketAddr, TcpListener, TcpStream},
  sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
  },
  thread::{self, sleep},
  time::Duration,
};

use super::record::lock;

/// Interval of checks for a new connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Stack of a connection's thread, which holds little.
const STACK_BYTES: usize = 128 * 1024;

/// A request that a server received.
pub struct Request {
  pub method: String,
  /// The path with its query.
  pub target: String,
  pub headers: Headers,
  pub body: Vec<u8>,
}

impl Request {
  /// The path without its query.
  pub fn path(&self) -> &str {
    self.target.split('?').next().unwrap_or_default()
  }

  /// A parameter of the query.
  pub fn parameter(&self, name: &str) -> Option<&str> {
    let (_, query) = self.target.split_once('?')?;
    query.split('&').find_map(|pair| {
      let (key, value) = pair.split_once('=')?;
      (key == name).then_some(value)
    })
  }

  /// The body as text.
  pub fn text(&self) -> String {
    String::from_utf8_lossy(&self.body).into_owned()
  }
}

/// The headers of a message, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
  /// The first value of a header.
  pub fn get(&self, name: &str) -> Option<&str> {
    let found = self.0.iter().find(|(other, _)| other == name);
    found.map(|(_, value)| value.as_str())
  }
}

/// What a handler does with a connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
  KeepAlive,
  Close,
}

/// Handles the requests of one connection. It writes the response itself; an error closes the connection.
pub type Handler = Arc<dyn Fn(Request, &mut TcpStream) -> io::Result<Next> + Send + Sync>;

/// A server that can be ended: then its connections are closed, and new ones are refused.
#[derive(Clone, Default)]
pub struct Server {
  has_ended: Arc<AtomicBool>,
  open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
  /// Ends the server.
  pub fn end(&self) {
    self.has_ended.store(true, Ordering::Relaxed);
    for stream in lock(&self.open).drain(..) {
      // Fails for a connection that its peer has closed.
      let _ = stream.shutdown(Shutdown::Both);
    }
  }
}

/// Serves connections in the background until the process ends; returns the address.
pub fn serve(listener: TcpListener, handler: Handler) -> io::Result<SocketAddr> {
  serve_until_end(listener, handler, &Server::default())
}

/// Serves connections in the background until the server is ended; returns the address.
pub fn serve_until_end(
  listener: TcpListener,
  handler: Handler,
  server: &Server,
) -> io::Result<SocketAddr> {
  let address = listener.local_addr()?;
  let server = server.clone();
  listener.set_nonblocking(true)?;
  spawn(move || {
    while !server.has_ended.load(Ordering::Relaxed) {
      let Ok((stream, _)) = listener.accept() else {
        sleep(ACCEPT_INTERVAL);
        continue;
      };
      let Ok(copy) = stream.try_clone() else {
        continue;
      };
      lock(&server.open).push(copy);
      let handler = handler.clone();
      let _ = spawn(move || {
        // A connection ends with its peer, which is no error here.
        let _ = serve_connection(stream, &handler);
      });
    }
  })?;
  Ok(address)
}

/// Starts a thread with a small stack.
pub fn spawn<T: Send + 'static>(
  work: impl FnOnce() -> T + Send + 'static,
) -> io::Result<thread::JoinHandle<T>> {
  thread::Builder::new().stack_size(STACK_BYTES).spawn(work)
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
  stream.set_nonblocking(false)?;
  stream.set_nodelay(true)?;
  let mut reader = BufReader::new(stream.try_clone()?);
  while let Some(request) = read_request(&mut reader)? {
    if handler(request, &mut stream)? == Next::Close {
      break;
    }
  }
  Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
  let mut line = String::new();
  if reader.read_line(&mut line)? == 0 {
    return Ok(None);
  }
  let mut words = line.split_whitespace().map(str::to_owned);
  let (Some(method), Some(target)) = (words.next(), words.next()) else {
    return Err(io::Error::other("malformed request line"));
  };
  let headers = read_headers(reader)?;
  let length = headers.get("content-length");
  let length = length.map_or(Ok(0), str::parse).map_err(io::Error::other)?;
  let mut body = vec![0; length];
  reader.read_exact(&mut body)?;
  Ok(Some(Request {
    body,
    headers,
    method,
    target,
  }))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
  let mut headers = Vec::new();
  loop {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
      return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let line = line.trim_end();
    if line.is_empty() {
      return Ok(Headers(headers));
    }
    if let Some((name, value)) = line.split_once(':') {
      headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
  }
}

/// Writes a whole response with a JSON body.
pub fn write_json(
  stream: &mut TcpStream,
  status: u16,
  headers: &str,
  body: &str,
) -> io::Result<Next> {
  let head = format!(
    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{headers}\r\n",
    body.len()
  );
  stream.write_all(head.as_bytes())?;
  stream.write_all(body.as_bytes())?;
  Ok(Next::KeepAlive)
}

/// The head of a response, and the reader of its body.
pub struct Response {
  pub status: u16,
  pub headers: Headers,
  reader: BufReader<TcpStream>,
}

/// Part of a response's body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyPart {
  Data(Vec<u8>),
  End,
}

impl Response {
  /// Reads the head of a response.
  pub fn read(stream: TcpStream) -> io::Result<Self> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
      return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split_whitespace().nth(1);
    let status = status.and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("malformed status line"))?;
    let headers = read_headers(&mut reader)?;
    Ok(Self {
      headers,
      reader,
      status,
    })
  }

  /// Whether the body is chunked.
  pub fn is_chunked(&self) -> bool {
    self.headers.get("transfer-encoding") == Some("chunked")
  }

  /// Reads the next chunk of a chunked body; an error means that the body is incomplete.
  pub fn next_chunk(&mut self) -> io::Result<BodyPart> {
    let mut line = String::new();
    if self.reader.read_line(&mut line)? == 0 {
      return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut data = vec![0; length + 2];
    self.reader.read_exact(&mut data)?;
    data.truncate(length);
    match length {
      0 => Ok(BodyPart::End),
      _ => Ok(BodyPart::Data(data)),
    }
  }
}

/// The status of a GET request; `None` without an answer in time.
pub fn get_status(address: SocketAddr, path: &str, limit: Duration) -> Option<u16> {
  let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
  stream.set_read_timeout(Some(limit)).ok()?;
  let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
  stream.write_all(request.as_bytes()).ok()?;
  Response::read(stream).ok().map(|response| response.status)
}
