//! The headers by which boxes forward requests to each other. They are removed before a message leaves the boxes.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// Path prefix of forwarded requests on the port for other boxes. A box without this feature answers it with 404.
pub(crate) const FORWARD_PATH: &str = "/forward";
/// The box that forwards a request.
pub(super) const FORWARDED_BY: HeaderName = HeaderName::from_static("rillford-forwarded-by");
/// Milliseconds until the request's deadline.
pub(super) const REMAINING_MS: HeaderName = HeaderName::from_static("rillford-remaining-ms");
/// The version of the configuration by which it was routed.
pub(super) const CONFIGURATION: HeaderName = HeaderName::from_static("rillford-configuration");
/// On a response: whether the request was accepted.
pub(super) const ACCEPTED: HeaderName = HeaderName::from_static("rillford-accepted");
/// On a response: the incarnation and the id of the endpoint that answered.
pub(super) const ENDPOINT: HeaderName = HeaderName::from_static("rillford-endpoint");

/// On a response to a request that was not accepted: the reason, for logs.
pub(super) const DECLINED: HeaderName = HeaderName::from_static("rillford-declined");

/// Status of a box that accepts no forwarded requests for now.
pub(super) const DECLINED_FOR_NOW: StatusCode = StatusCode::MISDIRECTED_REQUEST;
/// Status of a box that reaches endpoints, and has too many forwarded requests in flight.
pub(super) const BUSY: StatusCode = StatusCode::TOO_MANY_REQUESTS;

/// Removes all of them.
pub(super) fn remove_forwarding_headers(headers: &mut HeaderMap) {
  for name in [
    ACCEPTED,
    CONFIGURATION,
    DECLINED,
    ENDPOINT,
    FORWARDED_BY,
    REMAINING_MS,
  ] {
    headers.remove(name);
  }
}

/// Sets a header; a value that is no header text is left out.
pub(super) fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
  match HeaderValue::from_str(value) {
    Ok(value) => {
      headers.insert(name, value);
    }
    Err(error) => log::warn!("E701 header left out: {name}: {error}"),
  }
}

/// A header as text; empty when it is missing.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
  let value = headers.get(name).and_then(|value| value.to_str().ok());
  value.unwrap_or_default()
}
