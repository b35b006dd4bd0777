//! Finds another answer behind a response that ends with its connection: nothing else tells where the response's body ends.

use {
  crate::gateway::edge::PlatformCodec,
  http::{HeaderMap, HeaderName, HeaderValue},
  httparse::{EMPTY_HEADER, Header, Response, Status},
};

/// How the head of an answer begins.
const STATUS_LINE: &[u8] = b"HTTP/1.";
/// Header fields that the head of an answer may have.
const MAX_FIELDS: usize = 64;
/// The longest head that is recognised, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Where the head of an answer begins that names a request of the connection, of those that begin within the first `until` bytes. A
/// body may hold the head of another answer, but hardly of one of these.
pub(super) fn find_other_answer(
  codec: &dyn PlatformCodec,
  bytes: &[u8],
  until: usize,
  was_sent: impl Fn(&str) -> bool,
) -> Option<usize> {
  let mut positions = bytes.windows(STATUS_LINE.len()).take(until).enumerate();
  positions.find_map(|(at, window)| {
    let is_head = window == STATUS_LINE && names_request(codec, &bytes[at..], &was_sent);
    is_head.then_some(at)
  })
}

/// Whether bytes begin with the head of an answer to a request that was sent.
fn names_request(codec: &dyn PlatformCodec, bytes: &[u8], was_sent: impl Fn(&str) -> bool) -> bool {
  let mut fields = [EMPTY_HEADER; MAX_FIELDS];
  let mut head = Response::new(&mut fields);
  if !matches!(head.parse(bytes), Ok(Status::Complete(_))) {
    return false;
  }
  let headers: HeaderMap = head.headers.iter().filter_map(field).collect();
  let id = codec.response_attributes(&headers).request_id;
  id.is_some_and(|id| was_sent(&id))
}

fn field(header: &Header<'_>) -> Option<(HeaderName, HeaderValue)> {
  let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
  let value = HeaderValue::from_bytes(header.value).ok()?;
  Some((name, value))
}
