//! The gateway's own calls to engines, as HTTP requests.

use {
  super::{outgoing_call::OutgoingCall, purpose::Purpose},
  crate::gateway::{
    connections::AddressedRequest,
    edge::{EndpointCall, EndpointEntry},
    state::Gateway,
  },
  http::{
    Request,
    header::{CONTENT_TYPE, HOST},
  },
  http_body_util::Full,
  std::time::Duration,
};

/// Timeout of a call to an engine, which answers calls without queueing them.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// The longest response to a call.
pub(super) const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// A call with an id that no other call has.
pub(super) fn build_call(
  gateway: &Gateway,
  entry: &EndpointEntry,
  call: EndpointCall,
  purpose: Purpose,
) -> http::Result<OutgoingCall> {
  let id = gateway.next_call_id();
  let mut request = Request::builder()
    .method(call.method)
    .uri(call.path)
    .header(HOST, entry.address.to_string());
  if !call.body.is_empty() {
    request = request.header(CONTENT_TYPE, "application/json");
  }
  let mut request = request.body(Full::new(call.body))?;
  gateway.codec.set_request_id(request.headers_mut(), &id);
  Ok(OutgoingCall {
    begins: None,
    id: Some(id),
    purpose,
    request: AddressedRequest::to_endpoint(&*gateway.codec, entry, request),
  })
}
