//! Streams that callers resume at a box that knows one version of the service, and learns of another one before the stream goes on.

use {
  super::{
    versioned_engine::{Beginning, StartField, VersionedEngine},
    versions_of_restarted_engines::{begin_at, list_later, restarting_deployment},
  },
  futures_util::future::join,
  std::time::{Duration, Instant},
};

/// For how long a caller resumes its stream.
const RESUMED: Duration = Duration::from_millis(6_000);

/// Guards against a stream that goes on at the only version that a box knew, although another one was listed while it waited for an
/// engine.
#[tokio::test]
async fn stream_does_not_go_on_at_an_assumed_version_once_another_one_is_listed() {
  let sound = VersionedEngine::start("e-2", &["v1"]).await;
  let versions = ["v1", "v2"];
  let restarted =
    VersionedEngine::start_with("e-3", &versions, StartField::Nowhere, Beginning::Slow).await;
  let test = restarting_deployment(&[(&sound, "v1"), (&restarted, "v1")]).await;
  let lister = test.second_box("lister", test.store.address);
  let first = test.second_box("north-1", test.store.address);
  let first = first.start().await;
  restarted.restart().await;
  let mut caller = begin_at(&restarted, &[&sound], &first).await;
  caller.disconnect();
  drop(first);
  let second = test.second_box("north-2", test.store.address);
  let second = second.start().await;
  let until = Instant::now() + RESUMED;
  let listed = list_later(&restarted, &lister, "v2");
  join(listed, caller.resume_until(&second, until)).await;
  assert!(caller.versions().contains("v2"));
  assert!(caller.resumptions() > 0);
  caller.assert_one_version();
}
