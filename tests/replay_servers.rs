//! The servers of a replay on real sockets: what the judge relies on is exact to the byte.

use {
  judge::{RawConnection, RawRecords, RawRequest, ReadEnd, judge},
  rand::SeedableRng,
  rand_chacha::ChaCha8Rng,
  replay::{
    ClassLookup, Condition, Distribution, GarbleKind, GreyKind, Recorder, RequestClass, Server,
    ServerSpec, ServerWorld, Service, Stage, StartNaming, sample,
  },
  rstest::rstest,
  std::{collections::BTreeSet, io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
  },
};

const PATIENCE: Duration = Duration::from_secs(30);
/// Time in which something that must not happen would happen.
const QUIET: Duration = Duration::from_millis(300);
const READ_BYTES: usize = 1 << 16;
/// Events of a stream.
const EVENTS: u64 = 12;
/// Tokens of an event.
const STRIDE: u64 = 2;
/// Requests after which each variant of a fault was drawn.
const DRAWS: usize = 80;

const ENGINES: &str = r#"
name = "engines"
servers = []
slots = 2
queue = 1
conn_cap = 40

[llm]
step_ms = 1.0
step_ms_per_slot = 0.0
prefill_tokens_per_ms = 1000.0
first_ms = 1.0
stride = 2
chunk = 100
kv_tokens = 100000
kv_bytes = 1.0
link_mbps = 10000.0
report_lag_ms = 0.0
prefill = 0.5
handle_s = 20.0
switch_s = 0.0
pin_ms = 1000.0
hold_ms = 20000.0
"#;

const PLAIN: &str = r#"
name = "plain"
servers = []
slots = 2
queue = 0
conn_cap = 3
"#;

const STREAMS: &str = r#"
name = "streams"
service = "engines"
kind = "stream"
method = "POST"
aim_ms = 900.0
deadline_ms = 14000.0
timeout_ms = 14000.0
attempts = 2

[stream]
pieces = { mean = 12.0 }
piece_bytes = { mean = 120.0 }
gap_aim_ms = 300.0
resume = true
prompt_tokens = { mean = 100.0 }
"#;

struct Rig {
  world: ServerWorld,
  server: Arc<Server>,
  address: SocketAddr,
}

impl Rig {
  async fn start(service: &str, stage: Option<Stage>, seed: u64) -> Self {
    let classes = ClassLookup::default();
    let class: RequestClass = toml::from_str(STREAMS).unwrap();
    classes.add("calls.example", "/streams/", Arc::new(class));
    let world = ServerWorld::new(Recorder::default(), classes);
    Self::start_in(world, service, stage, seed).await
  }

  async fn start_in(world: ServerWorld, service: &str, stage: Option<Stage>, seed: u64) -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service: Service = toml::from_str(service).unwrap();
    let spec = ServerSpec {
      address,
      born_ms: 17,
      id: format!("i-{}", address.port()).into(),
      says_leaving: false,
      seed,
      service: Arc::new(service),
      speed: 1.0,
      stage,
      starts: StartNaming::Everywhere,
      version: "v1".into(),
      zone: "here".into(),
    };
    Self {
      address,
      server: Server::start(spec, listener, &world),
      world,
    }
  }

  async fn decode(seed: u64) -> Self {
    Self::start(ENGINES, Some(Stage::Decode), seed).await
  }

  async fn connect(&self) -> TcpStream {
    TcpStream::connect(self.address).await.unwrap()
  }

  /// Sends a request on a new connection.
  async fn send(&self, request: &str) -> TcpStream {
    let mut stream = self.connect().await;
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
  }

  /// Sends a request, and reads up to the end of the connection.
  async fn call(&self, request: &str) -> (Vec<u8>, ReadEnd) {
    let mut stream = self.send(request).await;
    read_to_end(&mut stream).await
  }

  /// The pieces of a run.
  fn made(&self, run: usize) -> Vec<(u64, Vec<u8>)> {
    let records = self.world.recorder.raw.records();
    records
      .runs
      .get(run)
      .map_or_else(Vec::new, |run| run.pieces.clone())
  }

  fn runs(&self) -> usize {
    self.world.recorder.raw.records().runs.len()
  }

  /// What the judge finds when this was read for a request.
  fn findings(&self, id: &str, bytes: Vec<u8>, end: ReadEnd) -> usize {
    let records = RawRecords {
      connections: vec![RawConnection {
        bytes,
        end,
        requests: vec![0],
      }],
      requests: vec![RawRequest {
        id: id.into(),
        last_event_id: None,
        may_resume: false,
        stream: Some(id.into()),
      }],
      runs: self.world.recorder.raw.records().runs.clone(),
    };
    judge(&records).len()
  }
}

/// A request of a stream that closes its connection.
fn stream_request(id: &str, headers: &str) -> String {
  kept_stream_request(id, &format!("Connection: close\r\n{headers}"))
}

fn kept_stream_request(id: &str, headers: &str) -> String {
  let tokens = EVENTS * STRIDE;
  format!(
    "POST /streams/a HTTP/1.1\r\nHost: calls.example\r\nX-Request-Id: {id}\r\nX-Token-Counts: 100,{tokens}\r\n\
     X-Prompt-Prefix: aa:60,{id}:40\r\nContent-Length: 5\r\n{headers}\r\nhello"
  )
}

fn call(method: &str, path: &str, body: &str) -> String {
  let length = body.len();
  format!(
    "{method} {path} HTTP/1.1\r\nHost: e\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
  )
}

async fn read_some(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<ReadEnd> {
  // Takes in all that has come.
  bytes.reserve(READ_BYTES);
  match timeout(PATIENCE, stream.read_buf(bytes)).await.unwrap() {
    Ok(0) => Some(ReadEnd::Closed),
    Ok(_) => None,
    Err(error) => {
      assert_eq!(error.kind(), ErrorKind::ConnectionReset);
      Some(ReadEnd::Reset)
    }
  }
}

async fn read_to_end(stream: &mut TcpStream) -> (Vec<u8>, ReadEnd) {
  let mut bytes = Vec::new();
  loop {
    if let Some(end) = read_some(stream, &mut bytes).await {
      return (bytes, end);
    }
  }
}

async fn read_until(stream: &mut TcpStream, bytes: &mut Vec<u8>, text: &str) {
  while !has(bytes, text) {
    assert_eq!(read_some(stream, bytes).await, None, "{}", show(bytes));
  }
}

fn show(bytes: &[u8]) -> String {
  String::from_utf8_lossy(bytes).into_owned()
}

fn has(bytes: &[u8], text: &str) -> bool {
  position(bytes, text.as_bytes()).is_some()
}

fn position(bytes: &[u8], of: &[u8]) -> Option<usize> {
  bytes.windows(of.len()).position(|window| window == of)
}

fn status(bytes: &[u8]) -> u16 {
  let text = show(bytes);
  text
    .split(' ')
    .nth(1)
    .and_then(|status| status.parse().ok())
    .unwrap_or(0)
}

fn json(bytes: &[u8]) -> serde_json::Value {
  let end = position(bytes, b"\r\n\r\n").unwrap();
  serde_json::from_slice(&bytes[end + 4..]).unwrap()
}

/// The data of an answer in chunks, as far as it has come. `None` if a chunk is not valid.
fn unchunked(mut bytes: &[u8]) -> Option<Vec<u8>> {
  let mut data = Vec::new();
  while let Some(line) = position(bytes, b"\r\n") {
    let length = usize::from_str_radix(std::str::from_utf8(&bytes[..line]).ok()?, 16).ok()?;
    let rest = &bytes[line + 2..];
    let taken = length.min(rest.len());
    data.extend_from_slice(&rest[..taken]);
    bytes = rest.get(taken + 2..).unwrap_or_default();
  }
  Some(data)
}

fn body(bytes: &[u8]) -> &[u8] {
  position(bytes, b"\r\n\r\n").map_or(&[], |end| &bytes[end + 4..])
}

async fn wait_until(condition: impl Fn() -> bool) {
  let waiting = async {
    while !condition() {
      sleep(Duration::from_millis(2)).await;
    }
  };
  timeout(PATIENCE, waiting).await.unwrap();
}

#[tokio::test]
async fn events_of_a_sound_stream_differ_from_what_its_run_made() {
  let rig = Rig::decode(1).await;
  for number in 0..10 {
    let id = format!("sound-{number}");
    let (bytes, end) = rig.call(&stream_request(&id, "")).await;
    assert_eq!(end, ReadEnd::Closed);
    let pieces = rig.made(number);
    assert_eq!(pieces.len() as u64, EVENTS);
    let made: Vec<u8> = pieces.iter().flat_map(|(_, piece)| piece.clone()).collect();
    assert_eq!(unchunked(body(&bytes)), Some(made));
    assert!(pieces.iter().all(|(_, piece)| piece.len() >= 120));
    assert_eq!(rig.findings(&id, bytes, end), 0);
  }
}

#[tokio::test]
async fn pieces_of_two_runs_of_a_stream_are_alike() {
  let rig = Rig::decode(2).await;
  rig.call(&stream_request("twice", "")).await;
  rig.call(&stream_request("twice", "")).await;
  let (first, second) = (rig.made(0), rig.made(1));
  assert!(
    first
      .iter()
      .zip(&second)
      .all(|(first, second)| first != second)
  );
}

#[tokio::test]
async fn resumed_stream_has_another_last_event_or_begins_anew() {
  let rig = Rig::decode(3).await;
  rig
    .call(&stream_request("b", "Last-Event-Id: 9\r\nResumes: a\r\n"))
    .await;
  let numbers: Vec<u64> = rig.made(0).iter().map(|(number, _)| *number).collect();
  assert_eq!(numbers, (10..=EVENTS).collect::<Vec<_>>());
  let records = rig.world.recorder.raw.records();
  assert_eq!(
    (records.runs[0].last_event_id, records.runs[0].last_piece),
    (Some(9), EVENTS)
  );
}

#[tokio::test]
async fn stream_resumed_after_its_last_event_brings_an_event() {
  let rig = Rig::decode(3).await;
  let request = stream_request("b", &format!("Last-Event-Id: {EVENTS}\r\n"));
  let (bytes, end) = rig.call(&request).await;
  assert_eq!((body(&bytes), end), (&b"0\r\n\r\n"[..], ReadEnd::Closed));
}

#[tokio::test]
async fn bytes_of_a_piece_are_sent_before_it_is_recorded() {
  let rig = Rig::decode(4).await;
  let mut stream = rig.send(&stream_request("a", "")).await;
  let mut bytes = Vec::new();
  while read_some(&mut stream, &mut bytes).await.is_none() {
    let data = unchunked(body(&bytes)).unwrap();
    let made: Vec<u8> = rig
      .made(0)
      .into_iter()
      .flat_map(|(_, piece)| piece)
      .collect();
    assert!(made.starts_with(&data), "{}\n{}", show(&data), show(&made));
  }
}

#[tokio::test]
async fn events_are_never_split_over_writes() {
  let rig = Rig::decode(5).await;
  let mut splits = 0;
  for number in 0..4 {
    let mut stream = rig.send(&stream_request(&number.to_string(), "")).await;
    let mut bytes = Vec::new();
    while read_some(&mut stream, &mut bytes).await.is_none() {
      let data = unchunked(body(&bytes)).unwrap();
      if !data.is_empty() && !data.ends_with(b"\n\n") {
        splits += 1;
      }
    }
  }
  assert!(splits > 0);
}

#[rstest]
#[case::chunks(None)]
#[case::unframed(Some(GarbleKind::Unframed))]
#[tokio::test]
async fn killed_engine_goes_on_sending_or_resets(#[case] garble: Option<GarbleKind>) {
  let (mut cut_inside, mut cut_between) = (0, 0);
  for seed in 0..EVENTS {
    let rig = Rig::decode(seed).await;
    let condition = garble.map(|kind| Condition::Garbled { kind, share: 1.0 });
    let _guard = condition.map(|condition| rig.server.conditions().begin(condition));
    let mut stream = rig.send(&stream_request("a", "")).await;
    let mut bytes = Vec::new();
    read_until(&mut stream, &mut bytes, &format!("id: {}\n", seed + 1)).await;
    rig.server.kill();
    let made = rig.made(0);
    while read_some(&mut stream, &mut bytes).await.is_none() {}
    sleep(Duration::from_millis(20)).await;
    assert_eq!(rig.made(0), made, "events made after the kill");
    let data = match garble {
      Some(_) => Some(body(&bytes).to_vec()),
      None => unchunked(body(&bytes)),
    };
    let data = data.unwrap();
    let made: Vec<u8> = made.into_iter().flat_map(|(_, piece)| piece).collect();
    assert!(made.starts_with(&data), "{}", show(&bytes));
    let is_whole = data.len() == made.len() && rig.made(0).len() as u64 == EVENTS;
    let ends_inside = !data.ends_with(b"\n\n");
    cut_inside += usize::from(ends_inside);
    cut_between += usize::from(!ends_inside && !is_whole);
  }
  assert!(cut_inside > 0);
  assert!(cut_between > 0);
}

#[tokio::test]
async fn killed_engine_closes_a_connection_with_a_reset() {
  let rig = Rig::decode(6).await;
  let mut stream = rig.send(&stream_request("a", "")).await;
  let mut bytes = Vec::new();
  read_until(&mut stream, &mut bytes, "id: 2\n").await;
  rig.server.kill();
  let (_, end) = read_to_end(&mut stream).await;
  assert_eq!(end, ReadEnd::Closed);
}

#[tokio::test]
async fn killed_server_closes_a_connection_with_unread_bytes_in_order() {
  let rig = Rig::decode(7).await;
  let mut stream = rig.send("GET /report HTTP/1.1\r\nHost: e\r\n\r\n").await;
  let mut bytes = Vec::new();
  read_until(&mut stream, &mut bytes, "kvUsed").await;
  let _silent = rig.server.conditions().begin(Condition::Silent);
  stream.write_all(b"GET /report HTTP/1.1\r\n").await.unwrap();
  sleep(QUIET).await;
  rig.server.kill();
  let (_, end) = read_to_end(&mut stream).await;
  assert_eq!(end, ReadEnd::Reset);
}

#[tokio::test]
async fn killed_server_still_takes_connections() {
  let rig = Rig::decode(8).await;
  rig.server.kill();
  let refused = async {
    while TcpStream::connect(rig.address).await.is_ok() {
      sleep(Duration::from_millis(2)).await;
    }
  };
  timeout(PATIENCE, refused).await.unwrap();
  assert!(!rig.server.is_up());
}

#[tokio::test]
async fn unframed_stream_is_not_whole_or_is_framed() {
  let rig = Rig::decode(9).await;
  let _guard = rig.server.conditions().begin(Condition::Garbled {
    kind: GarbleKind::Unframed,
    share: 1.0,
  });
  for number in 0..6 {
    let id = format!("unframed-{number}");
    let (bytes, end) = rig.call(&kept_stream_request(&id, "")).await;
    assert_eq!(end, ReadEnd::Closed);
    assert!(!has(&bytes, "Content-Length") && !has(&bytes, "Transfer-Encoding"));
    let made: Vec<u8> = rig
      .made(number)
      .into_iter()
      .flat_map(|(_, piece)| piece)
      .collect();
    assert_eq!(show(body(&bytes)), show(&made));
    assert_eq!(rig.findings(&id, bytes, end), 0);
  }
}

/// How an answer differs from a sound one.
fn differs(bytes: &[u8], end: ReadEnd) -> &'static str {
  const NOISE: &[u8] = b"\x00\x16garbled ";
  let Some(noise) = position(bytes, NOISE) else {
    return match end {
      _ if bytes.ends_with(b"\r\n0\r\n\r\n") => "whole",
      ReadEnd::Reset => "cut off by a reset",
      _ => "cut off by a close",
    };
  };
  match (
    noise,
    has(bytes, "id: 1\n"),
    has(&bytes[..noise], "\r\n0\r\n\r\n"),
  ) {
    (0, true, _) => "noise before",
    (0, false, _) => "noise instead",
    (_, _, true) => "noise behind",
    (_, _, false) => "noise within",
  }
}

#[tokio::test]
async fn broken_answers_lack_a_kind_or_are_whole() {
  let rig = Rig::decode(10).await;
  let _guard = rig.server.conditions().begin(Condition::Garbled {
    kind: GarbleKind::Broken,
    share: 1.0,
  });
  let mut kinds = BTreeSet::new();
  for number in 0..DRAWS {
    let (bytes, end) = rig.call(&stream_request(&number.to_string(), "")).await;
    kinds.insert(differs(&bytes, end));
  }
  let expected = [
    "cut off by a close",
    "cut off by a reset",
    "noise before",
    "noise behind",
    "noise instead",
    "noise within",
  ];
  assert_eq!(kinds, BTreeSet::from(expected));
}

#[tokio::test]
async fn share_of_garbled_answers_is_not_kept() {
  let rig = Rig::decode(11).await;
  let _guard = rig.server.conditions().begin(Condition::Garbled {
    kind: GarbleKind::Broken,
    share: 0.5,
  });
  let mut whole = 0;
  for number in 0..DRAWS {
    let (bytes, end) = rig.call(&stream_request(&number.to_string(), "")).await;
    whole += usize::from(differs(&bytes, end) == "whole");
  }
  assert!((DRAWS / 4..DRAWS * 3 / 4).contains(&whole), "{whole}");
}

#[tokio::test]
async fn extra_answer_does_not_follow_at_once() {
  let rig = Rig::decode(12).await;
  let _guard = rig.server.conditions().begin(Condition::Garbled {
    kind: GarbleKind::Extra,
    share: 1.0,
  });
  let (bytes, _) = rig.call(&stream_request("a", "")).await;
  let end = position(&bytes, b"\r\n0\r\n\r\n").unwrap() + 7;
  let second = &bytes[end..];
  assert!(second.starts_with(b"HTTP/1.1 200 ") && has(second, "X-Request-Id: a\r\n"));
  assert_eq!(body(second), rig.made(0)[0].1);
}

#[tokio::test]
async fn late_answer_comes_before_the_next_request() {
  let rig = Rig::decode(13).await;
  let late = rig.server.conditions().begin(Condition::Garbled {
    kind: GarbleKind::Late,
    share: 1.0,
  });
  loop {
    let mut stream = rig.send(&kept_stream_request("a", "")).await;
    let mut bytes = Vec::new();
    read_until(&mut stream, &mut bytes, "\r\n0\r\n\r\n").await;
    if has(&bytes, "Connection: close") {
      continue;
    }
    assert!(bytes.ends_with(b"\r\n0\r\n\r\n"));
    let early = timeout(QUIET, stream.read_u8()).await;
    assert!(early.is_err(), "{early:?}");
    drop(late);
    let request = stream_request("b", "");
    stream.write_all(request.as_bytes()).await.unwrap();
    let (bytes, _) = read_to_end(&mut stream).await;
    let text = show(&bytes);
    let first = text.find("X-Request-Id: a\r\n").unwrap();
    let second = text.find("X-Request-Id: b\r\n").unwrap();
    assert!(first < second);
    return;
  }
}

#[rstest]
#[case::closed(false, ReadEnd::Closed)]
#[case::reset(true, ReadEnd::Reset)]
#[tokio::test]
async fn lost_answer_is_sent_or_not_made(#[case] resets: bool, #[case] expected: ReadEnd) {
  let rig = Rig::decode(14).await;
  let _guard = rig
    .server
    .conditions()
    .begin(Condition::AnswersLost { resets, share: 1.0 });
  let (bytes, end) = rig.call(&stream_request("a", "")).await;
  assert_eq!((bytes, end), (Vec::new(), expected));
  assert_eq!(rig.made(0).len() as u64, EVENTS);
}

#[tokio::test]
async fn silence_ends_while_another_lasts_or_loses_bytes() {
  let rig = Rig::decode(15).await;
  let mut stream = rig.send(&stream_request("a", "")).await;
  let mut bytes = Vec::new();
  read_until(&mut stream, &mut bytes, "id: 2\n").await;
  let first = rig.server.conditions().begin(Condition::Silent);
  let second = rig.server.conditions().begin(Condition::Silent);
  // Takes out what was sent before.
  while let Ok(read) = timeout(QUIET, stream.read_buf(&mut bytes)).await {
    assert_ne!(read.unwrap(), 0);
  }
  drop(first);
  assert!(rig.server.conditions().is_silent());
  assert!(timeout(QUIET, stream.read_buf(&mut bytes)).await.is_err());
  drop(second);
  let (rest, end) = read_to_end(&mut stream).await;
  bytes.extend(rest);
  assert_eq!(rig.findings("a", bytes, end), 0);
}

#[tokio::test]
async fn run_goes_on_after_its_peer_closed_the_connection() {
  let rig = Rig::decode(16).await;
  let _mute = rig.server.conditions().begin(Condition::Grey {
    kind: GreyKind::Mute,
    share: 1.0,
  });
  let stream = rig.send(&stream_request("a", "")).await;
  wait_until(|| rig.server.running() == 1).await;
  drop(stream);
  wait_until(|| rig.server.running() == 0).await;
}

#[tokio::test]
async fn full_engine_runs_a_request_or_gives_no_promise() {
  let rig = Rig::decode(17).await;
  let _slow = rig.server.conditions().begin(Condition::WorkSlowed(500.0));
  let mut kept = Vec::new();
  for id in ["a", "b", "c"] {
    kept.push(rig.send(&kept_stream_request(id, "")).await);
  }
  wait_until(|| rig.runs() == 2).await;
  sleep(QUIET).await;
  let (bytes, _) = rig.call(&stream_request("d", "")).await;
  assert_eq!(status(&bytes), 503);
  assert!(has(&bytes, "X-Not-Executed: 1\r\n") && has(&bytes, "X-Request-Id: d\r\n"));
  assert!(has(&bytes, "X-Server-Load: 2,1,2\r\n"));
  assert_eq!(rig.runs(), 2);
}

#[tokio::test]
async fn request_runs_at_a_server_of_another_id_or_stage() {
  let rig = Rig::decode(18).await;
  let (bytes, _) = rig
    .call(&stream_request("a", "X-Expect-Instance: i-none\r\n"))
    .await;
  assert_eq!(status(&bytes), 421);
  assert!(has(
    &bytes,
    &format!("X-Instance-Id: i-{}\r\n", rig.address.port())
  ));
  let (bytes, _) = rig
    .call(&stream_request("a", "X-Serving-Stage: prefill\r\n"))
    .await;
  assert_eq!(status(&bytes), 421);
  let no_id = "POST /streams/a HTTP/1.1\r\nHost: calls.example\r\nConnection: close\r\n\r\n";
  let (bytes, _) = rig.call(no_id).await;
  assert_eq!(status(&bytes), 400);
  assert!(has(&bytes, "X-Not-Executed: 1\r\n"));
  assert_eq!(rig.runs(), 0);
}

async fn read_prompt(prefill: &Rig, id: &str) -> String {
  let (bytes, _) = prefill
    .call(&stream_request(id, "X-Serving-Stage: prefill\r\n"))
    .await;
  assert_eq!(status(&bytes), 200, "{}", show(&bytes));
  let answer = json(&bytes);
  assert_eq!(
    (&answer["tokens"], &answer["version"]),
    (&100.into(), &1.into())
  );
  let handle = answer["promptHandle"].as_str().unwrap();
  format!(
    "X-Kv-Source: 127.9.9.9:{}/{handle}\r\n",
    prefill.address.port()
  )
}

#[tokio::test]
async fn exported_prompt_serves_twice_or_after_it_lapsed_or_its_engine_ended() {
  let decode = Rig::decode(19).await;
  let world = decode.world.clone();
  let prefill = Rig::start_in(world, ENGINES, Some(Stage::Prefill), 20).await;
  let source = read_prompt(&prefill, "a").await;
  let (bytes, _) = decode.call(&stream_request("a", &source)).await;
  assert_eq!(status(&bytes), 200);
  let taken = decode.call(&stream_request("a", &source)).await.0;
  let lapsed = {
    let _lapse = prefill.server.conditions().begin(Condition::HandlesLapse);
    let source = read_prompt(&prefill, "b").await;
    decode.call(&stream_request("b", &source)).await.0
  };
  let source = read_prompt(&prefill, "c").await;
  prefill.server.kill();
  let ended = decode.call(&stream_request("c", &source)).await.0;
  for bytes in [taken, lapsed, ended] {
    assert_eq!(status(&bytes), 503);
    assert!(has(&bytes, "X-Not-Executed: 1\r\n"));
  }
  assert_eq!(decode.runs(), 1);
}

#[tokio::test]
async fn dropped_handle_serves() {
  let decode = Rig::decode(21).await;
  let world = decode.world.clone();
  let prefill = Rig::start_in(world, ENGINES, Some(Stage::Prefill), 22).await;
  let source = read_prompt(&prefill, "a").await;
  let handle = source.trim().rsplit('/').next().unwrap();
  let path = format!("/kv-handle/{handle}");
  let (bytes, _) = prefill.call(&call("DELETE", &path, "")).await;
  assert_eq!(status(&bytes), 200);
  let (bytes, _) = decode.call(&stream_request("a", &source)).await;
  assert_eq!(status(&bytes), 503);
}

#[tokio::test]
async fn reserved_slot_is_given_to_others() {
  let rig = Rig::decode(23).await;
  let take = call("POST", "/hold-take", r#"{"tokens":200,"ttlMs":20000}"#);
  let (first, _) = rig.call(&take).await;
  let (second, _) = rig.call(&take).await;
  let (third, _) = rig.call(&take).await;
  assert_eq!(
    [status(&first), status(&second), status(&third)],
    [200, 200, 503]
  );
  let hold = json(&first)["hold"].as_str().unwrap().to_owned();
  let dropped = json(&second)["hold"].as_str().unwrap().to_owned();
  let headers = format!("X-Hold: {hold}\r\n");
  let (bytes, _) = rig.call(&stream_request("a", &headers)).await;
  assert_eq!(status(&bytes), 200);
  let path = format!("/hold-drop/{dropped}");
  let (bytes, _) = rig.call(&call("DELETE", &path, "")).await;
  assert_eq!(status(&bytes), 200);
  let (bytes, _) = rig.call(&call("DELETE", &path, "")).await;
  assert_eq!(status(&bytes), 404);
}

#[tokio::test]
async fn order_is_taken_twice_or_without_its_parts() {
  let rig = Rig::decode(24).await;
  let order = |body: &str| call("POST", "/order", body);
  let complete = r#"{"operation":"stage","stage":"prefill","holder":"b","fence":1}"#;
  for bad in [
    r#"{"operation":"stage","stage":"prefill","fence":1}"#,
    r#"{"operation":"stage","stage":"prefill","holder":"b"}"#,
    r#"{"operation":"rest","stage":"prefill","holder":"b","fence":1}"#,
    "{",
  ] {
    assert_eq!(status(&rig.call(&order(bad)).await.0), 400);
  }
  let stale = complete.replace('}', r#","prevRevision":3}"#);
  assert_eq!(status(&rig.call(&order(&stale)).await.0), 409);
  let mut stream = rig.send(&kept_stream_request("a", "")).await;
  read_until(&mut stream, &mut Vec::new(), "id: 1\n").await;
  assert_eq!(status(&rig.call(&order(complete)).await.0), 202);
  assert_eq!(rig.server.entry()["callSeq"], 1);
  wait_until(|| rig.server.entry()["stage"] == "prefill").await;
  assert_eq!(rig.made(0).len() as u64, EVENTS, "what ran came to its end");
  assert_eq!(status(&rig.call(&order(complete)).await.0), 200);
}

#[tokio::test]
async fn late_order_is_answered_or_not_carried_out() {
  let rig = Rig::decode(25).await;
  let _late = rig
    .server
    .conditions()
    .begin(Condition::OrdersLate { share: 1.0 });
  let body = r#"{"operation":"stage","stage":"prefill","holder":"b","fence":1}"#;
  let mut stream = rig.send(&call("POST", "/order", body)).await;
  wait_until(|| rig.server.entry()["stage"] == "prefill").await;
  let answer = timeout(QUIET, stream.read_u8()).await;
  assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test]
async fn report_lacks_a_field_or_the_start() {
  let rig = Rig::decode(26).await;
  let (bytes, _) = rig.call(&call("GET", "/report", "")).await;
  let report = json(&bytes);
  for (field, expected) in [
    ("stage", serde_json::json!("decode")),
    ("utilization", false.into()),
    ("callSeq", 0.into()),
    ("queued", 0.into()),
    ("inFlight", 0.into()),
    ("kvUsed", 0.into()),
    ("kvTotal", 100_000.into()),
    ("handles", 0.into()),
    ("born", 17.into()),
  ] {
    assert_eq!(report[field], expected, "{field}");
  }
}

#[tokio::test]
async fn kept_prompt_parts_are_not_listed() {
  let rig = Rig::decode(27).await;
  rig.call(&stream_request("a", "")).await;
  let list = json(&rig.call(&call("GET", "/kv-list", "")).await.0);
  let mut held: Vec<String> = list["held"]
    .as_array()
    .unwrap()
    .iter()
    .map(ToString::to_string)
    .collect();
  held.sort();
  assert_eq!(held, [r#"["","a",40,"m"]"#, r#"["","aa",60,"m"]"#]);
  let events = json(&rig.call(&call("GET", "/kv-events?since=1", "")).await.0);
  assert_eq!(
    events["events"],
    serde_json::json!([[2, "+", "", "a", 40, "m"]])
  );
}

#[tokio::test]
async fn leaving_server_keeps_connections_or_looks_healthy() {
  let rig = Rig::decode(28).await;
  let (bytes, _) = rig.call(&call("GET", "/health", "")).await;
  assert_eq!(status(&bytes), 200);
  assert!(has(
    &bytes,
    &format!("X-Instance-Id: i-{}\r\n", rig.address.port())
  ));
  rig.server.drain();
  assert_eq!(rig.server.entry()["state"], "draining");
  let (bytes, end) = rig.call(&kept_stream_request("a", "")).await;
  assert!(has(&bytes, "Connection: close\r\n"));
  assert_eq!(rig.findings("a", bytes, end), 0);
  assert_eq!(status(&rig.call(&call("GET", "/health", "")).await.0), 503);
  rig.server.stop().await;
  assert!(!rig.server.is_up());
}

#[rstest]
#[case::errors(GreyKind::Errors, 500, false)]
#[case::shed(GreyKind::Shed, 503, true)]
#[case::busy(GreyKind::Busy, 429, true)]
#[tokio::test]
async fn failing_server_answers_otherwise(
  #[case] kind: GreyKind,
  #[case] expected: u16,
  #[case] promises: bool,
) {
  let rig = Rig::decode(29).await;
  let _grey = rig
    .server
    .conditions()
    .begin(Condition::Grey { kind, share: 1.0 });
  let (bytes, _) = rig.call(&stream_request("a", "")).await;
  assert_eq!(status(&bytes), expected);
  assert_eq!(has(&bytes, "X-Not-Executed: 1\r\n"), promises);
  assert_eq!(status(&rig.call(&call("GET", "/health", "")).await.0), 200);
}

#[rstest]
#[case::hang(GreyKind::Hang, true)]
#[case::mute(GreyKind::Mute, false)]
#[tokio::test]
async fn hanging_server_ends_its_answer(#[case] kind: GreyKind, #[case] begins: bool) {
  let rig = Rig::decode(30).await;
  let _grey = rig
    .server
    .conditions()
    .begin(Condition::Grey { kind, share: 1.0 });
  let mut stream = rig.send(&stream_request("a", "")).await;
  let mut bytes = Vec::new();
  if begins {
    read_until(&mut stream, &mut bytes, "failed: ").await;
  }
  let more = timeout(QUIET, stream.read_u8()).await;
  assert!(more.is_err(), "{more:?}");
}

#[tokio::test]
async fn resetting_server_closes_in_order() {
  let rig = Rig::decode(31).await;
  let _grey = rig.server.conditions().begin(Condition::Grey {
    kind: GreyKind::Reset,
    share: 1.0,
  });
  let answer = rig.call(&stream_request("a", "")).await;
  assert_eq!(answer, (Vec::new(), ReadEnd::Reset));
}

#[test]
fn drawn_sizes_miss_their_mean_tail_or_largest_value() {
  let draws = |distribution: Distribution| {
    let mut random = ChaCha8Rng::seed_from_u64(34);
    let draws = (0..20_000).map(|_| sample(&distribution, &mut random));
    draws.collect::<Vec<f64>>()
  };
  let spread = draws(Distribution {
    mean: 60.0,
    spread: 0.5,
    ..Distribution::default()
  });
  let mean = spread.iter().sum::<f64>() / 20_000.0;
  assert!((58.0..62.0).contains(&mean), "{mean}");
  let tail = draws(Distribution {
    max: Some(100.0),
    mean: 30.0,
    tail: 0.1,
    tail_x: 5.0,
    ..Distribution::default()
  });
  let cut_off = tail.iter().filter(|draw| **draw >= 100.0).count();
  assert!((1_800..2_200).contains(&cut_off), "{cut_off}");
  assert!(tail.iter().all(|draw| *draw <= 100.0));
}

#[tokio::test]
async fn plain_service_loses_the_receipt_or_the_framing() {
  let rig = Rig::start(PLAIN, None, 32).await;
  let mut framings = BTreeSet::new();
  for number in 0..20 {
    let request = format!(
      "POST /orders/1 HTTP/1.1\r\nHost: p\r\nConnection: close\r\nX-Request-Id: r{number}\r\n\
       Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    );
    let (bytes, end) = rig.call(&request).await;
    assert_eq!((status(&bytes), end), (200, ReadEnd::Closed));
    assert!(has(&bytes, &format!("X-Request-Id: r{number}\r\n")));
    assert!(has(
      &bytes,
      &format!("X-Response-Seal: i-{}\r\n", rig.address.port())
    ));
    let is_chunked = has(&bytes, "Transfer-Encoding: chunked");
    assert_ne!(is_chunked, has(&bytes, "Content-Length: "));
    let data = match is_chunked {
      true => unchunked(body(&bytes)).unwrap(),
      false => body(&bytes).to_vec(),
    };
    assert_eq!(data.len(), 64);
    framings.insert(is_chunked);
  }
  assert_eq!(framings.len(), 2);
}

#[tokio::test]
async fn connection_above_the_limit_is_served() {
  let rig = Rig::start(PLAIN, None, 33).await;
  let mut kept = Vec::new();
  for number in 0..3 {
    let request = format!("GET /a HTTP/1.1\r\nHost: p\r\nX-Request-Id: r{number}\r\n\r\n");
    let mut stream = rig.send(&request).await;
    read_until(&mut stream, &mut Vec::new(), "HTTP/1.1 200").await;
    kept.push(stream);
  }
  let mut above = rig.connect().await;
  let (bytes, end) = read_to_end(&mut above).await;
  assert_eq!((bytes, end), (Vec::new(), ReadEnd::Reset));
}
