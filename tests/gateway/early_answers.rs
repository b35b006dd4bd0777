//! Endpoints that answer a request before they have read its long body, and go on reading the connection later.

use {
  super::{GatewayBox, GatewayTest, HOST},
  emulator::own_addresses,
  http::Request,
  http_body_util::Full,
  rstest::rstest,
  serde_json::json,
  std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
  },
};

/// More than the kernel buffers on a connection that is not read.
const UNSENT_BODY_BYTES: usize = 12 * 1024 * 1024;
/// A body that the kernel holds while the endpoint does not read it.
const UNREAD_BODY_BYTES: usize = 96 * 1024;
/// Requests with a longer body are answered early.
const EARLY_FROM_BYTES: usize = 64 * 1024;
/// Size of a receive buffer that the kernel raises to its least.
const SMALLEST_BUFFER_BYTES: u32 = 1;
/// Time for which an endpoint reads nothing after an early answer.
const HOLD: Duration = Duration::from_millis(400);
/// Long requests of one test, each with a short one after it.
const ROUNDS: usize = 3;
/// The endpoints have read all that was sent by then.
const READ_TIME: Duration = Duration::from_millis(1_500);
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// An endpoint's early answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EarlyAnswer {
  /// It has not run the request.
  NotRun,
  /// It has run it without the rest of its body.
  Failed,
  /// A success.
  Complete,
}

/// A request that was read whole.
#[derive(Clone, Debug)]
struct WholeRequest {
  line: String,
  headers: String,
  body: Vec<u8>,
}

impl WholeRequest {
  fn header(&self, name: &str) -> &str {
    let fields = self.headers.lines().filter_map(|line| line.split_once(':'));
    let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    values.next().map_or("", |(_, value)| value.trim())
  }

  fn body_bytes(&self) -> usize {
    self.header("content-length").parse().unwrap_or(0)
  }
}

/// What an endpoint has read, and bytes that are no request.
#[derive(Debug, Default)]
struct Read {
  requests: Vec<WholeRequest>,
  invalid: Vec<String>,
  early_answers: usize,
}

/// An endpoint that answers long requests early.
struct EarlyEndpoint {
  address: SocketAddr,
  read: Arc<Mutex<Read>>,
}

impl EarlyEndpoint {
  async fn start(answer: EarlyAnswer) -> Self {
    let [address] = own_addresses();
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.set_recv_buffer_size(SMALLEST_BUFFER_BYTES).unwrap();
    socket.bind(address).unwrap();
    let listener = socket.listen(64).unwrap();
    let read = Arc::<Mutex<Read>>::default();
    let shared = read.clone();
    tokio::spawn(async move {
      while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, answer, shared.clone()));
      }
    });
    Self { address, read }
  }

  fn early_answers(&self) -> usize {
    self.read.lock().unwrap().early_answers
  }
}

async fn serve(mut stream: TcpStream, answer: EarlyAnswer, read: Arc<Mutex<Read>>) {
  let mut bytes = Vec::new();
  while let Some(mut request) = read_head(&mut stream, &mut bytes, &read).await {
    let is_early = request.body_bytes() > EARLY_FROM_BYTES;
    if is_early {
      read.lock().unwrap().early_answers += 1;
      let reply = early_reply(&request, answer);
      if stream.write_all(reply.as_bytes()).await.is_err() {
        return;
      }
      sleep(HOLD).await;
    }
    let length = request.body_bytes();
    while bytes.len() < length {
      if !read_more(&mut stream, &mut bytes).await {
        return;
      }
    }
    request.body = bytes.drain(..length).collect();
    read.lock().unwrap().requests.push(request.clone());
    if !is_early && stream.write_all(reply(&request).as_bytes()).await.is_err() {
      return;
    }
  }
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> bool {
  let mut buffer = vec![0; 64 * 1024];
  match stream.read(&mut buffer).await {
    Ok(0) | Err(_) => false,
    Ok(count) => {
      bytes.extend_from_slice(&buffer[..count]);
      true
    }
  }
}

async fn read_head(
  stream: &mut TcpStream,
  bytes: &mut Vec<u8>,
  read: &Mutex<Read>,
) -> Option<WholeRequest> {
  loop {
    if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
      let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
      bytes.drain(..end + 4);
      let (line, headers) = head.split_once("\r\n").unwrap_or((&head, ""));
      if !line.ends_with(" HTTP/1.1") {
        read.lock().unwrap().invalid.push(line.into());
        return None;
      }
      return Some(WholeRequest {
        body: Vec::new(),
        headers: headers.into(),
        line: line.into(),
      });
    }
    if !read_more(stream, bytes).await {
      return None;
    }
  }
}

fn early_reply(request: &WholeRequest, answer: EarlyAnswer) -> String {
  match answer {
    EarlyAnswer::NotRun => respond(request, "503 Busy", "x-not-executed: 1\r\n", ""),
    EarlyAnswer::Failed => respond(request, "500 Failed", "x-response-seal: s\r\n", ""),
    EarlyAnswer::Complete => reply(request),
  }
}

/// A complete answer.
fn reply(request: &WholeRequest) -> String {
  let seal = "x-response-seal: s\r\n";
  let path = request.line.split(' ').nth(1).unwrap_or_default();
  match path {
    "/hold-take" => respond(request, "200 OK", seal, r#"{"hold":"h1"}"#),
    "/report" => respond(
      request,
      "200 OK",
      seal,
      r#"{"callSeq":0,"utilization":true}"#,
    ),
    _ if request.line.starts_with("DELETE ") => respond(request, "200 OK", seal, ""),
    _ if request.header("x-serving-stage") == "prefill" => {
      let export = r#"{"promptHandle":"e1","tokens":100,"version":1}"#;
      respond(request, "200 OK", seal, export)
    }
    _ if path.starts_with("/stream/") => {
      let seal = "x-response-seal: s\r\ncontent-type: text/event-stream\r\n";
      respond(request, "200 OK", seal, EVENTS)
    }
    _ => respond(request, "200 OK", seal, "ok"),
  }
}

fn respond(request: &WholeRequest, status: &str, headers: &str, body: &str) -> String {
  format!(
    "HTTP/1.1 {status}\r\nx-request-id: {}\r\n{headers}content-length: {}\r\n\r\n{body}",
    request.header("x-request-id"),
    body.len()
  )
}

/// A body that would be a request itself from any of its lines on.
fn long_body(length: usize) -> Vec<u8> {
  let request = "POST /unsafe/hidden HTTP/1.1\r\nhost: h\r\nx-request-id: hidden\r\n\r\n";
  let mut body = request.repeat(length / request.len() + 1);
  body.truncate(length);
  body.into_bytes()
}

async fn send_long(gateway: &GatewayBox, path: &str, id: &str, length: usize) {
  let request = Request::post(format!("http://{}{path}", gateway.callers))
    .header("host", HOST)
    .header("x-request-id", id)
    .header("x-deadline-ms", "20000")
    .header("x-token-counts", "100,50")
    .body(Full::new(long_body(length).into()))
    .unwrap();
  gateway.send(request).await;
}

/// A box whose configuration allows long bodies.
async fn test() -> GatewayTest {
  GatewayTest::new().await.configure(|configuration| {
    configuration["limits"]["maxBodyBytes"] = json!(2 * UNSENT_BODY_BYTES);
  })
}

/// All that an endpoint has read is whole: requests of callers with their bodies, and calls of the box.
fn assert_whole(endpoint: &EarlyEndpoint) {
  let read = endpoint.read.lock().unwrap();
  assert_eq!(read.invalid, Vec::<String>::new());
  for seen in &read.requests {
    assert_ne!(seen.header("x-request-id"), "hidden");
    match seen.body.len() {
      length @ (UNREAD_BODY_BYTES | UNSENT_BODY_BYTES) => {
        assert!(seen.body == long_body(length), "{}", seen.line);
      }
      _ => assert!(
        matches!(&*seen.body, b"" | b"prompt") || seen.body.starts_with(b"{"),
        "{}",
        seen.line
      ),
    }
  }
}

/// Guards against other bytes where the rest of a body is due, after an early answer.
#[rstest]
#[tokio::test]
async fn rest_of_a_body_is_followed_by_whole_requests_only(
  #[values(EarlyAnswer::NotRun, EarlyAnswer::Failed, EarlyAnswer::Complete)] answer: EarlyAnswer,
  #[values("/unsafe/a", "/stream/a")] path: &str,
  #[values(UNREAD_BODY_BYTES, UNSENT_BODY_BYTES)] length: usize,
) {
  let one = EarlyEndpoint::start(answer).await;
  let other = EarlyEndpoint::start(answer).await;
  let test = test().await;
  test.enter_at("p-1", "portal", None, one.address, "ready");
  test.enter_at("e-1", "llm", Some("prefill"), one.address, "ready");
  test.enter_at("e-2", "llm", Some("decode"), other.address, "ready");
  let gateway = test.start().await;
  for number in 0..ROUNDS {
    send_long(&gateway, path, &format!("long{number}"), length).await;
    gateway.ask(path, &format!("short{number}")).await;
  }
  sleep(READ_TIME).await;
  assert_whole(&one);
  assert_whole(&other);
  assert!(one.early_answers() > 0);
}
