//! What endpoints answer to a request. Callers know it beforehand, so that a mixed or cut answer shows.

/// The fewest events of a stream.
const MIN_EVENTS: u64 = 4;
/// Streams differ in length by up to this many events.
const EVENT_SPREAD: u64 = 24;

/// The body of a request that ends each engine that runs it.
pub(crate) const CRASHING_BODY: &[u8] = b"no engine survives this";
/// The last part of its path.
pub(crate) const CRASHING_NAME: &str = "crashing";

/// The whole answer of a plain endpoint.
pub(crate) fn plain_response(id: &str) -> String {
  format!("answer to {id}\n").repeat(8)
}

/// How many events the stream of a request has.
pub(crate) fn event_count(id: &str) -> u64 {
  let sum: u64 = id.bytes().map(u64::from).sum();
  MIN_EVENTS + sum % EVENT_SPREAD
}

/// One event of a request's stream; events count from 1.
pub(crate) fn event(id: &str, number: u64) -> String {
  format!("id: {number}\ndata: {id} part {number}\n\n")
}

/// The whole stream of a request after an event.
pub(crate) fn stream_after(id: &str, last_event: u64) -> String {
  (last_event + 1..=event_count(id))
    .map(|number| event(id, number))
    .collect()
}
