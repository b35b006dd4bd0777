//! What the balancer and the checks ask a box, past all links.

use {
  bytes::Bytes,
  http::{StatusCode, request::Builder},
  http_body_util::Full,
  rillford::HttpClient,
  std::time::Duration,
  tokio::time::timeout,
};

/// How long a box has to say whether it is ready, or has a version.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends a question on a connection of its own; nothing when no answer comes in time.
pub(crate) async fn ask(request: Builder) -> Option<StatusCode> {
  let request = request.body(Full::<Bytes>::default()).ok()?;
  let client = HttpClient::default();
  let response = timeout(PROBE_TIMEOUT, client.send(request))
    .await
    .ok()?
    .ok()?;
  Some(response.status())
}
