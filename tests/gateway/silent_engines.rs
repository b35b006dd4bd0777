//! Sound engines that fall silent for a second or so and go on: a stream is kept at its engine until another one has answered it.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::{STREAM_END, engine_reply},
    harness::CallerResponse,
  },
  emulator::eventually,
  http::StatusCode,
  rstest::rstest,
  std::{
    collections::HashSet,
    ops::RangeInclusive,
    sync::{Arc, Mutex},
    time::Duration,
  },
};

/// Events of a whole stream.
const EVENTS: u64 = 4;
/// Much longer than a stream takes, so that none ends by its route's timeout.
const ROUTE_TIMEOUT_MS: u64 = 25_000;
/// More retries than any test needs.
const ROOMY_RETRY_SLACK: f64 = 600.0;

/// Where an engine pauses within its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
  AfterEvent,
}

/// What an engine does with a stream that another engine has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Other {
  /// Closes the connection without a response.
  Closes,
  /// Answers with a server error.
  Fails,
  /// States that it did not run the stream.
  Rejects,
  /// Never answers.
  Silent,
}

impl Other {
  fn reply(self, seen: &ReceivedRequest) -> Reply {
    match self {
      Self::Closes => Reply::WriteAndClose(String::new()),
      Self::Fails => Reply::status(seen, "500 Internal Server Error", ""),
      Self::Rejects => Reply::not_run(seen),
      Self::Silent => Reply::NoResponse,
    }
  }
}

fn is_stream(seen: &ReceivedRequest) -> bool {
  seen.path.starts_with("/resumable/") && !seen.is_prefill()
}

fn events(ids: RangeInclusive<u64>) -> String {
  ids.map(|id| format!("id: {id}\ndata: e{id}\n\n")).collect()
}

/// The body of a whole stream.
fn whole() -> String {
  events(1..=EVENTS)
}

/// A whole stream with a pause.
fn paused_stream(seen: &ReceivedRequest, place: Place, pause: Duration) -> Reply {
  let head = Reply::stream_head(seen);
  let chunk = |ids| Reply::stream_chunk(&events(ids));
  let (first, rest) = match place {
    Place::AfterEvent => (head + chunk(1..=2).as_str(), chunk(3..=EVENTS)),
  };
  Reply::WriteInParts(vec![(Duration::ZERO, first), (pause, rest + STREAM_END)])
}

/// The streams that any engine has begun.
#[derive(Clone, Default)]
struct BegunStreams(Arc<Mutex<HashSet<String>>>);

impl BegunStreams {
  /// Whether a stream is new, which it is once.
  fn begin(&self, seen: &ReceivedRequest) -> bool {
    self.0.lock().unwrap().insert(seen.id().into())
  }
}

/// A script for engines of which the first one that a stream is sent to begins it.
fn scripted(
  begun: &BegunStreams,
  begin: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
  other: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
  let begun = begun.clone();
  move |seen| {
    if !is_stream(seen) {
      engine_reply(seen, "")
    } else if begun.begin(seen) {
      begin(seen)
    } else {
      other(seen)
    }
  }
}

/// A test in which neither the retry budget nor a route's timeout ends a stream.
async fn roomy_test() -> GatewayTest {
  let mut test = GatewayTest::new().await.configure(|configuration| {
    configuration["routes"][3]["timeoutMs"] = ROUTE_TIMEOUT_MS.into();
  });
  test.retry_slack = ROOMY_RETRY_SLACK;
  test
}

/// A box with a prefill engine and decode engines of one script.
struct EngineFleet {
  gateway: GatewayBox,
  engines: Vec<EndpointStandIn>,
  _prefill: EndpointStandIn,
}

impl EngineFleet {
  async fn start<S>(test: GatewayTest, versions: &[&str], script: impl Fn() -> S) -> Self
  where
    S: Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
  {
    Self::start_with(test, EndpointStandIn::engine("").await, versions, script).await
  }

  async fn start_with<S>(
    test: GatewayTest,
    prefill: EndpointStandIn,
    versions: &[&str],
    script: impl Fn() -> S,
  ) -> Self
  where
    S: Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
  {
    test.enter("e-1", "llm", Some("prefill"), &prefill);
    let mut engines = Vec::new();
    for (number, version) in (2..).zip(versions) {
      let engine = EndpointStandIn::start(script()).await;
      test.enter_version(&format!("e-{number}"), &engine, version);
      engines.push(engine);
    }
    Self {
      _prefill: prefill,
      engines,
      gateway: test.start().await,
    }
  }

  async fn ask(&self) -> CallerResponse {
    self.gateway.ask("/resumable/a", "r1").await
  }

  /// How often engines were sent a stream.
  fn sends(&self) -> usize {
    self.engines.iter().map(|one| one.requests().len()).sum()
  }
}

fn assert_whole(response: CallerResponse) {
  assert_eq!(response.status, StatusCode::OK);
  assert_eq!(response.body.unwrap(), whole());
}

/// Guards against a silent engine that is given up for one that does not take its stream over.
#[rstest]
#[case::rejects(Other::Rejects, 1_900)]
#[case::is_silent(Other::Silent, 1_900)]
#[case::is_silent_for_longer(Other::Silent, 2_500)]
#[case::closes_the_connection(Other::Closes, 1_900)]
#[case::fails(Other::Fails, 1_900)]
#[tokio::test]
async fn silent_engine_is_kept_when_another_one(#[case] other: Other, #[case] pause_ms: u64) {
  let begun = BegunStreams::default();
  let pause = Duration::from_millis(pause_ms);
  let script = || {
    scripted(
      &begun,
      move |seen| paused_stream(seen, Place::AfterEvent, pause),
      move |seen| other.reply(seen),
    )
  };
  let fleet = EngineFleet::start(roomy_test().await, &["v1", "v1"], script).await;
  assert_whole(fleet.ask().await);
}

/// Guards against a silent engine that is given up for one of another version.
#[tokio::test]
async fn silent_engine_is_kept_when_all_others_are_of_another_version() {
  let begun = BegunStreams::default();
  let pause = Duration::from_millis(1_900);
  let script = || {
    scripted(
      &begun,
      move |seen| paused_stream(seen, Place::AfterEvent, pause),
      Reply::not_run,
    )
  };
  let fleet = EngineFleet::start(roomy_test().await, &["v1", "v2"], script).await;
  assert_whole(fleet.ask().await);
  assert_eq!(fleet.sends(), 1);
}

/// Guards against a silent engine that is given up while the prompt is prefilled for another one, and against slots that are kept
/// when it goes on.
#[tokio::test]
async fn silent_engine_goes_on_before_the_prompt_is_prefilled_for_another_one() {
  let begun = BegunStreams::default();
  let pause = Duration::from_millis(1_650);
  let prefills = BegunStreams::default();
  let prefill = EndpointStandIn::start(move |seen| match prefills.begin(seen) {
    true => engine_reply(seen, ""),
    false => Reply::NoResponse,
  })
  .await;
  let script = || {
    scripted(
      &begun,
      move |seen| paused_stream(seen, Place::AfterEvent, pause),
      Reply::not_run,
    )
  };
  let fleet = EngineFleet::start_with(roomy_test().await, prefill, &["v1", "v1"], script).await;
  assert_whole(fleet.ask().await);
  assert_eq!(fleet.sends(), 1);
  let has_call = |one: &EndpointStandIn, path: &str| {
    let calls = one.received();
    calls.iter().any(|seen| seen.path.starts_with(path))
  };
  let released = async || {
    let mut granting = fleet.engines.iter().filter(|one| one.requests().is_empty());
    granting.all(|one| !has_call(one, "/hold-take") || has_call(one, "/hold-drop/"))
  };
  assert!(eventually(TIMEOUT, released).await);
}
