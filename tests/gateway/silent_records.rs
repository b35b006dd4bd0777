//! Resumptions of streams whose record is at a box that does not answer in time: one that stands still is not down.

use {
  super::{
    EndpointStandIn, GatewayTest, TIMEOUT,
    versions::{EVENTS, begins_and_resumes, resume, wait_until_recorded},
  },
  emulator::eventually,
  http::StatusCode,
  rstest::rstest,
};

/// Guards against a stream that goes on at the only version that is listed, because the box that began it at another one stands still
/// for longer than a lookup waits.
#[rstest]
#[case::former_version_is_gone(true, StatusCode::SERVICE_UNAVAILABLE)]
#[case::only_version(false, StatusCode::OK)]
#[tokio::test]
async fn stream_does_not_go_on_at_another_version_where_the_box_that_began_it_stands_still(
  #[case] is_replaced: bool,
  #[case] status: StatusCode,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let first = EndpointStandIn::start(begins_and_resumes).await;
  test.enter_version("e-2", &first, "v1");
  let other = test.second_box("north-2", test.store.address);
  let began = test.start().await;
  began.ask_in_background("/resumable/a", "r0");
  let records = async || began.metric("rillford_stream_records").await == 1.0;
  assert!(eventually(TIMEOUT, records).await);
  wait_until_recorded(&began, 1).await;
  began.signal(libc::SIGSTOP);
  let second = EndpointStandIn::start(begins_and_resumes).await;
  if is_replaced {
    let test = &began.test;
    test.enter_version("e-3", &second, "v2");
    test.enter_engine_version("e-1", "prefill", &prefill, "v2");
    test.store.remove("servers/e-2");
  }
  let other = other.start().await;
  let lists_both = async || other.metric("rillford_boxes").await == 2.0;
  assert!(eventually(TIMEOUT, lists_both).await);
  assert_eq!(resume(&other, "again", "r0").await.status, status);
  assert!(second.requests().iter().all(|seen| seen.id() != "again"));
}
