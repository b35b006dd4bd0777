//! The headers that a box sets on each kind of request and call to an endpoint.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::engine_reply, extra_answers::LISTED_START_MS,
  },
  emulator::eventually,
  std::{
    collections::{BTreeSet, HashSet},
    time::Duration,
  },
  tokio::time::sleep,
};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// The routes' timeout, which is shorter than the callers'.
const ROUTE_TIMEOUT_MS: u64 = 4_000;
/// Between rounds of requests.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// The caller whose streams the engines reject.
const REJECTED: &str = "rejected";
/// Each kind of request and call, by its path or its stage.
const KINDS: [&str; 9] = [
  "/hold-drop/",
  "/hold-take",
  "/kv-handle/",
  "/kv-list",
  "/order",
  "/report",
  "plain",
  "prefill",
  "stream",
];

fn kind(seen: &ReceivedRequest) -> &'static str {
  let is_path = |kind: &&&str| kind.starts_with('/') && seen.path.starts_with(**kind);
  match KINDS.iter().find(is_path) {
    Some(kind) => kind,
    None if seen.path.starts_with("/safe/") || seen.path.starts_with("/unsafe/") => "plain",
    None if seen.body.is_empty() => "unknown",
    None if seen.header("x-hold").is_empty() && seen.header("x-kv-source").is_empty() => "prefill",
    None => "stream",
  }
}

/// An engine that takes orders.
fn engine(seen: &ReceivedRequest) -> Reply {
  match seen.path.as_str() {
    "/kv-list" => Reply::ok(seen, r#"{"epoch":1,"held":[]}"#),
    "/order" => Reply::status(seen, "202 Accepted", ""),
    "/report" => Reply::ok(
      seen,
      &format!(r#"{{"callSeq":4,"utilization":false,"born":{LISTED_START_MS}}}"#),
    ),
    _ if kind(seen) == "stream" && seen.id() == REJECTED => Reply::not_run(seen),
    _ => engine_reply(seen, EVENTS),
  }
}

/// A box's endpoints with their ids.
struct Endpoints(Vec<(&'static str, EndpointStandIn)>);

impl Endpoints {
  /// A plain endpoint, and more prefill engines than there should be.
  async fn start(test: &GatewayTest) -> Self {
    let mut endpoints = Vec::new();
    for id in ["p-1", "e-1", "e-2", "e-3", "e-4"] {
      let endpoint = match id {
        "p-1" => EndpointStandIn::start(|seen| Reply::ok(seen, "ok")).await,
        _ => EndpointStandIn::start(engine).await,
      };
      match id {
        "p-1" => test.enter(id, "portal", None, &endpoint),
        "e-4" => test.enter_version_started(id, &endpoint, "v1", LISTED_START_MS),
        _ => test.enter(id, "llm", Some("prefill"), &endpoint),
      }
      endpoints.push((id, endpoint));
    }
    Self(endpoints)
  }

  /// All that they have received, with the id of the receiver.
  fn received(&self) -> Vec<(&'static str, ReceivedRequest)> {
    let endpoints = self.0.iter();
    endpoints
      .flat_map(|(id, endpoint)| endpoint.received().into_iter().map(|seen| (*id, seen)))
      .collect()
  }

  fn kinds(&self) -> BTreeSet<&'static str> {
    let received = self.received();
    received.iter().map(|(_, seen)| kind(seen)).collect()
  }
}

/// Sends a request of each kind; returns their ids.
async fn ask(gateway: &GatewayBox, round: usize) -> Vec<String> {
  let mut ids = vec![REJECTED.to_string()];
  gateway.ask("/stream/a", REJECTED).await;
  for path in ["/safe/a", "/unsafe/a", "/stream/a", "/resumable/a"] {
    let id = format!("r{round}{}", path.replace('/', "-"));
    gateway.ask(path, &id).await;
    ids.push(id);
  }
  let id = format!("r{round}-resumes");
  let mut request = gateway.request("/resumable/a", &id);
  let last_event = "1".parse().unwrap();
  request.headers_mut().insert("last-event-id", last_event);
  gateway.send(request).await;
  ids.push(id);
  ids
}

fn assert_request(seen: &ReceivedRequest) {
  let deadline_ms: u64 = seen.header("x-deadline-ms").parse().unwrap_or(0);
  assert!((1..=ROUTE_TIMEOUT_MS).contains(&deadline_ms), "{seen:?}");
  assert_eq!(seen.header("x-request-priority"), "1", "{seen:?}");
  let stage = match kind(seen) {
    "prefill" => "prefill",
    _ => "",
  };
  assert_eq!(seen.header("x-serving-stage"), stage, "{seen:?}");
  if kind(seen) == "stream" && seen.id().ends_with("-resumes") {
    assert_eq!(seen.header("last-event-id"), "1", "{seen:?}");
  }
}

/// Guards against a request or a call that does not name its endpoint, has no id of its own, or lacks another header.
#[tokio::test]
async fn each_kind_of_request_and_call_has_its_headers() {
  let test = GatewayTest::new().await;
  let endpoints = Endpoints::start(&test).await;
  let gateway = test.start().await;
  let mut asked = HashSet::new();
  let mut round = 0;
  let sees_all = async || endpoints.kinds() == KINDS.into();
  while !sees_all().await && round < 100 {
    asked.extend(ask(&gateway, round).await);
    round += 1;
    sleep(ROUND_PAUSE).await;
  }
  assert!(
    eventually(TIMEOUT, sees_all).await,
    "{:?}",
    endpoints.kinds()
  );
  let mut calls = HashSet::new();
  for (id, seen) in endpoints.received() {
    assert_eq!(seen.header("x-expect-instance"), id, "{seen:?}");
    if !kind(&seen).starts_with('/') {
      assert!(asked.contains(seen.id()), "{seen:?}");
      assert_request(&seen);
      continue;
    }
    assert!(!asked.contains(seen.id()), "{seen:?}");
    assert!(!seen.id().is_empty(), "{seen:?}");
    assert!(calls.insert(seen.id().to_string()), "{seen:?}");
  }
}
