//! Findings of the review of the seventh report: sound streams that are ended, and streams that go on at another version.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    cut_off::{Cut, CutAddress},
    endpoint::engine_reply,
    raw_caller::{RawRequest, RawResponse},
    resuming_caller::ResumingCaller,
    review_findings::{Fleet, answer},
    store_proxy::StoreProxy,
    stream_framing::{EVENTS, Framing, complete, events, rest, whole},
    versioned_engine::{Beginning, FOR_GOOD, StartField, VersionedEngine},
    versions::{EVENTS as TWO_EVENTS, begins_and_resumes, resume},
    versions_of_restarted_engines::{
      begin_at, deployment, list_later, wait_until_two_boxes, wait_until_two_versions,
    },
  },
  emulator::eventually,
  http::StatusCode,
  rstest::rstest,
  std::time::Duration,
  tokio::time::sleep,
};

/// Streams after which a box knows how a version numbers its events.
const WHOLE_STREAMS: u64 = 5;
/// Streams beside which those of another kind are seldom.
const MANY_STREAMS: u64 = 40;
/// Streams of another kind, until a box has learnt that they are sound.
const OTHER_STREAMS: u64 = 4;

/// A late report.
const REPORT: &str =
  "HTTP/1.1 200 OK\r\ncontent-length: 32\r\n\r\n{\"callSeq\":0,\"utilization\":true}";
/// Until a change of the store has reached a box.
const WATCHED: Duration = Duration::from_millis(150);

/// An engine whose streams are whole, but for those of requests that begin with `other`.
async fn fleet_with(other: &'static str) -> Fleet {
  Fleet::start(
    move |seen: &ReceivedRequest| match seen.id().starts_with("other") {
      true => answer(seen, Framing::Chunks, other),
      false => answer(seen, Framing::Chunks, &rest(seen)),
    },
  )
  .await
}

async fn ask_whole(fleet: &Fleet, name: &str, count: u64) {
  for number in 1..=count {
    let request = RawRequest::new("/resumable/a", &format!("{name}{number}"));
    assert_eq!(fleet.ask(request).await, complete(whole()));
  }
}

/// The response to the last one of several streams of another kind.
async fn ask_others(fleet: &Fleet, path: &str) -> RawResponse {
  for number in 1..OTHER_STREAMS {
    let request = RawRequest::new(path, &format!("other{number}"));
    fleet.ask(request).await;
  }
  fleet.ask(RawRequest::new(path, "other-last")).await
}

/// Guards against requests that always fail because their streams differ from those of the other requests for the service.
#[rstest]
#[case::no_ids("data: a\n\ndata: b\n\ndata: [DONE]\n\n")]
#[case::first_event_without_id("event: open\ndata: {}\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n")]
#[case::heartbeat_with_data("id: 1\ndata: a\n\nevent: ping\ndata: {}\n\nid: 2\ndata: b\n\n")]
#[case::ids_begin_later("id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 5\ndata: c\n\n")]
#[case::ids_in_base_16("id: 8\ndata: a\n\nid: 9\ndata: b\n\nid: a\ndata: c\n\nid: b\ndata: d\n\n")]
#[tokio::test]
async fn streams_of_another_kind_are_complete_before_long(
  #[case] other: &'static str,
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let fleet = fleet_with(other).await;
  ask_whole(&fleet, "r", WHOLE_STREAMS).await;
  assert_eq!(ask_others(&fleet, path).await, complete(other.to_owned()));
}

/// Guards against requests that fail again and again because few streams have an event without an id.
#[rstest]
#[tokio::test]
async fn seldom_streams_with_an_event_without_id_are_complete_in_the_end(
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let other = "id: 1\ndata: a\n\nevent: ping\ndata: {}\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
  let fleet = fleet_with(other).await;
  let mut are_complete = Vec::new();
  for round in 1..=OTHER_STREAMS {
    ask_whole(&fleet, &format!("r{round}-"), MANY_STREAMS).await;
    let request = RawRequest::new(path, &format!("other{round}"));
    are_complete.push(fleet.ask(request).await.is_complete);
  }
  // The first one shows that there are such streams.
  assert!(
    are_complete[1..].iter().all(|is_complete| *is_complete),
    "{are_complete:?}"
  );
}

/// Guards against a service whose streams are all aborted because of fields that readers ignore.
#[rstest]
#[case::heartbeat_with_an_unknown_field(
  "id: 1\ndata: a\n\nevent: ping\nid: 2\nx-load: 3\n\nid: 3\ndata: b\n\n"
)]
#[case::first_block_with_an_unknown_field(
  "id: 0\nx-weight-versions: 4\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)]
#[case::number_of_events_at_the_end(
  "id: 1\ndata: a\n\nid: 2\ndata: b\n\nx-events: 3\ndata: [DONE]\n\n"
)]
#[case::lines_of_data_in_crlf(
  "retry: 500\r\n\r\n: hi\r\n\r\nid: 1\r\nevent: token\r\ndata: a\r\ndata: b\r\n\r\nid: 2\r\ndata: c\r\n\r\n"
)]
#[tokio::test]
async fn streams_with_fields_that_readers_ignore_are_complete_before_long(
  #[case] body: &'static str,
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let fleet = fleet_with(body).await;
  assert_eq!(ask_others(&fleet, path).await, complete(body.to_owned()));
}

/// Guards against streams that may not be resumed and are aborted, because their engine goes on after the event that the caller names.
#[tokio::test]
async fn stream_that_begins_after_the_event_that_its_caller_names_is_complete() {
  let script = |seen: &ReceivedRequest| answer(seen, Framing::Chunks, &rest(seen));
  let fleet = Fleet::start(script).await;
  ask_whole(&fleet, "r", WHOLE_STREAMS).await;
  let request = RawRequest::new("/stream/a", "after").header("last-event-id", "3");
  let response = fleet.ask(request).await;
  assert!(
    response.is_complete && [whole(), events(4..=EVENTS)].contains(&response.body),
    "{response:?}"
  );
}

/// Guards against a complete stream with an event whose data has got lost, where all others have some.
#[rstest]
#[case::no_line("")]
#[case::taken_for_a_comment(":ata: e4 žluť 🌊\n")]
#[case::name_of_another_field("event: e4 žluť 🌊\n")]
#[tokio::test]
async fn event_that_has_lost_its_data_is_not_forwarded(
  #[case] data: &'static str,
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let spoilt = format!("{}id: 4\n{data}\n{}", events(1..=3), events(5..=EVENTS));
  let script = move |seen: &ReceivedRequest| match seen.id() {
    "spoilt" if seen.header("last-event-id").is_empty() => answer(seen, Framing::Chunks, &spoilt),
    _ => answer(seen, Framing::Chunks, &rest(seen)),
  };
  let fleet = Fleet::start(script).await;
  ask_whole(&fleet, "r", WHOLE_STREAMS).await;
  let response = fleet.ask(RawRequest::new(path, "spoilt")).await;
  assert!(
    !response.is_complete || response.body == whole(),
    "{response:?}"
  );
}

/// Whether engines name their start, in their entries and reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Starts {
  Named,
  Unnamed,
}

impl Starts {
  async fn engine(self) -> EndpointStandIn {
    EndpointStandIn::start(move |seen: &ReceivedRequest| match seen.path.as_str() {
      "/report" if self == Self::Unnamed => Reply::ok(seen, r#"{"callSeq":0,"utilization":true}"#),
      _ => begins_and_resumes(seen),
    })
    .await
  }

  fn list(self, test: &GatewayTest, id: &str, engine: &EndpointStandIn, version: &str) {
    match self {
      Self::Named => test.enter_version(id, engine, version),
      Self::Unnamed => test.enter_version_without_start(id, engine, version),
    }
  }
}

async fn begin_one(gateway: &GatewayBox) {
  gateway.ask_in_background("/resumable/a", "r0");
  let records = "rillford_stream_records";
  assert!(eventually(TIMEOUT, async || gateway.metric(records).await == 1.0).await);
}

fn kill(gateway: &mut GatewayBox) {
  gateway.process.kill().unwrap();
  gateway.process.wait().unwrap();
}

/// What a box does not reach for a moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unreached {
  Store,
  StoreAndOtherBox,
}

/// Guards against a stream that goes on at the only version which a box knows that was cut off a moment ago, while the box that began it,
/// and was killed since, listed a second one.
#[rstest]
#[tokio::test]
async fn stream_does_not_go_on_at_the_only_version_known_where_the_box_that_began_it_is_silent(
  #[values(Starts::Named, Starts::Unnamed)] starts: Starts,
  #[values(Unreached::Store, Unreached::StoreAndOtherBox)] unreached: Unreached,
) {
  let prefill = EndpointStandIn::engine(TWO_EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let [old, new] = [starts.engine().await, starts.engine().await];
  starts.list(&test, "e-2", &old, "v1");
  let proxy = StoreProxy::to(test.store.address).await;
  let mut of_other_hall = test.second_box("south-1", proxy.address);
  of_other_hall.hall = "south";
  let other = of_other_hall.start().await;
  let mut began = test.start().await;
  wait_until_two_boxes(&[&began, &other]).await;
  let cut = CutAddress::new(Cut::Refuse);
  if unreached == Unreached::StoreAndOtherBox {
    began.test.enter_box("north-1", cut.address);
    sleep(WATCHED).await;
  }
  proxy.cut().await;
  if unreached == Unreached::StoreAndOtherBox {
    began
      .test
      .enter_box_of_hall("south-1", "south", cut.address);
  }
  starts.list(&began.test, "e-3", &new, "v2");
  began.test.store.remove("servers/e-2");
  wait_until_two_versions(&began).await;
  begin_one(&began).await;
  assert!(new.requests().iter().any(|seen| seen.id() == "r0"));
  kill(&mut began);
  resume(&other, "again", "r0").await;
  assert!(old.requests().iter().all(|seen| seen.id() != "again"));
}

/// Guards against a stream of two versions after a change of the configuration to shorter timeouts: a stream that began before may be
/// resumed for longer.
#[tokio::test]
async fn version_of_a_stream_is_known_for_as_long_as_the_former_timeout_allows() {
  const RETURN: Duration = Duration::from_secs(10);
  let prefill = EndpointStandIn::engine(TWO_EVENTS).await;
  let test = GatewayTest::new().await.configure(|configuration| {
    configuration["routes"][3]["timeoutMs"] = 60_000.into();
  });
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let starts = Starts::Named;
  let [old, new] = [starts.engine().await, starts.engine().await];
  starts.list(&test, "e-2", &old, "v1");
  let later = test
    .second_box("north-1", test.store.address)
    .configure(|configuration| {
      configuration["version"] = 9.into();
      for route in 0..4 {
        configuration["routes"][route]["timeoutMs"] = 1_000.into();
      }
    });
  let mut began = test.start().await;
  begin_one(&began).await;
  starts.list(&began.test, "e-3", &new, "v2");
  wait_until_two_versions(&began).await;
  // The engine prefills; its version does not matter to a stream.
  began
    .test
    .enter_engine_version("e-1", "prefill", &prefill, "v2");
  began.test.store.remove("servers/e-2");
  later.put_configuration();
  sleep(RETURN + Duration::from_secs(4)).await;
  kill(&mut began);
  let later = later.start().await;
  let response = resume(&later, "again", "r0").await;
  assert!(new.requests().iter().all(|seen| seen.id() != "again"));
  assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against a stream of two versions where a release brings engines that restart under their ids and name their starts, beside a
/// former version that named none.
#[tokio::test]
async fn stream_holds_one_version_where_only_the_new_version_names_its_start() {
  let sound = VersionedEngine::start("e-2", &["v1"]).await;
  let restarted = VersionedEngine::start_with(
    "e-3",
    &["v1", "v2"],
    StartField::InReportSinceSecond,
    Beginning::Slow,
  )
  .await;
  let test = deployment(&[(&sound, "v1"), (&restarted, "v1")]).await;
  let gateway = test.start().await;
  begin_at(&restarted, &[&sound], &gateway).await.disconnect();
  restarted.restart().await;
  sound.set_slots(false);
  let mut caller = ResumingCaller::begin(&gateway, "r2").await;
  sound.set_slots(true);
  restarted.set_slots(false);
  restarted.crash(FOR_GOOD).await;
  caller.finish().await;
  list_later(&restarted, &gateway.test, "v2").await;
  caller.assert_one_version();
}

/// Guards against a stream of two versions at engines whose entries, of another writer, lack the version.
#[tokio::test]
async fn stream_holds_one_version_where_entries_lack_the_version() {
  let first = VersionedEngine::start("e-2", &["v1"]).await;
  let second = VersionedEngine::start("e-3", &["v2"]).await;
  let sound = VersionedEngine::start("e-4", &["v1"]).await;
  let test = deployment(&[(&sound, "v1")]).await;
  first.list_without_version(&test);
  second.list_without_version(&test);
  let gateway = test.start().await;
  let mut caller = begin_at(&first, &[&second, &sound], &gateway).await;
  first.crash(FOR_GOOD).await;
  caller.finish().await;
  caller.assert_one_version();
}

/// Guards against streams that are rejected because an engine, which answers them, is late with its report.
#[tokio::test]
async fn stream_is_served_where_reports_are_late() {
  const LATE: Duration = Duration::from_secs(2);
  let prefill = EndpointStandIn::engine(TWO_EVENTS).await;
  let engine = EndpointStandIn::start(move |seen: &ReceivedRequest| match seen.path.as_str() {
    "/report" => Reply::WriteLater(LATE, REPORT.into()),
    _ => engine_reply(seen, TWO_EVENTS),
  })
  .await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  test.enter_version_without_start("e-2", &engine, "v1");
  let gateway = test.start().await;
  let mut statuses = Vec::new();
  for number in 0..8 {
    let response = gateway.ask("/resumable/a", &format!("r{number}")).await;
    statuses.push(response.status);
    sleep(Duration::from_millis(300)).await;
  }
  assert_eq!(statuses, [StatusCode::OK; 8]);
}

/// Guards against an engine whose streams are lost because its entry was damaged for a moment: its version is that of before.
#[tokio::test]
async fn stream_goes_on_after_the_entry_of_its_engine_was_damaged_for_a_moment() {
  let ended = VersionedEngine::start("e-2", &["v1"]).await;
  let same = VersionedEngine::start("e-3", &["v1"]).await;
  let test = deployment(&[(&ended, "v1"), (&same, "v1")]).await;
  let gateway = test.start().await;
  begin_at(&ended, &[&same], &gateway).await.disconnect();
  ended.list_without_version(&gateway.test);
  sleep(WATCHED).await;
  ended.list(&gateway.test, "v1");
  sleep(WATCHED).await;
  same.set_slots(false);
  let mut caller = ResumingCaller::begin(&gateway, "r2").await;
  same.set_slots(true);
  ended.crash(FOR_GOOD).await;
  caller.finish().await;
  caller.assert_whole();
}

/// Guards against streams that are rejected although an engine would run them, because others name no start in their entries and get
/// nothing.
#[tokio::test]
async fn stream_is_served_beside_engines_whose_entries_lack_their_start() {
  let versions = ["v1"];
  let mut lacking = Vec::new();
  for id in ["e-2", "e-3", "e-4", "e-5", "e-6", "e-7"] {
    let engine =
      VersionedEngine::start_with(id, &versions, StartField::InReport, Beginning::Whole).await;
    lacking.push(engine);
  }
  let sound =
    VersionedEngine::start_with("e-8", &versions, StartField::Nowhere, Beginning::Whole).await;
  let mut listed: Vec<_> = lacking.iter().map(|engine| (engine, "v1")).collect();
  listed.push((&sound, "v1"));
  let test = deployment(&listed).await;
  let gateway = test.start().await;
  let mut statuses = Vec::new();
  for number in 0..8 {
    let response = gateway.ask("/resumable/a", &format!("r{number}")).await;
    statuses.push(response.status);
  }
  assert_eq!(statuses, [StatusCode::OK; 8]);
}
