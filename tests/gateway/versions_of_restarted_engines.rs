//! Engines that come back under their id and address with another version while their entry still has the former one, and whose entry
//! or report lacks the start: a stream holds events of one version, over all requests of its caller.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, TIMEOUT,
    resuming_caller::ResumingCaller,
    store_proxy::StoreProxy,
    versioned_engine::{Beginning, FOR_GOOD, StartField, VersionedEngine},
  },
  emulator::eventually,
  futures_util::future::join,
  http::StatusCode,
  rstest::rstest,
  std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
  },
  tokio::time::sleep,
};

/// How often engines write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Until the entry of an engine that is back has its version.
const ENTRY_LAG: Duration = Duration::from_millis(900);
/// For how long a box is in touch with engines until it knows that their entries are theirs.
const OBSERVED: Duration = Duration::from_millis(2_900);
/// Pause between two streams that keep a box in touch with its engines.
const OBSERVATION_PAUSE: Duration = Duration::from_millis(100);
/// After this time without requests a box has closed its connections to an engine.
const CONNECTIONS_EXPIRE: Duration = Duration::from_millis(5_500);
/// For how long a silent engine writes nothing; a box lets another one take its streams over before.
const SILENCE: Duration = Duration::from_millis(6_000);
/// From the silence of an engine until shortly before another one takes its streams over.
const BEFORE_TAKEOVER: Duration = Duration::from_millis(700);
/// For how long a caller resumes its stream after an engine came back: its entry is written, and known to be the engine's.
const RESUMED: Duration = Duration::from_millis(5_000);
/// The time that a stream may take.
const DEADLINE: Duration = Duration::from_secs(20);

/// A deployment with a prefill engine, and decode engines that are listed with a version.
pub(super) async fn deployment(engines: &[(&VersionedEngine, &str)]) -> GatewayTest {
  let prefill = EndpointStandIn::engine("").await;
  let test = GatewayTest::new().await.configure(|configuration| {
    configuration["routes"][3]["timeoutMs"] = (DEADLINE.as_millis() as u64).into();
  });
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  for (engine, version) in engines {
    engine.list(&test, version);
  }
  test
}

/// The same, whose engines may start again under their ids without naming their starts.
pub(super) async fn restarting_deployment(engines: &[(&VersionedEngine, &str)]) -> GatewayTest {
  deployment(engines).await.with_unnamed_restarts()
}

/// Lets some engines grant slots, and the others none.
fn set_slots(granting: &[&VersionedEngine], full: &[&VersionedEngine]) {
  for engine in granting {
    engine.set_slots(true);
  }
  for engine in full {
    engine.set_slots(false);
  }
}

/// Runs a whole stream at an engine, while others have no slots.
async fn run_at(gateway: &GatewayBox, engine: &VersionedEngine, others: &[&VersionedEngine]) {
  static STREAMS: AtomicU64 = AtomicU64::new(0);
  set_slots(&[engine], others);
  let id = format!("warm-{}", STREAMS.fetch_add(1, Ordering::Relaxed));
  let response = gateway.ask("/resumable/a", &id).await;
  assert_eq!(response.status, StatusCode::OK);
  assert!(engine.ran(&id));
  set_slots(others, &[]);
}

/// Runs a whole stream at each of all engines, one after another.
async fn run_at_each(gateway: &GatewayBox, engines: &[&VersionedEngine]) {
  for engine in engines {
    set_slots(&[], engines);
    run_at(gateway, engine, &[]).await;
  }
  set_slots(engines, &[]);
}

/// Keeps boxes in touch with engines until they know that the entries are theirs.
pub(super) async fn observe(boxes: &[&GatewayBox], engines: &[&VersionedEngine]) {
  let since = Instant::now();
  while since.elapsed() < OBSERVED {
    for gateway in boxes {
      run_at_each(gateway, engines).await;
    }
    sleep(OBSERVATION_PAUSE).await;
  }
}

/// Begins a stream at one engine while others have no slots, which they have again in the end.
pub(super) async fn begin_at(
  engine: &VersionedEngine,
  others: &[&VersionedEngine],
  gateway: &GatewayBox,
) -> ResumingCaller {
  set_slots(&[engine], others);
  let caller = ResumingCaller::begin(gateway, "r1").await;
  assert!(engine.ran("r1"));
  set_slots(others, &[]);
  caller
}

/// Lists an engine that has just come back with its version, after the time by which entries lag.
pub(super) async fn list_later(engine: &VersionedEngine, test: &GatewayTest, version: &str) {
  sleep(ENTRY_LAG).await;
  engine.list(test, version);
}

/// Waits until a box has listed two versions.
pub(super) async fn wait_until_two_versions(gateway: &GatewayBox) {
  let divided = "rillford_services_of_several_versions";
  let is_divided = async || gateway.metric(divided).await == 1.0;
  assert!(eventually(TIMEOUT, is_divided).await);
}

/// Waits until two boxes know each other.
pub(super) async fn wait_until_two_boxes(boxes: &[&GatewayBox]) {
  for gateway in boxes {
    let are_known = async || gateway.metric("rillford_boxes").await == 2.0;
    assert!(eventually(TIMEOUT, are_known).await);
  }
}

/// What a box's connections to an engine tell of a restart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Contact {
  /// The restart ends them, and the box has opened none since.
  Broken,
  /// The box had closed them before, as they were idle.
  Expired,
  /// The restart ends them, and a new stream has run since.
  Renewed,
}

/// Guards against a box that continues a stream at an engine that has just come back with another version.
#[rstest]
#[tokio::test]
async fn interrupted_stream_goes_on_at_no_engine_that_came_back_with_another_version(
  #[values(StartField::Nowhere, StartField::InReport)] start_field: StartField,
  #[values(Contact::Broken, Contact::Expired, Contact::Renewed)] contact: Contact,
) {
  let sound = VersionedEngine::start("e-2", &["v1"]).await;
  let versions = ["v1", "v2"];
  let restarted = VersionedEngine::start_with("e-3", &versions, start_field, Beginning::Slow).await;
  let test = restarting_deployment(&[(&sound, "v1"), (&restarted, "v1")]).await;
  let gateway = test.start().await;
  observe(&[&gateway], &[&sound, &restarted]).await;
  let mut caller = begin_at(&sound, &[&restarted], &gateway).await;
  if contact == Contact::Expired {
    sleep(CONNECTIONS_EXPIRE).await;
  }
  restarted.restart().await;
  let interrupt = async {
    if contact == Contact::Renewed {
      run_at(&gateway, &restarted, &[&sound]).await;
    }
    sound.crash(FOR_GOOD).await;
    caller.finish().await;
  };
  join(list_later(&restarted, &gateway.test, "v2"), interrupt).await;
  caller.assert_one_version();
}

/// Guards against a silent engine whose stream another one takes over that has just come back with another version.
#[rstest]
#[tokio::test]
async fn silent_stream_is_taken_over_by_no_engine_that_came_back_with_another_version(
  #[values(StartField::Nowhere, StartField::InReport)] start_field: StartField,
) {
  let silent = VersionedEngine::start("e-2", &["v1"]).await;
  let versions = ["v1", "v2"];
  let restarted = VersionedEngine::start_with("e-3", &versions, start_field, Beginning::Slow).await;
  let test = restarting_deployment(&[(&silent, "v1"), (&restarted, "v1")]).await;
  let gateway = test.start().await;
  observe(&[&gateway], &[&silent, &restarted]).await;
  let mut caller = begin_at(&silent, &[&restarted], &gateway).await;
  silent.fall_silent(SILENCE);
  sleep(BEFORE_TAKEOVER).await;
  restarted.restart().await;
  join(list_later(&restarted, &gateway.test, "v2"), caller.finish()).await;
  caller.assert_one_version();
}

/// Guards against a stream of a plain service that goes on at an endpoint that has just come back with another version.
#[rstest]
#[case::no_start(StartField::Nowhere)]
#[case::start_in_entry(StartField::InEntry)]
#[tokio::test]
async fn stream_of_a_plain_service_goes_on_at_no_endpoint_with_another_version(
  #[case] start_field: StartField,
) {
  let sound = VersionedEngine::start_with("p-1", &["v1"], start_field, Beginning::Slow).await;
  let versions = ["v1", "v2"];
  let restarted = VersionedEngine::start_with("p-2", &versions, start_field, Beginning::Slow).await;
  let test = restarting_deployment(&[]).await.configure(|configuration| {
    configuration["routes"][3]["service"] = "portal".into();
  });
  sound.list_plain(&test);
  let gateway = test.start().await;
  let mut caller = begin_at(&sound, &[], &gateway).await;
  restarted.list_plain(&gateway.test);
  // The entry has reached the box.
  sleep(HEARTBEAT / 2).await;
  restarted.restart().await;
  sound.crash(FOR_GOOD).await;
  caller.finish().await;
  caller.assert_one_version();
}

/// Guards against a stream that goes on, within its response or at its caller's resumption, at an engine that has a start in its
/// entry, but reports none, and came back with another version.
#[tokio::test]
async fn stream_goes_on_at_no_engine_that_came_back_and_reports_no_start() {
  let sound = VersionedEngine::start("e-2", &["v1"]).await;
  let versions = ["v1", "v2"];
  let restarted =
    VersionedEngine::start_with("e-3", &versions, StartField::InEntry, Beginning::Slow).await;
  let test = restarting_deployment(&[(&sound, "v1"), (&restarted, "v1")]).await;
  let gateway = test.start().await;
  // The other one gets no streams.
  observe(&[&gateway], &[&sound]).await;
  let mut caller = begin_at(&sound, &[&restarted], &gateway).await;
  restarted.restart().await;
  let until = Instant::now() + RESUMED;
  let interrupt = async {
    sound.crash(FOR_GOOD).await;
    caller.finish().await;
    caller.resume_until(&gateway, until).await;
  };
  join(list_later(&restarted, &gateway.test, "v2"), interrupt).await;
  caller.assert_one_version();
}

/// How a stream is interrupted that has begun at an engine with another version than the listed one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Interruption {
  /// The engine crashes, and does not come back.
  Crash,
  /// It crashes, and comes back at once.
  SecondRestart,
  /// It closes the connection, and has no slots.
  Close,
  /// It falls silent.
  Silence,
}

/// When that happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum When {
  BeforeEntry,
  AfterEntry,
}

/// Guards against a stream that goes on at the version that was listed for its engine, which had come back with another one.
#[rstest]
#[case::crash_before_entry(Interruption::Crash, When::BeforeEntry)]
#[case::second_restart_before_entry(Interruption::SecondRestart, When::BeforeEntry)]
#[case::close_before_entry(Interruption::Close, When::BeforeEntry)]
#[case::silence_before_entry(Interruption::Silence, When::BeforeEntry)]
#[case::crash_after_entry(Interruption::Crash, When::AfterEntry)]
#[case::second_restart_after_entry(Interruption::SecondRestart, When::AfterEntry)]
#[tokio::test]
async fn stream_of_an_engine_that_came_back_does_not_go_on_at_its_listed_version(
  #[case] interruption: Interruption,
  #[case] when: When,
  #[values(StartField::Nowhere, StartField::InReport)] start_field: StartField,
) {
  let sound = VersionedEngine::start("e-2", &["v1"]).await;
  let beginning = match interruption {
    Interruption::Close => Beginning::Closed,
    Interruption::Crash | Interruption::SecondRestart | Interruption::Silence => Beginning::Slow,
  };
  let restarted = VersionedEngine::start_with("e-3", &["v1", "v2"], start_field, beginning).await;
  let test = restarting_deployment(&[(&sound, "v1"), (&restarted, "v1")]).await;
  let gateway = test.start().await;
  observe(&[&gateway], &[&sound, &restarted]).await;
  restarted.restart().await;
  let run = async {
    let mut caller = begin_at(&restarted, &[&sound], &gateway).await;
    // The stream can go on at the other engine only.
    restarted.set_slots(false);
    if when == When::AfterEntry {
      wait_until_two_versions(&gateway).await;
    }
    match interruption {
      Interruption::Crash => restarted.crash(FOR_GOOD).await,
      Interruption::SecondRestart => restarted.restart().await,
      Interruption::Close => {}
      Interruption::Silence => restarted.fall_silent(SILENCE),
    }
    caller.finish().await;
    caller
  };
  let ((), caller) = join(list_later(&restarted, &gateway.test, "v2"), run).await;
  assert!(caller.versions().contains("v2"));
  caller.assert_one_version();
}

/// Guards against a stream that is aborted, or goes on at the version that was listed before, although another engine of its own
/// version serves.
#[rstest]
#[case::no_start(StartField::Nowhere)]
#[case::start_in_report(StartField::InReport)]
#[tokio::test]
async fn stream_of_an_engine_that_came_back_goes_on_at_the_version_that_is_listed_then(
  #[case] start_field: StartField,
) {
  let former = VersionedEngine::start("e-2", &["v1"]).await;
  let versions = ["v1", "v2"];
  let restarted = VersionedEngine::start_with("e-3", &versions, start_field, Beginning::Slow).await;
  let later = VersionedEngine::start("e-4", &["v2"]).await;
  let test = restarting_deployment(&[(&former, "v1"), (&restarted, "v1"), (&later, "v2")]).await;
  let gateway = test.start().await;
  observe(&[&gateway], &[&former, &restarted, &later]).await;
  restarted.restart().await;
  let mut caller = begin_at(&restarted, &[&former, &later], &gateway).await;
  list_later(&restarted, &gateway.test, "v2").await;
  // The entry has reached the box.
  sleep(HEARTBEAT / 2).await;
  run_at(&gateway, &former, &[&restarted, &later]).await;
  run_at(&gateway, &later, &[&former, &restarted]).await;
  restarted.crash(FOR_GOOD).await;
  caller.finish().await;
  assert!(caller.versions().contains("v2"));
  caller.assert_whole();
}

/// The box at which a caller resumes its stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResumedAt {
  SameBox,
  /// It is in touch with all engines.
  OtherBox,
  BoxWithoutConnections,
  BoxThatHasJustStarted,
}

/// Two boxes, of which the second one may start later.
struct Boxes {
  first: GatewayBox,
  second: Option<GatewayBox>,
  resumed_at: ResumedAt,
}

impl Boxes {
  /// Starts the boxes, and lets them observe engines.
  async fn start(test: GatewayTest, resumed_at: ResumedAt, engines: &[&VersionedEngine]) -> Self {
    let second = test.second_box("north-2", test.store.address);
    let first = test.start().await;
    let second = match resumed_at {
      ResumedAt::OtherBox | ResumedAt::BoxWithoutConnections => Some(second.start().await),
      ResumedAt::SameBox | ResumedAt::BoxThatHasJustStarted => None,
    };
    if let Some(second) = &second {
      wait_until_two_boxes(&[&first, second]).await;
    }
    match &second {
      Some(second) if resumed_at == ResumedAt::OtherBox => {
        observe(&[&first, second], engines).await;
      }
      _ => observe(&[&first], engines).await,
    }
    Self {
      first,
      resumed_at,
      second,
    }
  }

  /// The box at which the caller resumes, which starts now if it is to.
  async fn resuming(&mut self) -> &GatewayBox {
    if self.resumed_at == ResumedAt::BoxThatHasJustStarted {
      let test = &self.first.test;
      let second = test.second_box("north-2", test.store.address);
      let second = second.start().await;
      wait_until_two_boxes(&[&second]).await;
      self.second = Some(second);
    }
    self.second.as_ref().unwrap_or(&self.first)
  }
}

/// Guards against a stream that goes on at its own engine, which crashed within it and came back with another version.
#[rstest]
#[tokio::test]
async fn stream_does_not_go_on_at_its_engine_that_came_back_with_another_version(
  #[values(ResumedAt::SameBox, ResumedAt::OtherBox)] resumed_at: ResumedAt,
  #[values(StartField::Nowhere, StartField::InReport)] start_field: StartField,
) {
  let versions = ["v1", "v2"];
  let engine = VersionedEngine::start_with("e-2", &versions, start_field, Beginning::Slow).await;
  let test = restarting_deployment(&[(&engine, "v1")]).await;
  let lister = test.second_box("lister", test.store.address);
  let mut boxes = Boxes::start(test, resumed_at, &[&engine]).await;
  let mut caller = begin_at(&engine, &[], &boxes.first).await;
  engine.restart().await;
  let until = Instant::now() + RESUMED;
  let resume = async {
    caller.finish().await;
    let gateway = boxes.resuming().await;
    caller.resume_until(gateway, until).await;
  };
  join(list_later(&engine, &lister, "v2"), resume).await;
  caller.assert_one_version();
}

/// Guards against a caller's resumption at an engine that has just come back with another version.
#[rstest]
#[tokio::test]
async fn caller_resumes_at_no_engine_that_came_back_with_another_version(
  #[values(
    ResumedAt::SameBox,
    ResumedAt::OtherBox,
    ResumedAt::BoxWithoutConnections,
    ResumedAt::BoxThatHasJustStarted
  )]
  resumed_at: ResumedAt,
  #[values(StartField::Nowhere, StartField::InReport)] start_field: StartField,
) {
  let sound = VersionedEngine::start("e-2", &["v1"]).await;
  let versions = ["v1", "v2"];
  let restarted = VersionedEngine::start_with("e-3", &versions, start_field, Beginning::Slow).await;
  let test = restarting_deployment(&[(&sound, "v1"), (&restarted, "v1")]).await;
  let lister = test.second_box("lister", test.store.address);
  let mut boxes = Boxes::start(test, resumed_at, &[&sound, &restarted]).await;
  let mut caller = begin_at(&sound, &[&restarted], &boxes.first).await;
  caller.disconnect();
  sound.crash(FOR_GOOD).await;
  restarted.restart().await;
  let until = Instant::now() + RESUMED;
  let resume = async {
    let gateway = boxes.resuming().await;
    caller.resume_until(gateway, until).await;
  };
  join(list_later(&restarted, &lister, "v2"), resume).await;
  assert!(caller.resumptions() > 0);
  caller.assert_one_version();
}

/// Guards against a caller's resumption at the version that was listed for the stream's engine, which had come back with another one.
#[rstest]
#[tokio::test]
async fn caller_does_not_resume_at_the_version_that_was_listed_for_an_engine_that_came_back(
  #[values(
    ResumedAt::SameBox,
    ResumedAt::OtherBox,
    ResumedAt::BoxWithoutConnections,
    ResumedAt::BoxThatHasJustStarted
  )]
  resumed_at: ResumedAt,
  #[values(When::BeforeEntry, When::AfterEntry)] when: When,
) {
  let sound = VersionedEngine::start("e-2", &["v1"]).await;
  let restarted = VersionedEngine::start("e-3", &["v1", "v2"]).await;
  let test = restarting_deployment(&[(&sound, "v1"), (&restarted, "v1")]).await;
  let lister = test.second_box("lister", test.store.address);
  let mut boxes = Boxes::start(test, resumed_at, &[&sound, &restarted]).await;
  restarted.restart().await;
  let until = Instant::now() + RESUMED;
  let listed = async {
    list_later(&restarted, &lister, "v2").await;
    restarted.set_slots(true);
  };
  let resume = async {
    let mut caller = begin_at(&restarted, &[&sound], &boxes.first).await;
    caller.disconnect();
    match when {
      When::BeforeEntry => restarted.set_slots(false),
      When::AfterEntry => wait_until_two_versions(&boxes.first).await,
    }
    let gateway = boxes.resuming().await;
    if when == When::AfterEntry {
      wait_until_two_versions(gateway).await;
    }
    caller.resume_until(gateway, until).await;
    caller
  };
  let ((), caller) = join(listed, resume).await;
  assert!(caller.versions().contains("v2"));
  assert!(caller.resumptions() > 0);
  caller.assert_one_version();
}

/// Guards against new streams that are rejected because an engine has just come back.
#[tokio::test]
async fn stream_begins_at_an_engine_that_has_just_come_back() {
  let engine =
    VersionedEngine::start_with("e-2", &["v1", "v2"], StartField::Nowhere, Beginning::Whole).await;
  let gateway = restarting_deployment(&[(&engine, "v1")])
    .await
    .start()
    .await;
  observe(&[&gateway], &[&engine]).await;
  engine.restart().await;
  let mut caller = ResumingCaller::begin(&gateway, "r1").await;
  caller.finish().await;
  caller.assert_whole();
}

/// Guards against streams that are lost because their engine, which lives on, ends some connections.
#[rstest]
#[tokio::test]
async fn stream_whose_engine_ends_its_connection_and_lives_on_is_whole(
  #[values(Beginning::Closed, Beginning::Reset)] beginning: Beginning,
  #[values(false, true)] is_observed: bool,
  #[values(1, 2)] engines: usize,
) {
  let mut all = Vec::new();
  for id in ["e-2", "e-3"].into_iter().take(engines) {
    let engine = VersionedEngine::start_with(id, &["v1"], StartField::Nowhere, beginning).await;
    all.push(engine);
  }
  let listed: Vec<_> = all.iter().map(|engine| (engine, "v1")).collect();
  let gateway = restarting_deployment(&listed).await.start().await;
  if is_observed {
    let all: Vec<_> = all.iter().collect();
    observe(&[&gateway], &all).await;
  }
  let until = Instant::now() + DEADLINE;
  let mut caller = ResumingCaller::begin(&gateway, "r1").await;
  caller.finish().await;
  caller.resume_until(&gateway, until).await;
  caller.assert_whole();
}

/// Guards against a stream that is aborted, or waits, although an engine was observed for long enough to continue it.
#[tokio::test]
async fn interrupted_stream_goes_on_at_once_at_an_engine_that_was_observed() {
  let first = VersionedEngine::start("e-2", &["v1"]).await;
  let second = VersionedEngine::start("e-3", &["v1"]).await;
  let test = restarting_deployment(&[(&first, "v1"), (&second, "v1")]).await;
  let gateway = test.start().await;
  observe(&[&gateway], &[&first, &second]).await;
  let mut caller = begin_at(&first, &[&second], &gateway).await;
  first.crash(FOR_GOOD).await;
  let interrupted_at = Instant::now();
  caller.finish().await;
  caller.assert_whole();
  assert!(interrupted_at.elapsed() < HEARTBEAT);
}

/// Guards against streams that are aborted, or rejected, because the store is away.
#[tokio::test]
async fn streams_go_on_at_engines_that_were_observed_before_the_store_was_away() {
  let first = VersionedEngine::start("e-2", &["v1"]).await;
  let second = VersionedEngine::start("e-3", &["v1"]).await;
  let test = restarting_deployment(&[(&first, "v1"), (&second, "v1")]).await;
  let proxy = StoreProxy::to(test.store.address).await;
  let gateway = test.second_box("north-1", proxy.address).start().await;
  observe(&[&gateway], &[&first, &second]).await;
  proxy.cut().await;
  let is_away = async || {
    run_at_each(&gateway, &[&first, &second]).await;
    gateway.ask("/missing/", "m").await.status != StatusCode::NOT_FOUND
  };
  assert!(eventually(TIMEOUT, is_away).await);
  let mut continued = begin_at(&first, &[&second], &gateway).await;
  first.crash(FOR_GOOD).await;
  continued.finish().await;
  continued.assert_whole();
}
