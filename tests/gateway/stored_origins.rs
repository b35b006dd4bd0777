//! Streams of a service with several versions after all boxes were killed: the store has which version began each.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, Reply, TIMEOUT,
    store_proxy::StoreProxy,
    versions::{
      EVENTS, Engines, STREAMS, begin_streams, begins_and_resumes, resume, resume_streams,
    },
  },
  emulator::eventually,
  http::StatusCode,
  rillford::gateway::{BoxEntry, BoxList, BucketWriters, OriginBucket, StreamKey},
  rstest::rstest,
  std::time::Duration,
  tokio::time::sleep,
};

const OFF: &str = "[mechanisms]\nstored_origins = false\n";
/// Longer than a box takes to send the streams that have begun, and to write them.
const WRITE_TIME: Duration = Duration::from_millis(1_500);

/// Kills boxes at once.
fn kill(boxes: &mut [GatewayBox]) {
  for killed in &mut *boxes {
    killed.process.kill().unwrap();
  }
  for killed in boxes {
    killed.process.wait().unwrap();
  }
}

/// Waits until the boxes have written where all streams began.
async fn wait_until_written(boxes: &[GatewayBox]) {
  let is_written = async || {
    let mut written = 0.0;
    for running in boxes {
      written += running.metric("rillford_origins_written_total").await;
    }
    written >= STREAMS as f64
  };
  assert!(eventually(TIMEOUT, is_written).await);
  // A box that notices the second version writes what it has begun once more.
  sleep(WRITE_TIME).await;
}

async fn wait_until_listed(boxes: &[GatewayBox], count: f64) {
  for running in boxes {
    let is_listed = async || running.metric("rillford_boxes").await == count;
    assert!(eventually(TIMEOUT, is_listed).await);
  }
}

fn stored_batches(test: &GatewayTest) -> usize {
  let keys = test.store.keys();
  let batches = keys
    .iter()
    .filter(|key| key.starts_with("rillford/origins/"));
  batches.count()
}

/// Guards against streams that no box can resume after a loss of all boxes, since two versions serve.
#[tokio::test]
async fn streams_go_on_at_their_versions_after_all_boxes_were_killed() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = Engines::start(&test, 2, || begins_and_resumes).await;
  let [other, later] = ["north-2", "north-1"].map(|name| test.second_box(name, test.store.address));
  let mut boxes = [test.start().await, other.start().await];
  wait_until_listed(&boxes, 2.0).await;
  begin_streams(&boxes[0], &engines).await;
  wait_until_written(&boxes).await;
  kill(&mut boxes);
  let later = later.start().await;
  resume_streams(&later, &engines).await;
  let from_store = later.metric("rillford_origins_stored_total").await;
  assert_eq!(from_store, STREAMS as f64);
}

/// Guards against a switch without effect, at the boxes that begin streams or at those that resume them.
#[rstest]
#[case::at_all(OFF, OFF)]
#[case::where_streams_begin(OFF, "")]
#[case::where_they_are_resumed("", OFF)]
#[tokio::test]
async fn streams_are_rejected_where_their_origins_are_not_kept(
  #[case] began_settings: &str,
  #[case] later_settings: &str,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let mut test = GatewayTest::new().await;
  test.extra_settings = began_settings.into();
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = Engines::start(&test, 2, || begins_and_resumes).await;
  let mut later = test.second_box("north-1", test.store.address);
  later.extra_settings = later_settings.into();
  let mut began = [test.start().await];
  begin_streams(&began[0], &engines).await;
  sleep(WRITE_TIME).await;
  let is_kept = began_settings.is_empty();
  assert_eq!(stored_batches(&began[0].test) > 0, is_kept);
  kill(&mut began);
  let later = later.start().await;
  for number in 0..STREAMS {
    let response = resume(&later, &format!("again-{number}"), &format!("r{number}")).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
  }
}

/// Guards against writes on days with one version.
#[tokio::test]
async fn no_origins_are_kept_while_one_version_serves() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let decode = EndpointStandIn::start(begins_and_resumes).await;
  let test = GatewayTest::new().await;
  let gateway = test.with_engines(&prefill, &decode).await;
  for number in 0..STREAMS {
    gateway.ask_in_background("/resumable/a", &format!("r{number}"));
  }
  let records = async || gateway.metric("rillford_stream_records").await == STREAMS as f64;
  assert!(eventually(TIMEOUT, records).await);
  sleep(WRITE_TIME).await;
  assert_eq!(stored_batches(&gateway.test), 0);
  assert_eq!(gateway.metric("rillford_origin_writes_total").await, 0.0);
}

/// A name under which a box is the first to write the streams of a small deployment, before another box.
fn first_writer(before: &str) -> String {
  let names = (0..).map(|number| format!("first-{number}"));
  let is_first = |name: &str| {
    let mut list = BoxList::default();
    for listed in [name, before] {
      let entry = BoxEntry {
        address: ([127, 0, 0, 1], 1).into(),
        hall: "north".into(),
      };
      list.put(listed.into(), entry);
    }
    let bucket = OriginBucket::of(&StreamKey::of(None, "r0"), list.len());
    &*BucketWriters::default().of(bucket, &list)[0].0 == name
  };
  names
    .into_iter()
    .find(|name| is_first(name))
    .unwrap_or_default()
}

/// Guards against streams that nobody writes, since the box that is to write them is of an older build.
#[tokio::test]
async fn streams_are_written_where_the_first_writer_is_of_an_older_build() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let older = EndpointStandIn::start(|seen| Reply::status(seen, "404 Not Found", "")).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  test.enter_box(&first_writer("north-1"), older.address);
  let engines = Engines::start(&test, 2, || begins_and_resumes).await;
  let later = test.second_box("north-1", test.store.address);
  let mut boxes = [test.start().await];
  wait_until_listed(&boxes, 2.0).await;
  begin_streams(&boxes[0], &engines).await;
  wait_until_written(&boxes).await;
  let asked = older.requests();
  let asked = asked.iter().filter(|seen| seen.path == "/streams/origins");
  assert_eq!(asked.count(), 1);
  kill(&mut boxes);
  let later = later.start().await;
  resume_streams(&later, &engines).await;
}

/// Guards against streams that nobody writes, since the store turns away the box that is to write them.
#[tokio::test]
async fn streams_are_written_where_the_first_writer_can_not_reach_the_store() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = Engines::start(&test, 2, || begins_and_resumes).await;
  let proxy = StoreProxy::to(test.store.address).await;
  let first = test.second_box(&first_writer("north-1"), proxy.address);
  let later = test.second_box("north-1", test.store.address);
  let mut boxes = [test.start().await, first.start().await];
  wait_until_listed(&boxes, 2.0).await;
  proxy.cut().await;
  begin_streams(&boxes[0], &engines).await;
  wait_until_written(&boxes).await;
  assert_eq!(boxes[1].metric("rillford_origins_written_total").await, 0.0);
  kill(&mut boxes);
  let later = later.start().await;
  resume_streams(&later, &engines).await;
}

/// Guards against a box that overwrites the batches of its former run.
#[tokio::test]
async fn batches_outlast_a_second_run_of_the_box() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = Engines::start(&test, 2, || begins_and_resumes).await;
  let [again, later] = ["north-1"; 2].map(|name| test.second_box(name, test.store.address));
  let mut boxes = [test.start().await];
  begin_streams(&boxes[0], &engines).await;
  wait_until_written(&boxes).await;
  kill(&mut boxes);
  let mut boxes = [again.start().await];
  boxes[0].ask_in_background("/resumable/a", "other");
  let is_written = async || boxes[0].metric("rillford_origins_written_total").await >= 1.0;
  assert!(eventually(TIMEOUT, is_written).await);
  kill(&mut boxes);
  let later = later.start().await;
  resume_streams(&later, &engines).await;
}

/// Lists more boxes than one box writes for, all at the address of one that runs.
fn list_many(test: &GatewayTest, running: &GatewayBox) {
  for number in 0..70 {
    test.enter_box(&format!("zone-{number:02}"), running.boxes);
  }
}

/// Guards against a large deployment in which each box reads the batches: those that write a bucket read it for the others.
#[tokio::test]
async fn box_asks_one_that_writes_the_bucket_in_a_large_deployment() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let engines = Engines::start(&test, 2, || begins_and_resumes).await;
  let [other, later, later_other] =
    ["north-2", "north-1", "north-2"].map(|name| test.second_box(name, test.store.address));
  let mut boxes = [test.start().await, other.start().await];
  list_many(&boxes[0].test, &boxes[1]);
  wait_until_listed(&boxes, 72.0).await;
  begin_streams(&boxes[0], &engines).await;
  wait_until_written(&boxes).await;
  kill(&mut boxes);
  let readers = [later_other.start().await];
  list_many(&later, &readers[0]);
  let later = later.start().await;
  wait_until_listed(&readers, 72.0).await;
  resume_streams(&later, &engines).await;
  assert!(readers[0].metric("rillford_origin_reads_total").await > 0.0);
}

/// The pages that a box reads at its start while the store has a number of batches.
async fn pages_of_a_start(batches: usize) -> usize {
  let endpoint = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  for number in 0..batches {
    let key = format!("rillford/origins/b/north-2-7f-{number:x}");
    test.store.put(&key, b"batch");
  }
  let gateway = test.with_engines(&endpoint, &endpoint).await;
  gateway.test.store.listings()
}

/// Guards against boxes that read all batches when they start.
#[tokio::test]
async fn a_listing_leaves_batches_out() {
  assert_eq!(pages_of_a_start(40).await, pages_of_a_start(4).await);
}
