//! A request that crashes each engine that runs it, sent again under new request IDs and to all boxes. Guards against crash loops: the
//! attempts limit of a route does not stop a caller that sends the request again.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::engine_reply, store_proxy::StoreProxy,
  },
  emulator::eventually,
  http::{Request, StatusCode},
  http_body_util::Full,
  rillford::HttpClient,
  rstest::rstest,
  std::{
    sync::{
      Arc,
      atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
  },
  tokio::time::sleep,
};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// The body that crashes engines.
const CRASHING: &str = "a prompt that no engine survives";
/// How long a crashed engine is down.
const DOWNTIME: Duration = Duration::from_millis(300);
/// Number of decode engines.
const DECODE_ENGINES: usize = 6;
/// Time within which boxes share what they know, as in their settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Bound on the engines that get the request after that.
const MAX_MORE: usize = 3;

/// An engine that crashes as soon as it runs the crashing request.
pub(super) fn fragile(seen: &ReceivedRequest) -> Reply {
  if is_crashing_run(seen) {
    return Reply::Crash(
      Reply::stream_part(seen, "").replace("0\r\n\r\n", ""),
      DOWNTIME,
    );
  }
  engine_reply(seen, EVENTS)
}

pub(super) fn is_crashing_run(seen: &ReceivedRequest) -> bool {
  !seen.is_prefill() && seen.body == CRASHING.as_bytes()
}

/// Decode engines that crash on the crashing request, and restart under the same ID.
pub(super) async fn fragile_engines(test: &GatewayTest, count: usize) -> Vec<EndpointStandIn> {
  let mut engines = Vec::new();
  for number in 0..count {
    let store = test.store.clone();
    let id = format!("e-{}", 10 + number);
    let on_start = move |address, start| {
      GatewayTest::enter_incarnation(&store, &id, "decode", address, start);
    };
    engines.push(EndpointStandIn::start_restartable(fragile, on_start).await);
  }
  engines
}

/// How often the crashing request was run.
pub(super) fn crashing_runs(engines: &[EndpointStandIn]) -> usize {
  let runs = engines.iter().flat_map(EndpointStandIn::requests);
  runs.filter(is_crashing_run).count()
}

/// The crashing request with a given request ID.
pub(super) fn crashing(gateway: &GatewayBox, id: &str) -> Request<Full<bytes::Bytes>> {
  let mut request = gateway.request("/resumable/a", id);
  *request.body_mut() = Full::from(CRASHING);
  request
}

#[tokio::test]
async fn request_that_crashed_three_engines_reaches_few_more_through_any_box() {
  let test = GatewayTest::new().await;
  let prefill = EndpointStandIn::engine(EVENTS).await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = fragile_engines(&test, DECODE_ENGINES).await;
  let others = ["north-2", "north-3"].map(|name| test.second_box(name, test.store.address));
  let mut boxes = vec![test.start().await];
  for other in others {
    boxes.push(other.start().await);
  }
  let mut attempts = 0;
  while crashing_runs(&engines) < 3 {
    attempts += 1;
    let gateway = &boxes[attempts % boxes.len()];
    let _ = gateway
      .send(crashing(gateway, &format!("c-{attempts}")))
      .await;
    sleep(DOWNTIME).await;
  }
  sleep(CONTACT).await;
  let before = crashing_runs(&engines);
  for number in 0..12 {
    let gateway = &boxes[number % boxes.len()];
    let _ = gateway
      .send(crashing(gateway, &format!("d-{number}")))
      .await;
    sleep(DOWNTIME / 2).await;
  }
  let more = crashing_runs(&engines) - before;
  assert!(more <= MAX_MORE, "{more} more engines got the request");
  sleep(2 * DOWNTIME).await;
  for gateway in &boxes {
    let asked = gateway.ask("/resumable/a", "other").await;
    assert_eq!(asked.status, StatusCode::OK);
    assert_eq!(asked.body.unwrap(), EVENTS);
  }
}

/// Sends the crashing request to a box until three engines have crashed.
async fn crash_three(gateway: &GatewayBox, engines: &[EndpointStandIn]) {
  let mut attempts = 0;
  while crashing_runs(engines) < 3 {
    attempts += 1;
    let _ = gateway
      .send(crashing(gateway, &format!("e-{attempts}")))
      .await;
    sleep(DOWNTIME).await;
  }
}

/// The number of quarantine marks of a kind in the store.
fn marks(test: &GatewayTest, kind: &str) -> usize {
  let keys = test.store.keys();
  let of_kind = |key: &&String| key.contains("/quarantine/") && key.contains(kind);
  keys.iter().filter(of_kind).count()
}

/// Whether the crashing request is quarantined: rejected with a retry-after delay, and sent to no engine.
async fn is_quarantined(gateway: &GatewayBox, engines: &[EndpointStandIn], id: &str) -> bool {
  let before = crashing_runs(engines);
  let asked = gateway.send(crashing(gateway, id)).await;
  let is_rejected = asked.status == StatusCode::SERVICE_UNAVAILABLE;
  is_rejected && asked.headers.contains_key("retry-after") && crashing_runs(engines) == before
}

#[tokio::test]
async fn box_that_starts_later_knows_the_quarantine_and_bodies_stay_out_of_the_store() {
  let test = GatewayTest::new().await;
  let prefill = EndpointStandIn::engine(EVENTS).await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = fragile_engines(&test, DECODE_ENGINES).await;
  let later = test.second_box("north-2", test.store.address);
  let gateway = test.start().await;
  crash_three(&gateway, &engines).await;
  // The first probe crashes one more engine, and quarantines the request.
  let quarantined = async || is_quarantined(&gateway, &engines, "f").await;
  assert!(eventually(TIMEOUT, quarantined).await);
  assert!(eventually(TIMEOUT, async || marks(&gateway.test, "ended") >= 4).await);
  assert_eq!(marks(&gateway.test, "trial"), 1);
  let later = later.start().await;
  assert!(is_quarantined(&later, &engines, "g").await);
  let keys = gateway.test.store.keys().join(" ");
  assert!(
    !keys.contains("prompt") && !keys.contains("survives"),
    "{keys}"
  );
}

#[tokio::test]
async fn box_that_is_cut_off_from_the_store_has_another_one_write_its_marks() {
  let test = GatewayTest::new().await;
  let prefill = EndpointStandIn::engine(EVENTS).await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = fragile_engines(&test, DECODE_ENGINES).await;
  let proxy = StoreProxy::to(test.store.address).await;
  let isolated = test.second_box("north-2", proxy.address);
  let connected = test.start().await;
  let isolated = isolated.start().await;
  let boxes_entered = async || {
    let keys = connected.test.store.keys();
    keys.iter().filter(|key| key.contains("/boxes/")).count() == 2
  };
  assert!(eventually(TIMEOUT, boxes_entered).await);
  // This entry arrives after those of the boxes.
  let late = EndpointStandIn::start(|seen| Reply::ok(seen, "late")).await;
  connected.test.enter("p-1", "portal", None, &late);
  let knows = async || isolated.ask("/safe/a", "s").await.status == StatusCode::OK;
  assert!(eventually(TIMEOUT, knows).await);
  proxy.cut().await;
  crash_three(&isolated, &engines).await;
  assert!(eventually(TIMEOUT, async || marks(&connected.test, "ended") >= 3).await);
  let quarantined = async || is_quarantined(&connected, &engines, "f").await;
  assert!(eventually(TIMEOUT, quarantined).await);
}

/// Guards against a request that stays quarantined for the time between probes, though the first was never granted.
#[tokio::test]
async fn probe_that_the_store_did_not_grant_is_claimed_again() {
  let test = GatewayTest::new().await;
  let prefill = EndpointStandIn::engine(EVENTS).await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = fragile_engines(&test, DECODE_ENGINES).await;
  let proxy = StoreProxy::to(test.store.address).await;
  let gateway = test.second_box("north-2", proxy.address).start().await;
  crash_three(&gateway, &engines).await;
  proxy.cut().await;
  for number in 0..3 {
    assert!(is_quarantined(&gateway, &engines, &format!("c{number}")).await);
  }
  proxy.restore();
  let mut attempts = 0;
  while marks(&gateway.test, "trial") == 0 {
    attempts += 1;
    assert!(attempts <= 20, "no probe after {attempts} requests");
    let _ = gateway
      .send(crashing(&gateway, &format!("r{attempts}")))
      .await;
    sleep(DOWNTIME).await;
  }
}

/// Eight attempts arrive at once and are prefilled one after the other: the last ones were admitted before any engine crashed, and must
/// be checked again before they are sent.
#[tokio::test]
async fn attempts_that_wait_while_others_crash_engines_are_not_sent() {
  let test = GatewayTest::new().await;
  let prefills = AtomicUsize::new(0);
  let prefill = EndpointStandIn::start(move |seen| match engine_reply(seen, EVENTS) {
    Reply::Write(text) if seen.is_prefill() => {
      let number = prefills.fetch_add(1, Ordering::SeqCst) as u32;
      Reply::WriteLater(DOWNTIME * number, text)
    }
    other => other,
  })
  .await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = fragile_engines(&test, DECODE_ENGINES).await;
  let gateway = test.start().await;
  let attempts: Vec<_> = (0..8)
    .map(|number| crashing(&gateway, &format!("c-{number}")))
    .map(|request| tokio::spawn(async move { HttpClient::default().send(request).await.is_ok() }))
    .collect();
  for attempt in attempts {
    attempt.await.unwrap();
  }
  // A slow machine rejects some of them for lack of a slot: then send more, one by one.
  let three_ran = async || {
    if crashing_runs(&engines) < 3 {
      let _ = gateway.send(crashing(&gateway, "late")).await;
    }
    crashing_runs(&engines) >= 3
  };
  assert!(eventually(TIMEOUT, three_ran).await);
  // Three, and those in flight when the third engine crashed.
  let runs = crashing_runs(&engines);
  assert!(runs <= 5, "{runs} runs");
}

/// An engine that restarts and crashes again before its new entry reaches the box: the two crashes must not count as one.
#[tokio::test]
async fn crash_of_an_incarnation_that_is_not_registered_yet_counts_by_itself() {
  const RESTART_DELAY: Duration = Duration::from_millis(20);
  const REGISTRATION_DELAY: Duration = Duration::from_millis(450);
  let test = GatewayTest::new().await;
  let prefill = EndpointStandIn::engine(EVENTS).await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let script = |seen: &ReceivedRequest| match is_crashing_run(seen) {
    true => Reply::Crash(String::new(), RESTART_DELAY),
    false => engine_reply(seen, EVENTS),
  };
  let store = test.store.clone();
  let on_start = move |address, start| {
    let enter = |store: &_| GatewayTest::enter_incarnation(store, "e-10", "decode", address, start);
    if start == 1 {
      return enter(&store);
    }
    let store = store.clone();
    tokio::spawn(async move {
      sleep(REGISTRATION_DELAY).await;
      GatewayTest::enter_incarnation(&store, "e-10", "decode", address, start);
    });
  };
  let engine = EndpointStandIn::start_restartable(script, on_start).await;
  let gateway = test.start().await;
  for number in 0..12 {
    let mut request = gateway.request("/stream/a", &format!("c-{number}"));
    *request.body_mut() = Full::from(CRASHING);
    let _ = gateway.send(request).await;
    // Every second one reaches an incarnation that is not registered yet.
    let is_early = number % 2 == 0;
    sleep(if is_early {
      RESTART_DELAY * 4
    } else {
      REGISTRATION_DELAY * 2
    })
    .await;
  }
  // Three, the probe, and one sent before the third crash was known.
  let runs = crashing_runs(&[engine]);
  assert!((3..=5).contains(&runs), "{runs} runs");
}

/// A request that was in flight on three crashing engines by chance, and then succeeds.
#[tokio::test]
async fn innocent_request_is_quarantined_for_one_run() {
  let test = GatewayTest::new().await;
  let prefill = EndpointStandIn::engine(EVENTS).await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let crashes = Arc::new(AtomicUsize::new(0));
  let mut engines = Vec::new();
  for number in 0..DECODE_ENGINES {
    let (store, crashes) = (test.store.clone(), crashes.clone());
    let script = move |seen: &ReceivedRequest| {
      let is_run = seen.path.starts_with("/resumable/") && !seen.is_prefill();
      if is_run && crashes.fetch_add(1, Ordering::SeqCst) < 3 {
        return Reply::Crash(String::new(), DOWNTIME);
      }
      engine_reply(seen, EVENTS)
    };
    let on_start = move |address, start| {
      GatewayTest::enter_incarnation(
        &store,
        &format!("e-{}", 10 + number),
        "decode",
        address,
        start,
      );
    };
    engines.push(EndpointStandIn::start_restartable(script, on_start).await);
  }
  let gateway = test.start().await;
  let served = async || gateway.ask("/resumable/a", "r").await.status == StatusCode::OK;
  assert!(eventually(TIMEOUT, served).await);
  assert!(eventually(TIMEOUT, async || marks(&gateway.test, "") == 0).await);
  assert!(served().await);
}

/// Every kind of endpoint is protected: plain ones, prefill and decode engines, and those that run non-retryable requests.
#[rstest]
#[case::plain("/safe/a", None, CrashingStage::Plain)]
#[case::non_retryable("/unsafe/a", None, CrashingStage::Plain)]
#[case::non_retryable_stream("/stream/a", Some("decode"), CrashingStage::Decode)]
#[case::prefill("/resumable/a", Some("prefill"), CrashingStage::Prefill)]
#[tokio::test]
async fn all_kinds_of_endpoints_are_protected(
  #[case] path: &str,
  #[case] stage: Option<&'static str>,
  #[case] crashing: CrashingStage,
) {
  let test = GatewayTest::new().await;
  let healthy = EndpointStandIn::engine(EVENTS).await;
  match crashing {
    CrashingStage::Plain => {}
    CrashingStage::Decode => test.enter("e-1", "llm", Some("prefill"), &healthy),
    CrashingStage::Prefill => test.enter("e-1", "llm", Some("decode"), &healthy),
  }
  let mut fragile = Vec::new();
  for number in 0..DECODE_ENGINES {
    let store = test.store.clone();
    let script = move |seen: &ReceivedRequest| match crashing.is_crashed_by(seen) {
      true => Reply::Crash(String::new(), DOWNTIME),
      false => engine_reply(seen, EVENTS),
    };
    let on_start = move |address, start| {
      let id = format!("x-{number}");
      match stage {
        Some(stage) => GatewayTest::enter_incarnation(&store, &id, stage, address, start),
        None => GatewayTest::enter_plain_incarnation(&store, &id, address, start),
      }
    };
    fragile.push(EndpointStandIn::start_restartable(script, on_start).await);
  }
  let gateway = test.start().await;
  let crashing_runs = || {
    let seen = fragile.iter().flat_map(EndpointStandIn::requests);
    seen.filter(|seen| crashing.is_crashed_by(seen)).count()
  };
  for number in 0..20 {
    let _ = gateway.ask(path, &format!("r-{number}")).await;
    sleep(DOWNTIME / 2).await;
  }
  // Three, the probe, and one sent before the third crash was known.
  assert!(crashing_runs() <= 5, "{} runs", crashing_runs());
}

/// The stage of a request that crashes endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CrashingStage {
  Plain,
  Prefill,
  Decode,
}

impl CrashingStage {
  fn is_crashed_by(self, seen: &ReceivedRequest) -> bool {
    let caller_paths = ["/safe/", "/unsafe/", "/stream/", "/resumable/"];
    if !caller_paths.iter().any(|path| seen.path.starts_with(path)) {
      return false;
    }
    match self {
      Self::Plain => true,
      Self::Prefill => seen.is_prefill(),
      Self::Decode => !seen.is_prefill(),
    }
  }
}
