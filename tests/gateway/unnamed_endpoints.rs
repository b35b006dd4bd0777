//! Endpoints that no header can name. Another one at their address would not reject what is meant for them.

use {
  super::{EndpointStandIn, GatewayTest, Reply},
  rstest::rstest,
};

/// Requests of one test.
const REQUESTS: usize = 6;

/// Guards against requests that name no endpoint because its id is no header's value.
#[rstest]
#[case::empty("")]
#[case::blank(" ")]
#[case::control_character("p-\u{1}")]
#[tokio::test]
async fn endpoint_that_no_header_can_name_gets_no_requests(#[case] id: &str) {
  let unnamed = EndpointStandIn::start(|seen| Reply::ok(seen, "ok")).await;
  let named = EndpointStandIn::start(|seen| Reply::ok(seen, "ok")).await;
  let test = GatewayTest::new().await;
  test.enter(id, "portal", None, &unnamed);
  test.enter("p-2", "portal", None, &named);
  let gateway = test.start().await;
  for number in 0..REQUESTS {
    gateway.ask("/safe/a", &format!("r{number}")).await;
  }
  assert_eq!(unnamed.received().len(), 0);
  assert_eq!(named.received().len(), REQUESTS);
}
