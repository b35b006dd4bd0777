//! The version of a stream whose engine falls silent before the first event, and then goes on.

use {
  super::{
    versioned_engine::{Beginning, FOR_GOOD, StartField, VersionedEngine},
    versions_of_restarted_engines::{begin_at, deployment, observe, wait_until_two_versions},
  },
  rstest::rstest,
};

/// Guards against a stream that goes on at any version, since a takeover that came to nothing has forgotten which process began it.
#[rstest]
#[tokio::test]
async fn stream_of_an_engine_that_was_silent_at_first_goes_on_at_no_other_version(
  #[values(false, true)] has_unnamed_restarts: bool,
) {
  let other = VersionedEngine::start("e-2", &["v1"]).await;
  let late =
    VersionedEngine::start_with("e-3", &["v2"], StartField::Nowhere, Beginning::LateFirst).await;
  let mut test = deployment(&[(&other, "v1")]).await;
  if has_unnamed_restarts {
    test = test.with_unnamed_restarts();
  }
  let gateway = test.start().await;
  observe(&[&gateway], &[&other]).await;
  late.list(&gateway.test, "v2");
  wait_until_two_versions(&gateway).await;
  // The takeover finds no slot at the other engine.
  let mut caller = begin_at(&late, &[&other], &gateway).await;
  late.crash(FOR_GOOD).await;
  caller.finish().await;
  assert!(caller.versions().contains("v2"));
  caller.assert_one_version();
}
