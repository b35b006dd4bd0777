//! Requests of the load balancer and the checks to a box, without a link.

use {
  bytes::Bytes,
  http::{StatusCode, request::Builder},
  http_body_util::Full,
  rillford::HttpClient,
  std::time::Duration,
  tokio::time::timeout,
};

/// Timeout of a readiness or configuration probe.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends a request on a new connection. Returns `None` if no response arrives in time.
pub(crate) async fn send_probe(request: Builder) -> Option<StatusCode> {
  let request = request.body(Full::<Bytes>::default()).ok()?;
  let client = HttpClient::default();
  let response = timeout(PROBE_TIMEOUT, client.send(request))
    .await
    .ok()?
    .ok()?;
  Some(response.status())
}
