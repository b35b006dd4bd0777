//! The versions of engines whose entries name no start: at once where their reports name none, and after a while, or not at all, where
//! that is not known.

use {
  super::{
    resuming_caller::ResumingCaller,
    versioned_engine::{Beginning, FOR_GOOD, StartField, VersionedEngine},
    versions_of_restarted_engines::{begin_at, deployment, list_later, observe},
  },
  futures_util::future::join,
  http::StatusCode,
};

/// Guards against a stream that is aborted since its engine ended within a moment of the box's first connection to it.
#[tokio::test]
async fn stream_goes_on_at_another_engine_of_its_version_without_delay() {
  let ended = VersionedEngine::start("e-2", &["v1"]).await;
  let other = VersionedEngine::start("e-3", &["v2"]).await;
  let same = VersionedEngine::start("e-4", &["v1"]).await;
  let test = deployment(&[(&ended, "v1"), (&other, "v2"), (&same, "v1")]).await;
  let gateway = test.start().await;
  let mut caller = begin_at(&ended, &[&other, &same], &gateway).await;
  ended.crash(FOR_GOOD).await;
  caller.finish().await;
  caller.assert_whole();
}

/// Guards against a stream at an engine whose entry may be that of a former start, which its report would tell.
#[tokio::test]
async fn stream_begins_at_no_engine_whose_report_has_a_start_that_its_entry_lacks() {
  let versions = ["v1"];
  let lacking =
    VersionedEngine::start_with("e-2", &versions, StartField::InReport, Beginning::Whole).await;
  let sound = VersionedEngine::start("e-3", &versions).await;
  let test = deployment(&[(&lacking, "v1"), (&sound, "v1")]).await;
  let gateway = test.start().await;
  sound.set_slots(false);
  let response = gateway.ask("/resumable/a", "r1").await;
  assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
  assert!(!lacking.ran("r1"));
  sound.set_slots(true);
  ResumingCaller::begin(&gateway, "r2").await;
  assert!(sound.ran("r2"));
}

/// Guards against an engine that is taken for one that has an id for each start, although its report was never read.
#[tokio::test]
async fn version_of_an_engine_without_a_report_is_not_known_at_once() {
  let sound = VersionedEngine::start("e-2", &["v1"]).await;
  let versions = ["v1", "v2"];
  let restarted =
    VersionedEngine::start_with("e-3", &versions, StartField::NoReport, Beginning::Slow).await;
  let test = deployment(&[(&sound, "v1"), (&restarted, "v1")]).await;
  let gateway = test.start().await;
  observe(&[&gateway], &[&sound, &restarted]).await;
  restarted.restart().await;
  let run = async {
    let mut caller = begin_at(&restarted, &[&sound], &gateway).await;
    restarted.set_slots(false);
    restarted.crash(FOR_GOOD).await;
    caller.finish().await;
    caller
  };
  let ((), caller) = join(list_later(&restarted, &gateway.test, "v2"), run).await;
  assert!(caller.versions().contains("v2"));
  caller.assert_one_version();
}
