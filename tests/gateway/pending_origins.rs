//! Streams that callers resume at another box than the one that began them, before the version of the engine's process is known.

use {
  super::{
    GatewayBox, GatewayTest,
    resuming_caller::ResumingCaller,
    versioned_engine::{Beginning, FOR_GOOD, StartField, VersionedEngine},
    versions_of_restarted_engines::{
      begin_at, list_later, restarting_deployment, wait_until_two_boxes, wait_until_two_versions,
    },
  },
  futures_util::future::join,
  rstest::rstest,
  std::time::{Duration, Instant},
  tokio::time::sleep,
};

/// From the first events until the box that began the stream is gone, and the caller returns.
const RETURN_DELAY: Duration = Duration::from_millis(40);
/// For how long a caller resumes its stream.
const RESUMED: Duration = Duration::from_millis(6_000);
/// Until a box that has joined has heard from the others.
const JOINED: Duration = Duration::from_millis(700);

/// What becomes of the box that began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FirstBox {
  Lives,
  Killed,
}

/// The versions that boxes know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Versions {
  One,
  Two,
}

/// Two boxes, whose store outlives both.
struct TwoBoxes {
  store: GatewayTest,
  first: Option<GatewayBox>,
  second: Option<GatewayBox>,
}

impl TwoBoxes {
  async fn start(test: GatewayTest) -> Self {
    let mut boxes = Self::start_first(test).await;
    boxes.start_second().await;
    boxes
  }

  async fn start_first(test: GatewayTest) -> Self {
    let first = test.second_box("north-1", test.store.address);
    Self {
      first: Some(first.start().await),
      second: None,
      store: test,
    }
  }

  async fn start_second(&mut self) {
    let second = self.store.second_box("north-2", self.store.store.address);
    let second = second.start().await;
    wait_until_two_boxes(&[self.first(), &second]).await;
    self.second = Some(second);
  }

  fn first(&self) -> &GatewayBox {
    self.first.as_ref().unwrap()
  }

  fn second(&self) -> &GatewayBox {
    self.second.as_ref().unwrap()
  }

  /// The caller loses the first box, which may be killed.
  async fn leave_first(&mut self, caller: &mut ResumingCaller, first: FirstBox) {
    sleep(RETURN_DELAY).await;
    caller.disconnect();
    if first == FirstBox::Killed {
      self.first = None;
    }
  }
}

/// Guards against a stream that is rejected because the box that began it was killed before it knew the engine's version.
#[rstest]
#[tokio::test]
async fn stream_goes_on_at_another_box_while_its_engine_runs(
  #[values(FirstBox::Lives, FirstBox::Killed)] first: FirstBox,
  #[values(Versions::One, Versions::Two)] versions: Versions,
) {
  let engine = VersionedEngine::start("e-2", &["v1"]).await;
  let other = VersionedEngine::start("e-3", &["v2"]).await;
  let test = restarting_deployment(&[(&engine, "v1")]).await;
  if versions == Versions::Two {
    other.list(&test, "v2");
  }
  let mut boxes = TwoBoxes::start(test).await;
  if versions == Versions::Two {
    wait_until_two_versions(boxes.first()).await;
    wait_until_two_versions(boxes.second()).await;
  }
  let mut caller = begin_at(&engine, &[&other], boxes.first()).await;
  boxes.leave_first(&mut caller, first).await;
  let until = Instant::now() + RESUMED;
  caller.resume_until(boxes.second(), until).await;
  assert!(caller.resumptions() > 0);
  caller.assert_whole();
}

/// Guards against a stream that goes on at the only version that is known, after its engine came back with another one and the box
/// that began it was killed.
#[rstest]
#[case::engine_lives(false)]
#[case::engine_crashes(true)]
#[tokio::test]
async fn stream_does_not_go_on_at_the_only_version_known_after_its_box_was_killed(
  #[case] crashes: bool,
) {
  let sound = VersionedEngine::start("e-2", &["v1"]).await;
  let versions = ["v1", "v2"];
  let restarted =
    VersionedEngine::start_with("e-3", &versions, StartField::Nowhere, Beginning::Slow).await;
  let test = restarting_deployment(&[(&sound, "v1"), (&restarted, "v1")]).await;
  let lister = test.second_box("lister", test.store.address);
  let mut boxes = TwoBoxes::start(test).await;
  restarted.restart().await;
  let until = Instant::now() + RESUMED;
  let resume = async {
    let mut caller = begin_at(&restarted, &[&sound], boxes.first()).await;
    boxes.leave_first(&mut caller, FirstBox::Killed).await;
    if crashes {
      restarted.crash(FOR_GOOD).await;
    }
    caller.resume_until(boxes.second(), until).await;
    caller
  };
  let listed = async {
    if !crashes {
      list_later(&restarted, &lister, "v2").await;
    }
  };
  let ((), caller) = join(listed, resume).await;
  assert!(caller.versions().contains("v2"));
  assert!(caller.resumptions() > 0);
  caller.assert_one_version();
}

/// Guards against a stream that is rejected because the other boxes have started after it began, and its box was killed.
#[tokio::test]
async fn stream_goes_on_at_a_box_that_has_joined_since() {
  let engine = VersionedEngine::start("e-2", &["v1"]).await;
  let other = VersionedEngine::start("e-3", &["v2"]).await;
  let test = restarting_deployment(&[(&engine, "v1"), (&other, "v2")]).await;
  let mut boxes = TwoBoxes::start_first(test).await;
  wait_until_two_versions(boxes.first()).await;
  let mut caller = begin_at(&engine, &[&other], boxes.first()).await;
  boxes.start_second().await;
  sleep(JOINED).await;
  boxes.leave_first(&mut caller, FirstBox::Killed).await;
  let until = Instant::now() + RESUMED;
  caller.resume_until(boxes.second(), until).await;
  caller.assert_whole();
}
