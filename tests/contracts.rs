//! Invalid input at each interface: settings, documents, frames, callers' and operators' requests, certificates.

use {
  crate::{
    Test,
    test::{PATIENCE, Running},
  },
  bytes::Bytes,
  emulator::{CALLER_KEY, Caller, HallPlan, Host, KeyValueStandIn, eventually},
  http::{Method, Request, StatusCode},
  http_body_util::Full,
  rillford::{
    configuration::Store,
    decide::{Document, PeerMessage},
    observe::Stamp,
    peers::{Frame, FrameError, MAX_FRAME_BYTES, decode, encode},
    settings::Settings,
    store::KeyValueClient,
  },
  rstest::rstest,
  std::{sync::Arc, time::Duration},
};

const SETTINGS: &str = r#"[box]
name = "north-1"
hall = "north"

[listen]
callers = "127.0.0.1:1"
administration = "127.0.0.1:2"
peers = "127.0.0.1:3"

[peers]
certificate = "a"
key = "b"
authority = "c"

[platform]
key_value = "http://127.0.0.1:4"
box_list = "http://127.0.0.1:5/boxes"

[administration]
keys_sha256 = []

[[endpoint]]
name = "p"
hall = "north"
kind = "engine"
role = "prefill"
models = ["m"]
url = "http://127.0.0.1:6"
seats = 4
"#;

fn settings_error(from: &str, to: &str) -> String {
  let text = SETTINGS.replace(from, to);
  assert_ne!(text, SETTINGS, "{from}");
  Settings::parse("box.toml".as_ref(), &text)
    .unwrap_err()
    .to_string()
}

#[test]
fn valid_settings_are_accepted() {
  Settings::parse("box.toml".as_ref(), SETTINGS).unwrap();
}

#[rstest]
#[case::syntax("[box]", "[box", "box.toml:1: syntax")]
#[case::unknown_section("[listen]", "[listens]", "box.toml:5: listens: unknown section")]
#[case::unknown_key(
  "hall = \"north\"\n\n",
  "halls = \"north\"\n\n",
  "box.toml:3: box: unknown field `halls`"
)]
#[case::missing_key("name = \"north-1\"\n", "", "box: missing field `name`")]
#[case::wrong_type("seats = 4", "seats = \"four\"", "box.toml:29: endpoint: invalid type")]
#[case::wrong_address("127.0.0.1:2", "nowhere", "box.toml:7: listen: invalid socket address")]
#[case::wrong_url(
  "http://127.0.0.1:6",
  "ftp://x",
  "box.toml:28: endpoint.url: `ftp://x`"
)]
#[case::no_seats(
  "seats = 4",
  "seats = 0",
  "box.toml:29: endpoint.seats: must be at least 1"
)]
#[case::no_role("role = \"prefill\"\n", "", "endpoint.role: an engine needs")]
#[case::wrong_hash(
  "keys_sha256 = []",
  "keys_sha256 = [\"abc\"]",
  "box.toml:20: administration.keys_sha256"
)]
#[case::short_lease(
  "key_value =",
  "lease_ms = 100\nkey_value =",
  "box.toml:16: platform.lease_ms"
)]
#[case::wrong_name("\"north-1\"", "\"north one\"", "box.toml:2: box.name")]
fn settings_errors_name_file_line_and_key(
  #[case] from: &str,
  #[case] to: &str,
  #[case] expected: &str,
) {
  let error = settings_error(from, to);
  assert!(error.contains(expected), "{error}");
}

#[test]
fn all_settings_errors_are_reported_together() {
  let text = SETTINGS
    .replace("name = \"north-1\"", "name = 7")
    .replace("callers = \"127.0.0.1:1\"", "callers = \"x\"")
    .replace("seats = 4", "seats = 0");
  let error = Settings::parse("box.toml".as_ref(), &text)
    .unwrap_err()
    .to_string();
  assert_eq!(error.lines().count(), 3, "{error}");
}

fn document(revision: u64, text: &str) -> Document {
  Document {
    key: "platform".into(),
    revision,
    text: text.into(),
  }
}

#[test]
fn store_applies_no_older_revision_and_no_partial_document() {
  let mut store = Store::default();
  let one = r#"{"tuning": {"queue_limit": 1}}"#;
  let two = r#"{"tuning": {"queue_limit": 2}}"#;
  assert_eq!(store.apply(document(5, one)), Ok(true));
  assert_eq!(store.apply(document(4, two)), Ok(false));
  assert_eq!(store.apply(document(5, two)), Ok(false));
  assert!(
    store
      .apply(document(6, "{\"tuning\": {\"queue_limit\": 2, \"x\": 1}}"))
      .is_err()
  );
  assert_eq!(store.view().tuning.queue_limit, 1);
  assert_eq!(store.apply(document(7, two)), Ok(true));
  assert_eq!(store.view().tuning.queue_limit, 2);
}

fn frame() -> Frame {
  Frame {
    from: "north-1".into(),
    message: PeerMessage::SlotFreed("d-1".into()),
    stamp: Stamp(7),
  }
}

#[rstest]
#[case::empty(Vec::new(), FrameError::Empty)]
#[case::other_version(vec![9, 1, 2], FrameError::Version(9))]
#[case::too_large(vec![1; MAX_FRAME_BYTES + 1], FrameError::TooLarge(MAX_FRAME_BYTES + 1))]
fn invalid_frames_are_rejected(#[case] bytes: Vec<u8>, #[case] expected: FrameError) {
  assert_eq!(decode(&bytes), Err(expected));
}

#[test]
fn truncated_or_extended_frames_are_malformed() {
  let bytes = encode(&frame()).unwrap();
  for length in 1..bytes.len() {
    assert!(decode(&bytes[..length]).is_err(), "{length}");
  }
  let longer = [bytes, vec![0]].concat();
  assert!(matches!(decode(&longer), Err(FrameError::Malformed(_))));
}

struct Call {
  key: &'static str,
  method: Method,
  path: &'static str,
  header: Option<(&'static str, &'static str)>,
  body: String,
}

fn call(path: &'static str, body: &str) -> Call {
  Call {
    body: body.into(),
    header: None,
    key: CALLER_KEY,
    method: Method::POST,
    path,
  }
}

const ASK: &str = r#"{"model": "lecture", "prompt": "x", "max_tokens": 1}"#;

async fn send(test: &Running, call: Call) -> (StatusCode, String) {
  let mut request = Request::builder()
    .method(call.method)
    .uri(format!("{}{}", test.url("north-1"), call.path))
    .header("authorization", format!("Bearer {}", call.key));
  if let Some((name, value)) = call.header {
    request = request.header(name, value);
  }
  let request = request.body(Full::new(Bytes::from(call.body))).unwrap();
  Caller::new("").raw(request).await.unwrap()
}

#[tokio::test]
async fn invalid_caller_requests_get_a_clear_error() {
  let test = Test::new().start().await;
  let path = "/v1/completions";
  let big = format!("{{\"prompt\": \"{}\"}}", "x".repeat(2 * 1024 * 1024));
  let header = |name, value| Call {
    header: Some((name, value)),
    ..call(path, ASK)
  };
  let cases = [
    (
      Call {
        key: "wrong",
        ..call(path, ASK)
      },
      401,
      "bearer key",
    ),
    (call(path, "{"), 400, "body: EOF"),
    (
      call(path, r#"{"model": "lecture"}"#),
      400,
      "missing field `prompt`",
    ),
    (
      call(path, &ASK.replace("lecture", "no")),
      404,
      "model `no` is not served",
    ),
    (
      call(path, &ASK.replace("\"x\"", "\"\"")),
      400,
      "the prompt is empty",
    ),
    (
      call(path, &ASK.replace(": 1", ": 0")),
      400,
      "max_tokens must lie between",
    ),
    (call(path, &big), 413, "larger than 1048576 bytes"),
    (
      header("x-rillford-deadline-ms", "soon"),
      400,
      "x-rillford-deadline-ms",
    ),
    (
      header("x-rillford-not-repeatable", "yes"),
      400,
      "must be `true` or `false`",
    ),
    (header("idempotency-key", ""), 400, "idempotency-key"),
    (call("/nowhere", ""), 404, "no such path"),
    (call("/services/unknown/x", ""), 503, "no live endpoint"),
  ];
  for (call, status, expected) in cases {
    let shown = format!("{} {:?}", call.path, call.header);
    let (found, body) = send(&test, call).await;
    assert_eq!(found.as_u16(), status, "{shown}: {body}");
    assert!(
      body.contains(expected) && body.contains("\"outcome\":\"not_run\""),
      "{shown}: {body}"
    );
  }
}

#[tokio::test]
async fn models_and_health_are_reported() {
  let test = Test::new().start().await;
  let get = |path| Call {
    method: Method::GET,
    ..call(path, "")
  };
  let (status, body) = send(&test, get("/v1/models")).await;
  assert!(
    status.is_success() && body.contains("\"id\":\"lecture\""),
    "{body}"
  );
  let (status, body) = send(&test, get("/health")).await;
  assert!(status.is_success() && body.contains("ready"), "{body}");
}

#[tokio::test]
async fn invalid_operator_requests_get_a_clear_error_and_change_nothing() {
  let test = Test::new().start().await;
  let before = test.status("north-1").await.configuration_digest;
  let platform = "/configuration/platform";
  let broken = "{\"policy\": \"fn rank(request, now) {\\n  #{ class: }\\n}\"}";
  let looping = "{\"policy\": \"fn rank(request, now) { loop {} }\"}";
  let cases = [
    (Method::PUT, platform, None, "{}", 428, "If-Match"),
    (
      Method::PUT,
      platform,
      Some(1),
      "{",
      400,
      "platform: line 1, column 1",
    ),
    (
      Method::PUT,
      platform,
      Some(1),
      "{\"tunings\": {}}",
      400,
      "unknown field `tunings`",
    ),
    (
      Method::PUT,
      platform,
      Some(1),
      "{\"tuning\": {\"seat_certainty\": 2}}",
      400,
      "between 0 and 1",
    ),
    (
      Method::PUT,
      platform,
      Some(1),
      broken,
      400,
      "policy: line 2, column",
    ),
    (
      Method::PUT,
      platform,
      Some(1),
      looping,
      400,
      "`rank` failed",
    ),
    (
      Method::PUT,
      platform,
      Some(999),
      "{}",
      409,
      "\"revision\":1",
    ),
    (
      Method::PUT,
      "/configuration/teams/x",
      Some(0),
      "{}",
      404,
      "is no document",
    ),
    (
      Method::PUT,
      "/configuration/organisations/x",
      Some(0),
      "{\"keys_sha256\": [\"1\"]}",
      400,
      "keys_sha256",
    ),
    (
      Method::GET,
      "/configuration/organisations/x",
      None,
      "",
      404,
      "not written yet",
    ),
    (
      Method::POST,
      "/endpoints/nobody/drain",
      None,
      "",
      404,
      "`nobody` is no endpoint",
    ),
    (Method::GET, "/nowhere", None, "", 404, "no such path"),
  ];
  for (method, path, if_match, body, status, expected) in cases {
    let (found, text) = test.admin("north-1", method, path, if_match, body).await;
    assert_eq!(found.as_u16(), status, "{path} {body}: {text}");
    assert!(text.contains(expected), "{path} {body}: {text}");
  }
  let uri = format!("{}/status", test.deployment.boxes["north-1"].admin_url());
  let request = Request::get(uri)
    .header("authorization", "Bearer wrong")
    .body(Full::default())
    .unwrap();
  let (status, body) = Caller::new("").raw(request).await.unwrap();
  assert_eq!(status, StatusCode::UNAUTHORIZED, "{body}");
  assert_eq!(test.status("north-1").await.configuration_digest, before);
}

#[tokio::test]
async fn box_with_an_untrusted_certificate_is_rejected_until_its_keys_are_replaced() {
  let mut test = Test::new()
    .plan(|plan| plan.start_boxes = false)
    .start_unready();
  let folder = test.deployment.folder().to_path_buf();
  let read = |name: &str| std::fs::read(folder.join(name)).unwrap();
  let write = |name: &str, bytes: &[u8]| std::fs::write(folder.join(name), bytes).unwrap();
  let files = ["authority.pem", "north-2.pem", "north-2.key"];
  let valid = files.map(|name| (name, read(name)));
  emulator::Authority::new()
    .unwrap()
    .issue(&folder, "north-2")
    .unwrap();
  write(files[0], &valid[0].1);
  for name in ["north-1", "north-2"] {
    test.deployment.start_box(name).unwrap();
  }
  assert!(test.deployment.ready(PATIENCE).await);
  let rejected = eventually(PATIENCE, async || {
    test.deployment.boxes["north-1"].log().contains("refused")
  });
  assert!(rejected.await);
  let is_live = async || {
    let status = test.status("north-1").await;
    status
      .peers
      .iter()
      .any(|peer| peer.name.as_ref() == "north-2" && peer.live)
  };
  assert!(!is_live().await);
  for (name, bytes) in &valid {
    write(name, bytes);
  }
  assert!(eventually(PATIENCE, is_live).await, "keys are not reloaded");
}

#[tokio::test]
async fn peer_without_a_certificate_is_rejected() {
  let test = Test::halls(vec![HallPlan::small("north", &["north-1"])])
    .start()
    .await;
  let authority = test.deployment.folder().join("authority.pem");
  let client = crate::test::client_without_certificate(&authority);
  let mut endpoint = quinn::Endpoint::client(([127, 0, 0, 1], 0).into()).unwrap();
  endpoint.set_default_client_config(client);
  let address = test.deployment.boxes["north-1"].peers;
  // With TLS 1.3 the client's handshake may complete before the server rejects it.
  let outcome = match endpoint.connect(address, "north-1").unwrap().await {
    Ok(connection) => Err(connection.closed().await),
    Err(error) => Err::<(), _>(error),
  };
  let error = outcome.unwrap_err().to_string();
  assert!(error.contains("certificate"), "{error}");
}

#[tokio::test]
async fn box_that_is_listed_late_becomes_a_peer() {
  let mut test = Test::new()
    .plan(|plan| plan.start_boxes = false)
    .start_unready();
  test.deployment.box_list.set(Vec::new());
  test
    .deployment
    .box_list
    .set_lag(std::time::Duration::from_secs(2));
  test.deployment.list_all();
  for name in ["north-1", "north-2"] {
    test.deployment.start_box(name).unwrap();
  }
  test.wait_serving("north-1").await;
  test
    .wait_status("north-1", |status| {
      status.peers.iter().any(|peer| peer.live)
    })
    .await;
}

#[tokio::test]
async fn burst_of_connections_waits_while_a_box_is_busy() {
  const CONNECTIONS: usize = 400;
  let test = Test::halls(vec![HallPlan::small("north", &["north-1"])])
    .start()
    .await;
  let process = &test.deployment.boxes["north-1"];
  let (address, bound) = (process.callers, std::time::Duration::from_millis(900));
  // A stopped process accepts nothing: only the listen backlog holds new connections.
  process.signal(libc::SIGSTOP);
  let connected = (0..CONNECTIONS)
    .map_while(|_| std::net::TcpStream::connect_timeout(&address, bound).ok())
    .collect::<Vec<_>>();
  process.signal(libc::SIGCONT);
  assert_eq!(connected.len(), CONNECTIONS);
}

/// A box that resumes extends its old lease. If the id were in use for a later lease, both boxes would be leader.
#[tokio::test]
async fn expired_lease_is_not_extended_by_the_id_of_a_later_one() {
  let (router, _faults) = KeyValueStandIn::default().door();
  let host = Host::start(router).unwrap();
  let service = KeyValueClient::new(&host.url(), PATIENCE, Arc::new(|| {}));
  let expired = service.grant_lease(Duration::from_secs(1)).await.unwrap();
  let is_expired = eventually(PATIENCE, async || {
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    !service.keep_alive(&expired).await.unwrap()
  });
  assert!(is_expired.await, "the lease does not expire");
  let later = service.grant_lease(PATIENCE).await.unwrap();
  assert_ne!(expired, later);
  assert!(!service.keep_alive(&expired).await.unwrap());
}
