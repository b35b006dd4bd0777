//! Streams while endpoints of several software versions serve: one goes on only at the version that began it.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    cut_off::{Cut, CutAddress},
    endpoint::{engine_reply, with_header},
    harness::CallerResponse,
    store_proxy::StoreProxy,
  },
  emulator::{
    eventually,
    streams::{StreamFigures, StreamFleet, StreamPattern, StreamWay, replay_streams},
  },
  futures_util::future::join_all,
  http::{HeaderValue, StatusCode},
  rillford::gateway::{
    RecordSource, RecordedOrigin, SoftwareVersion, StreamKey, StreamOrigin, StreamRecords,
  },
  rstest::rstest,
  std::{
    collections::HashSet,
    sync::{
      Arc, Mutex,
      atomic::{AtomicU64, Ordering},
    },
    time::Duration,
  },
  tokio::time::{sleep, timeout},
};

const BEGINNING: &str = "id: 1\ndata: a\n\nid: 2\nda";
pub(super) const REST: &str = "id: 2\ndata: b\n\n";
pub(super) const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// Streams of one test; by chance alone each would go on at its own version half of the time.
pub(super) const STREAMS: usize = 8;
/// When a rejected caller returns.
const RETURN_DELAY: Duration = Duration::from_millis(300);

fn is_stream(seen: &ReceivedRequest) -> bool {
  seen.path.starts_with("/resumable/") && !seen.is_prefill()
}

/// Streams the rest to a caller who resumes, and the beginning to others, whose connections stay open.
pub(super) fn begins_and_resumes(seen: &ReceivedRequest) -> Reply {
  match seen.header("last-event-id") {
    "" if is_stream(seen) => Reply::Write(Reply::stream_part(seen, BEGINNING)),
    _ if is_stream(seen) => Reply::stream(seen, REST),
    _ => engine_reply(seen, EVENTS),
  }
}

/// How an engine fails within a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
  Cut,
  Silent,
}

/// Fails within each stream that it begins, and rejects its resumption; streams the rest of those that another engine began.
fn fails_what_it_begins(
  failure: Failure,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
  let began: Mutex<HashSet<String>> = Mutex::default();
  move |seen| {
    if !is_stream(seen) {
      return engine_reply(seen, EVENTS);
    }
    let mut began = began.lock().unwrap();
    if seen.header("last-event-id").is_empty() {
      began.insert(seen.id().into());
      let beginning = Reply::stream_part(seen, BEGINNING);
      return match failure {
        Failure::Cut => Reply::WriteAndClose(beginning),
        Failure::Silent => Reply::Write(beginning),
      };
    }
    match began.contains(seen.id()) {
      true => Reply::not_run(seen),
      false => Reply::stream(seen, REST),
    }
  }
}

/// Decode engines, as many of each of two versions.
pub(super) struct Engines(Vec<(&'static str, EndpointStandIn)>);

impl Engines {
  pub(super) async fn start<S>(test: &GatewayTest, of_each: usize, script: impl Fn() -> S) -> Self
  where
    S: Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
  {
    let mut engines = Vec::new();
    for number in 0..2 * of_each {
      let version = ["v1", "v2"][number % 2];
      let engine = EndpointStandIn::start(script()).await;
      test.enter_version(&format!("e-{}", number + 2), &engine, version);
      engines.push((version, engine));
    }
    Self(engines)
  }

  /// The versions of the engines that ran a request.
  pub(super) fn versions_of(&self, id: &str) -> Vec<&'static str> {
    let ran = |engine: &EndpointStandIn| engine.requests().iter().any(|seen| seen.id() == id);
    let engines = self.0.iter().filter(|(_, engine)| ran(engine));
    let mut versions: Vec<_> = engines.map(|(version, _)| *version).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
  }

  async fn wait_until_run(&self, id: &str) {
    assert!(eventually(TIMEOUT, async || !self.versions_of(id).is_empty()).await);
  }
}

/// Resumes a stream after its first event.
pub(super) async fn resume(gateway: &GatewayBox, id: &str, resumes: &str) -> CallerResponse {
  let mut request = gateway.request("/resumable/a", id);
  let headers = request.headers_mut();
  headers.insert("last-event-id", HeaderValue::from_static("1"));
  headers.insert("resumes", HeaderValue::from_str(resumes).unwrap());
  gateway.send(request).await
}

/// Guards against a stream that holds events of two versions in one response.
#[rstest]
#[case::another_engine_of_its_version(Failure::Cut, 2, true)]
#[case::only_another_version(Failure::Cut, 1, false)]
#[case::silent(Failure::Silent, 2, true)]
#[tokio::test]
async fn interrupted_stream_does_not_go_on_at_another_version(
  #[case] failure: Failure,
  #[case] engines_of_each: usize,
  #[case] is_complete: bool,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let mut test = GatewayTest::new().await;
  // Each stream needs three retries.
  test.retry_slack = 600.0;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = Engines::start(&test, engines_of_each, || fails_what_it_begins(failure)).await;
  let gateway = test.start().await;
  let ids: Vec<String> = (0..STREAMS).map(|number| format!("r{number}")).collect();
  let responses = join_all(ids.iter().map(|id| gateway.ask("/resumable/a", id))).await;
  for (id, response) in ids.iter().zip(responses) {
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(engines.versions_of(id).len(), 1, "{id}");
    assert_eq!(response.body.ok().as_deref(), is_complete.then_some(EVENTS));
  }
}

/// Where a caller resumes a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Resumption {
  /// At the box that began it.
  AtSameBox,
  /// At another box.
  AtOtherBox,
  /// At another box, after the one that began it was killed.
  AfterKill,
}

/// Guards against a stream that holds events of two versions over its caller's requests.
#[rstest]
#[case(Resumption::AtSameBox)]
#[case(Resumption::AtOtherBox)]
#[case(Resumption::AfterKill)]
#[tokio::test]
async fn stream_that_a_caller_resumes_goes_on_at_its_version(#[case] resumption: Resumption) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = Engines::start(&test, 2, || begins_and_resumes).await;
  let other = test.second_box("north-2", test.store.address);
  let mut began = test.start().await;
  let other = other.start().await;
  assert!(
    eventually(TIMEOUT, async || began.metric("rillford_boxes").await
      == 2.0
      && other.metric("rillford_boxes").await == 2.0)
    .await
  );
  for number in 0..STREAMS {
    let id = format!("r{number}");
    began.ask_in_background("/resumable/a", &id);
    engines.wait_until_run(&id).await;
  }
  // The first events reach their callers.
  sleep(Duration::from_millis(200)).await;
  if resumption == Resumption::AfterKill {
    began.process.kill().unwrap();
    began.process.wait().unwrap();
  }
  let resumed_at = match resumption {
    Resumption::AtSameBox => &began,
    Resumption::AtOtherBox | Resumption::AfterKill => &other,
  };
  for number in 0..STREAMS {
    let (first, again) = (format!("r{number}"), format!("again-{number}"));
    let response = resume(resumed_at, &again, &first).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.body.unwrap(), REST);
    assert_eq!(engines.versions_of(&again), engines.versions_of(&first));
  }
}

/// Begins streams at a box, and waits until their callers have the first events.
pub(super) async fn begin_streams(gateway: &GatewayBox, engines: &Engines) {
  for number in 0..STREAMS {
    let id = format!("r{number}");
    gateway.ask_in_background("/resumable/a", &id);
    engines.wait_until_run(&id).await;
  }
  let records = async || gateway.metric("rillford_stream_records").await == STREAMS as f64;
  assert!(eventually(TIMEOUT, records).await);
}

/// Resumes the streams at a box, and checks that each goes on at its version.
pub(super) async fn resume_streams(gateway: &GatewayBox, engines: &Engines) {
  for number in 0..STREAMS {
    let (first, again) = (format!("r{number}"), format!("again-{number}"));
    let response = resume(gateway, &again, &first).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.body.unwrap(), REST);
    assert_eq!(engines.versions_of(&again), engines.versions_of(&first));
  }
}

/// Guards against a box that goes by its own records only: it may have started after the streams began.
#[tokio::test]
async fn box_that_has_just_started_asks_where_streams_began() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = Engines::start(&test, 2, || begins_and_resumes).await;
  let later = test.second_box("north-2", test.store.address);
  let began = test.start().await;
  begin_streams(&began, &engines).await;
  let later = later.start().await;
  assert!(
    eventually(TIMEOUT, async || later.metric("rillford_boxes").await
      == 2.0)
    .await
  );
  resume_streams(&later, &engines).await;
}

/// Guards against a box that knows no stream after all boxes were restarted in turn: those that hold the records are leaving.
#[tokio::test]
async fn streams_go_on_at_a_box_that_starts_while_the_one_that_began_them_leaves() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let mut test = GatewayTest::new().await;
  test.stop_s = 60.0;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = Engines::start(&test, 2, || begins_and_resumes).await;
  let [other, again] = ["north-2"; 2].map(|name| test.second_box(name, test.store.address));
  let began = test.start().await;
  let mut other = other.start().await;
  let boxes = async || began.metric("rillford_boxes").await == 2.0;
  assert!(eventually(TIMEOUT, boxes).await);
  begin_streams(&began, &engines).await;
  began.signal(libc::SIGTERM);
  let is_alone = async || other.metric("rillford_boxes").await == 1.0;
  assert!(eventually(TIMEOUT, is_alone).await);
  other.process.kill().unwrap();
  other.process.wait().unwrap();
  let other = again.start().await;
  let records = async || other.metric("rillford_stream_records").await == STREAMS as f64;
  // What callers get decides whether the test passes.
  let _ = eventually(Duration::from_secs(4), records).await;
  resume_streams(&other, &engines).await;
}

/// Guards against boxes that take the versions which they list after a kill of all boxes for all that ever served.
#[rstest]
#[case::former_version_is_gone(true, StatusCode::SERVICE_UNAVAILABLE)]
#[case::only_version(false, StatusCode::OK)]
#[tokio::test]
async fn streams_do_not_go_on_at_another_version_after_all_boxes_were_killed(
  #[case] is_replaced: bool,
  #[case] status: StatusCode,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let first = EndpointStandIn::start(begins_and_resumes).await;
  test.enter_version("e-2", &first, "v1");
  let later = test.second_box("north-1", test.store.address);
  let mut began = test.start().await;
  began.ask_in_background("/resumable/a", "r0");
  let records = "rillford_stream_records";
  assert!(eventually(TIMEOUT, async || began.metric(records).await == 1.0).await);
  wait_until_recorded(&began, 1).await;
  let second = EndpointStandIn::start(begins_and_resumes).await;
  if is_replaced {
    began.test.enter_version("e-3", &second, "v2");
    wait_until_recorded(&began, 2).await;
    began
      .test
      .enter_engine_version("e-1", "prefill", &prefill, "v2");
    began.test.store.remove("servers/e-2");
  }
  began.process.kill().unwrap();
  began.process.wait().unwrap();
  let later = later.start().await;
  assert_eq!(resume(&later, "again", "r0").await.status, status);
  assert!(second.requests().iter().all(|seen| seen.id() != "again"));
}

/// Waits until the store has records of versions, as many as a service has or more.
pub(super) async fn wait_until_recorded(gateway: &GatewayBox, versions: usize) {
  let is_recorded = async || {
    let keys = gateway.test.store.keys();
    let recorded = keys
      .iter()
      .filter(|key| key.starts_with("rillford/versions/"));
    recorded.count() >= versions
  };
  // What callers get decides whether the test passes.
  let _ = eventually(Duration::from_secs(4), is_recorded).await;
}

/// Guards against a box that forwards a resumption to one that serves it at any version.
#[tokio::test]
async fn forwarded_stream_goes_on_at_its_version() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = Engines::start(&test, 2, || begins_and_resumes).await;
  let cut_off = GatewayTest::new().await;
  let addresses: Vec<CutAddress> = (1..6).map(|_| CutAddress::new(Cut::Refuse)).collect();
  for (number, cut) in (1..).zip(&addresses) {
    let role = if number == 1 { "prefill" } else { "decode" };
    cut_off.enter_at(
      &format!("e-{number}"),
      "llm",
      Some(role),
      cut.address,
      "ready",
    );
  }
  let other = test.start().await;
  let cut_off = cut_off.named("north-2").start().await;
  cut_off.test.enter_box("north-1", other.boxes);
  assert!(
    eventually(TIMEOUT, async || cut_off.metric("rillford_boxes").await
      == 2.0)
    .await
  );
  begin_streams(&other, &engines).await;
  resume_streams(&cut_off, &engines).await;
}

/// Guards against a stream that goes on where its prompt is cached, at another version.
#[tokio::test]
async fn cached_prompt_at_another_version_is_not_used() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let first = EndpointStandIn::start(begins_and_resumes).await;
  test.enter_version("e-2", &first, "v1");
  let gateway = test.start().await;
  gateway.ask_in_background("/resumable/a", "r0");
  let records = async || gateway.metric("rillford_stream_records").await == 1.0;
  assert!(eventually(TIMEOUT, records).await);
  let caching = EndpointStandIn::start(|seen| match seen.path.as_str() {
    "/kv-list" => Reply::ok(seen, r#"{"epoch":1,"held":[["","91bd",100,"m"]]}"#),
    _ => begins_and_resumes(seen),
  })
  .await;
  gateway.test.enter_version("e-3", &caching, "v2");
  let divided = "rillford_services_of_several_versions";
  assert!(eventually(TIMEOUT, async || gateway.metric(divided).await == 1.0).await);
  let mut request = gateway.request("/resumable/a", "again");
  let headers = request.headers_mut();
  headers.insert("last-event-id", HeaderValue::from_static("1"));
  headers.insert("resumes", HeaderValue::from_static("r0"));
  headers.insert("x-prompt-prefix", HeaderValue::from_static("91bd:100"));
  assert_eq!(gateway.send(request).await.body.unwrap(), REST);
  assert!(caching.requests().is_empty());
}

/// An engine that resumes streams and reports when it started.
fn reports_start(started_ms: u64) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
  move |seen| match seen.path.as_str() {
    "/report" => Reply::ok(
      seen,
      &format!(r#"{{"stage":"decode","callSeq":0,"utilization":false,"born":{started_ms}}}"#),
    ),
    _ => begins_and_resumes(seen),
  }
}

/// Guards against an engine that has restarted under its id with another version before the list shows it.
#[rstest]
#[case::as_listed(false, StatusCode::OK)]
#[case::restarted(true, StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test]
async fn stream_does_not_go_on_at_an_engine_that_has_restarted(
  #[case] restarts: bool,
  #[case] status: StatusCode,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let start = Arc::new(AtomicU64::new(0));
  let current = start.clone();
  let script =
    move |seen: &ReceivedRequest| match reports_start(current.load(Ordering::Relaxed))(seen) {
      Reply::Write(beginning) if restarts && is_stream(seen) => {
        Reply::Crash(beginning, Duration::ZERO)
      }
      reply => reply,
    };
  let engine = EndpointStandIn::start_restartable(script, move |_, number| {
    start.store(number, Ordering::Relaxed);
  })
  .await;
  test.enter_version_started("e-2", &engine, "v1", 1);
  let gateway = test.start().await;
  gateway.ask_in_background("/resumable/a", "r1");
  let records = "rillford_stream_records";
  assert!(eventually(TIMEOUT, async || gateway.metric(records).await == 1.0).await);
  let other = EndpointStandIn::start(begins_and_resumes).await;
  gateway.test.enter_version("e-3", &other, "v2");
  let divided = "rillford_services_of_several_versions";
  assert!(eventually(TIMEOUT, async || gateway.metric(divided).await == 1.0).await);
  let response = resume(&gateway, "again", "r1").await;
  assert_eq!(response.status, status);
  assert!(other.requests().iter().all(|seen| seen.id() != "again"));
  assert_eq!(
    engine.requests().iter().any(|seen| seen.id() == "again"),
    !restarts
  );
}

/// Guards against a stream whose origin is recorded as a version that its engine no longer has.
#[tokio::test]
async fn stream_does_not_begin_at_an_engine_that_has_restarted_while_the_list_may_lag() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let restarted = EndpointStandIn::start(reports_start(8)).await;
  test.enter_version_started("e-2", &restarted, "v1", 7);
  let other = EndpointStandIn::start(reports_start(7)).await;
  test.enter_version_started("e-3", &other, "v2", 7);
  let proxy = StoreProxy::to(test.store.address).await;
  let gateway = test.second_box("north-2", proxy.address).start().await;
  wait_until_recorded(&gateway, 2).await;
  proxy.cut().await;
  let is_stale = async || gateway.ask("/missing/", "m").await.status != StatusCode::NOT_FOUND;
  assert!(eventually(TIMEOUT, is_stale).await);
  let ids: Vec<String> = (0..STREAMS).map(|number| format!("r{number}")).collect();
  let begin = join_all(ids.iter().map(|id| begin_until_served(&gateway, id)));
  assert!(timeout(TIMEOUT, begin).await.is_ok());
  let all_run = async || other.requests().len() + restarted.requests().len() == STREAMS;
  assert!(eventually(TIMEOUT, all_run).await);
  assert!(restarted.requests().is_empty());
}

/// Begins a stream, and asks again after each rejection.
async fn begin_until_served(gateway: &GatewayBox, id: &str) {
  loop {
    let asked = gateway.ask_in_background("/resumable/a", id);
    match asked.await.unwrap().unwrap() {
      StatusCode::SERVICE_UNAVAILABLE => sleep(RETURN_DELAY).await,
      status => return assert_eq!(status, StatusCode::OK),
    }
  }
}

/// Cuts each stream that it begins after its first event; reports its start.
fn cuts_what_it_begins(
  started_ms: u64,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
  let reports = reports_start(started_ms);
  let fails = fails_what_it_begins(Failure::Cut);
  move |seen| match seen.path.as_str() {
    "/report" => reports(seen),
    _ => fails(seen),
  }
}

/// Guards against events of an engine that has restarted with a version which no box has listed yet, in a stream of the version
/// that is listed for it.
#[tokio::test]
async fn stream_runs_at_no_engine_that_has_restarted_since_it_was_listed() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let restarted = EndpointStandIn::start(reports_start(8)).await;
  test.enter_version_started("e-2", &restarted, "v1", 7);
  let as_listed = EndpointStandIn::start(cuts_what_it_begins(7)).await;
  test.enter_version_started("e-3", &as_listed, "v1", 7);
  let gateway = test.start().await;
  for number in 0..STREAMS {
    gateway.ask("/resumable/a", &format!("r{number}")).await;
    let response = resume(&gateway, &format!("again-{number}"), &format!("r{number}")).await;
    assert_eq!(response.body.unwrap(), REST);
  }
  assert!(restarted.requests().is_empty());
}

/// Guards against an engine that restarts between the report of its start and a stream: a connection outlives no restart.
#[tokio::test]
async fn stream_runs_at_no_engine_that_restarts_after_it_has_reported_its_start() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let start = Arc::new(AtomicU64::new(0));
  let current = start.clone();
  let restarts = move |seen: &ReceivedRequest| {
    let number = current.load(Ordering::Relaxed);
    match reports_start(number)(seen) {
      Reply::Write(report) if seen.path == "/report" && number == 1 => {
        Reply::Crash(report, Duration::ZERO)
      }
      reply => reply,
    }
  };
  let engine = EndpointStandIn::start_restartable(restarts, move |_, number| {
    start.store(number, Ordering::Relaxed);
  })
  .await;
  test.enter_version_started("e-2", &engine, "v1", 1);
  let other = EndpointStandIn::start(reports_start(1)).await;
  test.enter_version_started("e-3", &other, "v1", 1);
  let gateway = test.start().await;
  for number in 0..STREAMS {
    gateway.ask_in_background("/resumable/a", &format!("r{number}"));
  }
  let all_run = async || other.requests().len() + engine.requests().len() == STREAMS;
  assert!(eventually(TIMEOUT, all_run).await);
  assert!(engine.requests().is_empty());
}

/// Guards against a report that fails, or holds no start, and passes for a confirmation.
#[rstest]
#[case::rejected(
  "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
)]
#[case::too_many(
  "HTTP/1.1 429 Too Many Requests\r\nretry-after: 0.01\r\ncontent-length: 0\r\n\r\n"
)]
#[case::failed("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n")]
#[case::unreadable("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{?}")]
#[case::without_a_start(
  "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"stage\":\"decode\",\"callSeq\":0,\"utilization\":false}"
)]
#[case::start_of_another_type(
  "HTTP/1.1 200 OK\r\ncontent-length: 61\r\n\r\n{\"stage\":\"decode\",\"callSeq\":0,\"utilization\":false,\"born\":\"8\"}"
)]
#[tokio::test]
async fn stream_runs_at_no_engine_that_does_not_report_its_listed_start(
  #[case] report: &'static str,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let unconfirmed = EndpointStandIn::start(move |seen| match seen.path.as_str() {
    "/report" => Reply::Write(report.into()),
    _ => engine_reply(seen, EVENTS),
  })
  .await;
  test.enter_version_started("e-2", &unconfirmed, "v1", 7);
  let as_listed = start_reporting(7).await;
  test.enter_version_started("e-3", &as_listed, "v1", 7);
  let gateway = test.start().await;
  for number in 0..STREAMS {
    gateway.ask("/resumable/a", &format!("r{number}")).await;
  }
  assert!(unconfirmed.requests().is_empty());
}

/// An engine that reports its start and streams.
async fn start_reporting(started_ms: u64) -> EndpointStandIn {
  let reports = reports_start(started_ms);
  EndpointStandIn::start(move |seen| match seen.path.as_str() {
    "/report" => reports(seen),
    _ => engine_reply(seen, EVENTS),
  })
  .await
}

/// Guards against an engine that gets no streams as it closes connections after its reports.
#[rstest]
#[case::first(1)]
#[case::first_two(2)]
#[case::all(u64::MAX)]
#[tokio::test]
async fn stream_begins_at_an_engine_whose_reports_close_their_connection(#[case] closing: u64) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let reports = AtomicU64::new(0);
  let engine = EndpointStandIn::start(move |seen| match seen.path.as_str() {
    "/report" if reports.fetch_add(1, Ordering::Relaxed) < closing => {
      with_header(reports_start(7)(seen), "connection: close")
    }
    "/report" => reports_start(7)(seen),
    _ => engine_reply(seen, EVENTS),
  })
  .await;
  test.enter_version_started("e-2", &engine, "v1", 7);
  let gateway = test.start().await;
  let response = gateway.ask("/resumable/a", "r1").await;
  assert_eq!(response.body.unwrap(), EVENTS);
}

/// Guards against streams that are rejected as one report of their only engine is damaged.
#[rstest]
#[case::no_json("{?}")]
#[case::body_of_another_call(r#"{"hold": "h1"}"#)]
#[tokio::test]
async fn stream_begins_at_the_only_engine_whose_report_is_damaged_once(
  #[case] damaged: &'static str,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let reports = AtomicU64::new(0);
  let engine = EndpointStandIn::start(move |seen| match seen.path.as_str() {
    "/report" if reports.fetch_add(1, Ordering::Relaxed) == 0 => Reply::ok(seen, damaged),
    "/report" => reports_start(7)(seen),
    _ => engine_reply(seen, EVENTS),
  })
  .await;
  test.enter_version_started("e-2", &engine, "v1", 7);
  let gateway = test.start().await;
  let response = gateway.ask("/resumable/a", "r1").await;
  assert_eq!(response.body.unwrap(), EVENTS);
}

/// Guards against engines that have restarted and use up the tries of a stream.
#[rstest]
#[case::all_but_one(6, 1, StatusCode::OK)]
#[case::all(6, 0, StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test]
async fn stream_is_served_beside_engines_that_have_restarted(
  #[case] restarted: usize,
  #[case] as_listed: usize,
  #[case] status: StatusCode,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let mut engines = Vec::new();
  for number in 0..restarted + as_listed {
    let started_ms = if number < restarted { 8 } else { 7 };
    let engine = start_reporting(started_ms).await;
    test.enter_version_started(&format!("e-{}", number + 2), &engine, "v1", 7);
    engines.push(engine);
  }
  let gateway = test.start().await;
  for number in 0..STREAMS {
    let response = gateway.ask("/resumable/a", &format!("r{number}")).await;
    assert_eq!(response.status, status);
  }
}

/// Guards against streams that are rejected as a connection to the engine's former start is still open.
#[tokio::test]
async fn engine_that_is_listed_with_another_start_and_address_gets_streams() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let (former, latter) = (start_reporting(7).await, start_reporting(8).await);
  test.enter_version_started("e-2", &former, "v1", 7);
  let gateway = test.start().await;
  for number in 0..4 {
    gateway.ask("/resumable/a", &format!("r{number}")).await;
  }
  gateway.test.enter_version_started("e-2", &latter, "v2", 8);
  let divided = "rillford_services_of_several_versions";
  assert!(eventually(TIMEOUT, async || gateway.metric(divided).await == 1.0).await);
  for path in ["/resumable/a", "/stream/a"] {
    assert_eq!(gateway.ask(path, "again").await.status, StatusCode::OK);
  }
  assert!(former.requests().iter().all(|seen| seen.id() != "again"));
}

/// Guards against a stream that goes on at another version when its own is gone.
#[tokio::test]
async fn stream_whose_version_is_gone_is_rejected_with_a_time_to_return() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let first = EndpointStandIn::start(begins_and_resumes).await;
  test.enter_version("e-2", &first, "v2");
  let gateway = test.start().await;
  gateway.ask_in_background("/resumable/a", "r0");
  let records = "rillford_stream_records";
  assert!(eventually(TIMEOUT, async || gateway.metric(records).await == 1.0).await);
  gateway.test.store.remove("servers/e-2");
  let other = EndpointStandIn::start(begins_and_resumes).await;
  gateway.test.enter_version("e-3", &other, "v3");
  let served = async || gateway.ask("/resumable/a", "new").await.status == StatusCode::OK;
  assert!(eventually(TIMEOUT, served).await);
  let rejected = resume(&gateway, "again", "r0").await;
  assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
  assert_eq!(rejected.headers["retry-after"], "1.000");
  assert!(other.requests().iter().all(|seen| seen.id() != "again"));
}

/// Guards against a stream that another organisation names, or whose id two callers use.
#[test]
fn ambiguous_and_foreign_streams_have_no_origin() {
  let origin = |version| StreamOrigin {
    service: "llm".into(),
    version: SoftwareVersion::new(version),
  };
  let key = StreamKey::of(Some("captions"), "r0");
  let mut records = StreamRecords::default();
  records.record(key, origin("v1"), RecordSource::Own, 1_000);
  let foreign = StreamKey::of(Some("lectures"), "r0");
  assert_eq!(records.find(&foreign, 0), RecordedOrigin::Unknown);
  records.record(key, origin("v2"), RecordSource::Peer, 1_000);
  assert_eq!(records.find(&key, 0), RecordedOrigin::Ambiguous);
  records.record(key, origin("v1"), RecordSource::Own, 2_000);
  assert_eq!(records.find(&key, 1_500), RecordedOrigin::Ambiguous);
}

/// Guards against records that grow without bound under ids that callers choose.
#[test]
fn oldest_records_are_evicted_when_there_are_too_many() {
  let mut records = StreamRecords::default();
  let key = |number: usize| StreamKey::of(None, &format!("r{number}"));
  let origin = StreamOrigin {
    service: "llm".into(),
    version: SoftwareVersion::new("v1"),
  };
  for number in 0..30_000 {
    records.record(key(number), origin.clone(), RecordSource::Own, 1_000);
  }
  assert_eq!(records.len(), 20_000);
  assert_eq!(records.find(&key(0), 0), RecordedOrigin::Unknown);
  assert_eq!(records.find(&key(29_999), 0), RecordedOrigin::Known(origin));
  records.expire(1_000);
  assert!(records.is_empty());
}

/// What a caller names as the request that began its stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Named {
  Nothing,
  Empty,
  Twice,
  UnknownId,
  OverlongId,
}

impl Named {
  /// The values of the header, in a request with an id.
  fn values(self, id: &str) -> Vec<String> {
    match self {
      Self::Nothing => vec![],
      Self::Empty => vec![String::new()],
      Self::Twice => vec!["r0".into(), "r0".into()],
      Self::UnknownId => vec![format!("before-{id}")],
      Self::OverlongId => vec![id.repeat(600)],
    }
  }
}

/// Guards against a resumption at any version when it is not known which one began the stream.
#[rstest]
#[case::nothing(Named::Nothing)]
#[case::empty(Named::Empty)]
#[case::twice(Named::Twice)]
#[case::unknown(Named::UnknownId)]
#[case::overlong(Named::OverlongId)]
#[tokio::test]
async fn stream_of_unknown_origin_is_rejected_only_while_two_versions_serve(#[case] named: Named) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let first = EndpointStandIn::start(begins_and_resumes).await;
  test.enter_version("e-2", &first, "v1");
  let gateway = test.start().await;
  gateway.ask_in_background("/resumable/a", "r0");
  assert!(eventually(TIMEOUT, async || !first.requests().is_empty()).await);
  let resume = async |id: &str| {
    let mut request = gateway.request("/resumable/a", id);
    let headers = request.headers_mut();
    headers.insert("last-event-id", HeaderValue::from_static("1"));
    for value in named.values(id) {
      headers.append("resumes", HeaderValue::from_str(&value).unwrap());
    }
    gateway.send(request).await
  };
  assert_eq!(resume("one-version").await.body.unwrap(), REST);
  let other = EndpointStandIn::start(begins_and_resumes).await;
  gateway.test.enter_version("e-3", &other, "v2");
  let divided = "rillford_services_of_several_versions";
  assert!(eventually(TIMEOUT, async || gateway.metric(divided).await == 1.0).await);
  let rejected = resume("two-versions").await;
  assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
  assert_eq!(rejected.headers["retry-after"], "1.000");
  assert!(other.requests().is_empty());
}

/// Guards against streams that began before the second version was known, and are recorded at their box only.
#[tokio::test]
async fn streams_that_began_before_the_second_version_go_on_after_their_box_is_killed() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let first = EndpointStandIn::start(begins_and_resumes).await;
  test.enter_version("e-2", &first, "v1");
  let other = test.second_box("north-2", test.store.address);
  let mut began = test.start().await;
  let other = other.start().await;
  assert!(
    eventually(TIMEOUT, async || began.metric("rillford_boxes").await
      == 2.0)
    .await
  );
  began.ask_in_background("/resumable/a", "r0");
  let records = "rillford_stream_records";
  assert!(eventually(TIMEOUT, async || began.metric(records).await == 1.0).await);
  assert_eq!(other.metric(records).await, 0.0);
  let second = EndpointStandIn::start(begins_and_resumes).await;
  other.test.enter_version("e-3", &second, "v2");
  assert!(eventually(TIMEOUT, async || other.metric(records).await == 1.0).await);
  began.process.kill().unwrap();
  began.process.wait().unwrap();
  let response = resume(&other, "again", "r0").await;
  assert_eq!(response.body.unwrap(), REST);
  assert!(second.requests().is_empty());
}

/// Guards against a box that has not listed a version yet, and takes the versions that it knows for all.
#[tokio::test]
async fn box_that_is_cut_off_from_the_store_learns_of_a_version_from_another_box() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let old = EndpointStandIn::start(begins_and_resumes).await;
  test.enter_version("e-2", &old, "v1");
  let proxy = StoreProxy::to(test.store.address).await;
  let stale = test.second_box("north-2", proxy.address).start().await;
  let began = test.start().await;
  assert!(
    eventually(TIMEOUT, async || stale.metric("rillford_boxes").await
      == 2.0)
    .await
  );
  proxy.cut().await;
  let new = EndpointStandIn::start(begins_and_resumes).await;
  began.test.enter_version("e-3", &new, "v2");
  let divided = "rillford_services_of_several_versions";
  assert!(eventually(TIMEOUT, async || began.metric(divided).await == 1.0).await);
  for number in 0.. {
    began.ask_in_background("/resumable/a", &format!("r{number}"));
    if eventually(Duration::from_millis(100), async || {
      !new.requests().is_empty()
    })
    .await
    {
      break;
    }
  }
  let first = new.requests()[0].id().to_string();
  let records = "rillford_stream_records";
  assert!(eventually(TIMEOUT, async || stale.metric(records).await > 0.0).await);
  // It goes on at the new version if another box has relayed the list, and is rejected otherwise.
  let response = resume(&stale, "again", &first).await;
  let allowed = [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE];
  assert!(allowed.contains(&response.status), "{response:?}");
  assert!(old.requests().iter().all(|seen| seen.id() != "again"));
}

/// Guards against records that are lost with the boxes that fail, or that cost more than control may.
#[rstest]
#[case::smallest(8, 4)]
#[case::medium(58, 1)]
fn most_resumed_streams_have_a_known_origin_while_boxes_fail(
  #[case] boxes: usize,
  #[case] seeds: u64,
  #[values(
    StreamPattern::Cuts,
    StreamPattern::KilledInTurn,
    StreamPattern::HalfKilled,
    StreamPattern::HallLost
  )]
  pattern: StreamPattern,
) {
  const CONTROL_BYTES_PER_S: f64 = 6_000.0;
  let fleet = StreamFleet {
    boxes,
    ..StreamFleet::SMALL
  };
  let runs = (1..=seeds).map(|seed| replay_streams(pattern, fleet, StreamWay::Copies, seed));
  let runs: Vec<StreamFigures> = runs.collect();
  let sum = |figure: fn(&StreamFigures) -> u32| runs.iter().map(figure).sum::<u32>();
  assert_eq!(sum(|run| run.wrong), 0);
  assert!(
    2 * sum(|run| run.known) >= sum(|run| run.resumed),
    "{runs:?}"
  );
  assert!(runs.iter().all(|run| run.bytes_per_s < CONTROL_BYTES_PER_S));
}
