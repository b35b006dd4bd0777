//! Findings of the review of the eighth report: streams that go on at another version, and sound ones that are rejected.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    cut_off::{Cut, CutAddress},
    endpoint::listed_start,
    versions::{EVENTS, REST, begins_and_resumes, resume, wait_until_recorded},
    versions_of_restarted_engines::wait_until_two_boxes,
  },
  emulator::eventually,
  http::{HeaderValue, StatusCode},
  rillford::gateway::{
    BoxEntry, BoxList, RecordChange, RecordMaker, RecordState, ServiceVersion, ServiceVersions,
    SoftwareVersion, VersionRecord, VersionRecords,
  },
  serde_json::json,
  stand_ins::{PlatformStore, StoreLimits},
  std::{
    net::SocketAddr,
    sync::{
      Arc,
      atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{
      TcpListener, TcpStream,
      tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::sleep,
  },
};

/// Until a change of the store has reached a box.
const WATCHED: Duration = Duration::from_millis(500);
/// Service of the engines to which a route is moved.
const OTHER_SERVICE: &str = "llm-large";
/// What a box asks the store for the records of all versions.
const VERSIONS_CALL: &[u8] = b"GET /kv-range?pathPrefix=rillford/versions/";
/// Reads a second of all boxes that the store of the largest supported deployment takes.
const STORE_READS_PER_S: usize = 16_000;
/// Twice the boxes of the largest deployment.
const MOST_BOXES: usize = 2 * 985;

/// Lists an engine of any service.
fn enter_engine(
  store: &PlatformStore,
  id: &str,
  service: &str,
  stage: &str,
  address: SocketAddr,
  version: &str,
) {
  let entry = json!({
    "service": service, "address": address, "zone": "north", "version": version, "slots": 8, "state": "ready",
    "coldRemainingMs": 0, "callSeq": 9, "stage": stage, "born": listed_start(1),
  });
  store.put(&format!("servers/{id}"), entry.to_string().as_bytes());
}

fn kill(gateway: &mut GatewayBox) {
  gateway.process.kill().unwrap();
  gateway.process.wait().unwrap();
}

fn ran(engine: &EndpointStandIn, id: &str) -> bool {
  engine.requests().iter().any(|seen| seen.id() == id)
}

/// Begins a stream, and waits until its caller has the first event.
async fn begin(gateway: &GatewayBox, path: &str) {
  gateway.ask_in_background(path, "r0");
  let records = async || gateway.metric("rillford_stream_records").await == 1.0;
  assert!(eventually(TIMEOUT, records).await);
}

/// A deployment with one version, and a box at which a stream has begun that was killed since.
struct Killed {
  first: GatewayBox,
  old: EndpointStandIn,
  prefill: EndpointStandIn,
}

impl Killed {
  async fn start() -> Self {
    let prefill = EndpointStandIn::engine(EVENTS).await;
    let old = EndpointStandIn::start(begins_and_resumes).await;
    let test = GatewayTest::new().await.configure(|configuration| {
      let mut other = configuration["services"][1].clone();
      other["name"] = OTHER_SERVICE.into();
      let services = configuration["services"].as_array_mut().unwrap();
      services.push(other);
    });
    test.enter("e-1", "llm", Some("prefill"), &prefill);
    test.enter_version("e-2", &old, "v1");
    let mut first = test.start().await;
    wait_until_recorded(&first, 1).await;
    begin(&first, "/resumable/a").await;
    kill(&mut first);
    Self {
      first,
      old,
      prefill,
    }
  }

  fn store(&self) -> &PlatformStore {
    &self.first.test.store
  }

  /// Another box, which reaches the store at an address.
  async fn another_box(&self, store: SocketAddr) -> GatewayBox {
    self.first.test.second_box("north-2", store).start().await
  }
}

/// Guards against a stream that goes on at the only version of the service to which its route has been moved.
#[tokio::test]
async fn stream_does_not_go_on_at_the_version_of_the_service_to_which_its_route_has_moved() {
  let mut killed = Killed::start().await;
  let new = EndpointStandIn::start(begins_and_resumes).await;
  let store = killed.store().clone();
  enter_engine(
    &store,
    "f-1",
    OTHER_SERVICE,
    "prefill",
    killed.prefill.address,
    "v2",
  );
  enter_engine(&store, "f-2", OTHER_SERVICE, "decode", new.address, "v2");
  let configuration = &mut killed.first.test.configuration;
  configuration["version"] = 6.into();
  configuration["routes"][3]["service"] = OTHER_SERVICE.into();
  let second = killed.another_box(store.address).await;
  wait_until_recorded(&second, 2).await;
  sleep(WATCHED).await;
  let response = resume(&second, "again", "r0").await;
  assert!(!ran(&new, "again"));
  assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against a version that is taken for the only one although a record of another one can't be read.
#[tokio::test]
async fn stream_does_not_go_on_at_the_only_version_whose_record_can_be_decoded() {
  let killed = Killed::start().await;
  killed.store().put("rillford/versions/00", &[0xff]);
  let second = killed.another_box(killed.store().address).await;
  let response = resume(&second, "again", "r0").await;
  assert!(!ran(&killed.old, "again"));
  assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Limits under which the store takes no write.
const NO_WRITES: StoreLimits = StoreLimits {
  history: Duration::from_secs(60),
  page_items: 500,
  reads_per_s: 1e9,
  writes_per_s: 0.0,
};

/// Guards against a stream that goes on at another version, since it began on a route whose streams are not recorded ahead.
#[tokio::test]
async fn stream_of_a_route_without_retries_does_not_go_on_at_the_former_version() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let [old, new] = [
    EndpointStandIn::start(begins_and_resumes_all).await,
    EndpointStandIn::start(begins_and_resumes_all).await,
  ];
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  test.enter_version("e-2", &old, "v1");
  let mut first = test.start().await;
  wait_until_recorded(&first, 1).await;
  first.test.store.set_limits(NO_WRITES);
  first.test.enter_version("e-3", &new, "v2");
  first.test.store.remove("servers/e-2");
  sleep(WATCHED).await;
  first.ask_in_background("/stream/a", "r0");
  let has_begun = async || ran(&new, "r0");
  let _ = eventually(Duration::from_secs(3), has_begun).await;
  sleep(WATCHED).await;
  let began = ran(&new, "r0");
  kill(&mut first);
  first.test.store.remove("servers/e-3");
  first.test.enter_version("e-2", &old, "v1");
  first.test.store.set_limits(StoreLimits {
    writes_per_s: 1e9,
    ..NO_WRITES
  });
  let second = first.test.second_box("north-2", first.test.store.address);
  let second = second.start().await;
  let mut request = second.request("/stream/a", "again");
  let headers = request.headers_mut();
  headers.insert("last-event-id", HeaderValue::from_static("1"));
  headers.insert("resumes", HeaderValue::from_static("r0"));
  let response = second.send(request).await;
  assert!(!(began && ran(&old, "again")), "{response:?}");
}

/// Streams the rest to a caller who resumes, and the beginning to others, on each route.
fn begins_and_resumes_all(seen: &ReceivedRequest) -> Reply {
  let is_stream = seen.path.starts_with("/stream/") && !seen.is_prefill();
  match seen.header("last-event-id") {
    "" if is_stream => Reply::Write(Reply::stream_part(seen, "id: 1\ndata: a\n\n")),
    _ if is_stream => Reply::stream(seen, REST),
    _ => begins_and_resumes(seen),
  }
}

/// Guards against rejections while engines of a recorded version serve beside those of one that is being recorded.
#[tokio::test]
async fn streams_are_served_by_the_recorded_version_of_a_service_without_roles() {
  let old = EndpointStandIn::start(begins_and_resumes).await;
  let test = GatewayTest::new().await.configure(|configuration| {
    configuration["routes"][3]["service"] = "portal".into();
  });
  test.enter("p-1", "portal", None, &old);
  let gateway = test.start().await;
  wait_until_recorded(&gateway, 1).await;
  assert_eq!(asked(&gateway, "first").await, StatusCode::OK);
  gateway.test.store.set_limits(NO_WRITES);
  let mut later = Vec::new();
  for number in 0..6 {
    let engine = EndpointStandIn::start(begins_and_resumes).await;
    let entry = json!({
      "service": "portal", "address": engine.address, "zone": "north", "version": "v2", "slots": 8, "state": "ready",
      "coldRemainingMs": 0, "callSeq": 9,
    });
    let key = format!("servers/p-{}", number + 2);
    gateway.test.store.put(&key, entry.to_string().as_bytes());
    later.push(engine);
  }
  sleep(WATCHED).await;
  for number in 0..8 {
    let status = asked(&gateway, &format!("r{number}")).await;
    assert_eq!(status, StatusCode::OK, "r{number}");
  }
}

async fn asked(gateway: &GatewayBox, id: &str) -> StatusCode {
  let asked = gateway.ask_in_background("/resumable/a", id);
  asked.await.unwrap().unwrap()
}

/// A proxy of the store that counts the reads of the records of versions, and does not forward the first ones.
struct CountingProxy {
  address: SocketAddr,
  reads: Arc<AtomicUsize>,
}

impl CountingProxy {
  async fn start(store: SocketAddr, lost: usize) -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let reads = Arc::new(AtomicUsize::new(0));
    let counted = reads.clone();
    tokio::spawn(async move {
      while let Ok((caller, _)) = listener.accept().await {
        let store = TcpStream::connect(store).await.unwrap();
        let (from_caller, mut to_caller) = caller.into_split();
        let (mut from_store, to_store) = store.into_split();
        tokio::spawn(forward_calls(from_caller, to_store, counted.clone(), lost));
        tokio::spawn(async move { copy(&mut from_store, &mut to_caller).await });
      }
    });
    Self { address, reads }
  }

  fn reads(&self) -> usize {
    self.reads.load(Ordering::Relaxed)
  }
}

/// Forwards the calls of a connection, which stays silent after a read that is lost.
async fn forward_calls(
  mut from: OwnedReadHalf,
  mut to: OwnedWriteHalf,
  reads: Arc<AtomicUsize>,
  lost: usize,
) {
  let mut call = [0; 16 * 1024];
  while let Ok(count) = from.read(&mut call).await
    && count > 0
  {
    if call.starts_with(VERSIONS_CALL) && reads.fetch_add(1, Ordering::Relaxed) < lost {
      sleep(TIMEOUT).await;
      return;
    }
    if to.write_all(&call[..count]).await.is_err() {
      return;
    }
  }
}

/// Guards against resumptions that are rejected since the store's answer to a former one was lost.
#[tokio::test]
async fn stream_goes_on_while_a_lost_read_for_another_one_has_not_expired() {
  let killed = Killed::start().await;
  let proxy = CountingProxy::start(killed.store().address, 1).await;
  let second = killed.another_box(proxy.address).await;
  let lost = resume(&second, "lost", "other").await;
  assert_eq!(lost.status, StatusCode::SERVICE_UNAVAILABLE);
  let response = resume(&second, "again", "r0").await;
  assert_eq!(response.status, StatusCode::OK, "{} reads", proxy.reads());
}

/// Guards against more reads of the records than the store takes where all boxes were killed and their callers return.
#[tokio::test]
async fn resumptions_of_one_second_share_as_few_reads_as_the_store_takes_of_a_box() {
  let killed = Killed::start().await;
  let proxy = CountingProxy::start(killed.store().address, 0).await;
  let second = Arc::new(killed.another_box(proxy.address).await);
  let until = Instant::now() + Duration::from_secs(1);
  let mut asked = Vec::new();
  // As many as one box of the largest deployment has streams in flight.
  for number in 0..38 {
    let mut request = second.request("/resumable/a", &format!("again-{number}"));
    let headers = request.headers_mut();
    headers.insert("last-event-id", HeaderValue::from_static("1"));
    headers.insert("resumes", format!("r{number}").parse().unwrap());
    let gateway = second.clone();
    asked.push(tokio::spawn(
      async move { gateway.send(request).await.status },
    ));
    sleep(Duration::from_millis(25)).await;
  }
  sleep(until.saturating_duration_since(Instant::now())).await;
  let reads = proxy.reads();
  for asked in asked {
    assert_eq!(asked.await.unwrap(), StatusCode::OK);
  }
  let most = STORE_READS_PER_S / MOST_BOXES;
  assert!(reads <= most, "{reads} reads, {most} at the most");
}

/// A record under which streams begin that may be resumed for a time.
fn put_record(store: &PlatformStore, version: &str, lifetime_ms: u64) {
  let subject = ServiceVersion {
    service: "llm".into(),
    version: SoftwareVersion::new(version),
  };
  let record = VersionRecord {
    subject,
    state: RecordState::Active,
    lifetime_ms,
  };
  let key = format!("rillford/versions/{}", record.subject.key());
  store.put(&key, &record.encode().unwrap());
}

/// A box that lists an engine of a recorded version, while the store takes no write.
async fn without_writes(prefill: &EndpointStandIn, old: &EndpointStandIn) -> GatewayBox {
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), prefill);
  test.enter_version("e-2", old, "v1");
  let gateway = test.start().await;
  wait_until_recorded(&gateway, 1).await;
  assert_eq!(asked(&gateway, "first").await, StatusCode::OK);
  gateway.test.store.set_limits(NO_WRITES);
  gateway
}

/// Guards against streams that wait for a record in vain since another box has written it and the watch lags.
#[tokio::test]
async fn stream_begins_at_a_version_whose_record_another_box_has_just_written() {
  let [old, new] = [
    EndpointStandIn::start(begins_and_resumes).await,
    EndpointStandIn::start(begins_and_resumes).await,
  ];
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let gateway = without_writes(&prefill, &old).await;
  let store = gateway.test.store.clone();
  gateway.test.enter_version("e-3", &new, "v2");
  store.remove("servers/e-2");
  sleep(WATCHED).await;
  let _deaf = store.begin_deaf_watches();
  put_record(&store, "v2", 14_000);
  store.set_limits(StoreLimits {
    writes_per_s: 1e9,
    ..NO_WRITES
  });
  assert_eq!(asked(&gateway, "r0").await, StatusCode::OK);
}

/// Guards against rejections while engines serve whose record covers the stream, beside those whose record is being renewed.
#[tokio::test]
async fn streams_are_served_by_the_version_whose_record_covers_them() {
  let old = EndpointStandIn::start(begins_and_resumes).await;
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let gateway = without_writes(&prefill, &old).await;
  put_record(&gateway.test.store, "v2", 1_000);
  let mut later = Vec::new();
  for number in 0..6 {
    let engine = EndpointStandIn::start(begins_and_resumes).await;
    let id = format!("e-{}", number + 3);
    gateway.test.enter_version(&id, &engine, "v2");
    later.push(engine);
  }
  sleep(WATCHED).await;
  for number in 0..6 {
    let status = asked(&gateway, &format!("r{number}")).await;
    assert_eq!(status, StatusCode::OK, "r{number}");
  }
}

/// Names of boxes that come before another one in the order of the second version's record, and after it in that of the first one's.
fn names_before(name: &str, count: usize) -> Vec<String> {
  let names = (0..).map(|number| format!("gone-{number}"));
  let is_between = |other: &String| {
    let mut boxes = BoxList::default();
    for listed in [name, other] {
      let entry = BoxEntry {
        address: ([127, 0, 0, 1], 1).into(),
        hall: "north".into(),
      };
      boxes.put(listed.into(), entry);
    }
    let mut versions = ServiceVersions::default();
    for version in ["v1", "v2"] {
      versions.add(&"llm".into(), &SoftwareVersion::new(version));
    }
    let maker = RecordMaker {
      box_name: name,
      boxes: &boxes,
      is_current: true,
      lifetime_ms: 14_000,
      now_ms: 0,
    };
    let due = VersionRecords::default().due(|_| true, &versions, maker);
    let at_once = due.iter().map(|change| match change {
      RecordChange::Write(record, _) => record.subject.version.clone(),
      RecordChange::Remove(subject, _) => subject.version.clone(),
    });
    at_once.eq([SoftwareVersion::new("v1")])
  };
  names.filter(is_between).take(count).collect()
}

/// Guards against a version that is taken for the only one since it is the first that is recorded of those that are listed.
#[tokio::test]
async fn stream_does_not_go_on_at_the_first_version_that_is_recorded_of_two() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let [one, other] = [
    EndpointStandIn::start(begins_and_resumes).await,
    EndpointStandIn::start(begins_and_resumes).await,
  ];
  test.enter_version("e-2", &one, "v1");
  test.enter_version("e-3", &other, "v2");
  // Boxes that were killed, and are still listed.
  let cut = CutAddress::new(Cut::Refuse);
  for name in names_before("north-1", 6) {
    test.enter_box(&name, cut.address);
  }
  let gateway = test.start().await;
  let response = resume(&gateway, "again", "r0").await;
  assert!(!ran(&one, "again"));
  assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against streams that are lost with their box since their route leads to services of different versions, each of which has one.
#[tokio::test]
async fn stream_goes_on_after_its_box_was_killed_where_its_route_leads_to_two_services() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let [one, other] = [
    EndpointStandIn::start(begins_and_resumes).await,
    EndpointStandIn::start(begins_and_resumes).await,
  ];
  let test = GatewayTest::new().await.configure(|configuration| {
    let mut large = configuration["services"][1].clone();
    large["name"] = OTHER_SERVICE.into();
    let services = configuration["services"].as_array_mut().unwrap();
    services.push(large);
    let route = configuration["routes"][3].as_object_mut().unwrap();
    route.remove("service");
    let split = json!([{"service": "llm", "weight": 1}, {"service": OTHER_SERVICE, "weight": 1}]);
    route.insert("split".into(), split);
  });
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  test.enter_version("e-2", &one, "v1");
  for (id, stage, engine) in [("f-1", "prefill", &prefill), ("f-2", "decode", &other)] {
    enter_engine(&test.store, id, OTHER_SERVICE, stage, engine.address, "v2");
  }
  let second = test.second_box("north-2", test.store.address);
  let mut first = test.start().await;
  let second = second.start().await;
  wait_until_recorded(&second, 2).await;
  wait_until_two_boxes(&[&first, &second]).await;
  begin(&first, "/resumable/a").await;
  sleep(WATCHED).await;
  kill(&mut first);
  let response = resume(&second, "again", "r0").await;
  assert_eq!(response.status, StatusCode::OK);
  assert_eq!(ran(&one, "r0"), ran(&one, "again"));
  assert_eq!(ran(&other, "r0"), ran(&other, "again"));
}
