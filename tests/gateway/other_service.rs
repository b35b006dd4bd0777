//! An endpoint of another service, at an address that an endpoint or a box had before. It runs each request that has an id and names no
//! other endpoint.

use super::{EndpointStandIn, ReceivedRequest, Reply};

/// The id of the endpoint.
const ID: &str = "other-1";

/// What it does with a request.
pub(super) fn other_service_reply(seen: &ReceivedRequest) -> Reply {
  if names_another(seen) {
    return Reply::Write(format!(
      "HTTP/1.1 421 Misdirected Request\r\nx-request-id: {}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
      seen.id()
    ));
  }
  if seen.id().is_empty() {
    return Reply::Write(
      "HTTP/1.1 400 Bad Request\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n".into(),
    );
  }
  Reply::ok(seen, "the answer of another service")
}

fn names_another(seen: &ReceivedRequest) -> bool {
  let expected = seen.header("x-expect-instance");
  !expected.is_empty() && expected != ID
}

/// The requests that it has run, as text.
pub(super) fn ran(endpoint: &EndpointStandIn) -> Vec<String> {
  let received = endpoint.received().into_iter();
  let has_run = |seen: &ReceivedRequest| !names_another(seen) && !seen.id().is_empty();
  let text = |seen: ReceivedRequest| format!("{} {} {}", seen.method, seen.path, seen.id());
  received.filter(has_run).map(text).collect()
}
