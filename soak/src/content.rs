//! Response contents, derived from the request id, so that callers detect mixed-up or truncated responses.

const MIN_EVENTS: u64 = 4;
/// Range of stream lengths above `MIN_EVENTS`.
const EVENT_SPREAD: u64 = 24;

/// Body of a request that crashes every engine that runs it.
pub(crate) const CRASHING_BODY: &[u8] = b"no engine survives this";
/// Last path segment of that request.
pub(crate) const CRASHING_NAME: &str = "crashing";

/// Complete response of a plain endpoint.
pub(crate) fn plain_response(id: &str) -> String {
  format!("answer to {id}\n").repeat(8)
}

/// Number of events in the stream of a request.
pub(crate) fn event_count(id: &str) -> u64 {
  let sum: u64 = id.bytes().map(u64::from).sum();
  MIN_EVENTS + sum % EVENT_SPREAD
}

/// One event of a request's stream, numbered from 1.
pub(crate) fn event(id: &str, number: u64) -> String {
  format!("id: {number}\ndata: {id} part {number}\n\n")
}

/// The events of a request's stream after `last_event`.
pub(crate) fn stream_after(id: &str, last_event: u64) -> String {
  (last_event + 1..=event_count(id))
    .map(|number| event(id, number))
    .collect()
}
