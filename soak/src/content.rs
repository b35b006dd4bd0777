//! Response contents, derived from the request id, so that callers detect mixed-up or truncated responses.

use {
  super::writer::Writer,
  std::{collections::BTreeSet, fmt::Display},
};

const MIN_EVENTS: u64 = 4;
/// Range of stream lengths above `MIN_EVENTS`.
const EVENT_SPREAD: u64 = 24;
/// One stream in this many is long, so that it lasts through a silence of its engine, and its additional events.
const LONG_STREAMS: u64 = 3;
const LONG_STREAM_EVENTS: u64 = 60;

/// What precedes the number of events in a request id that tells it.
const EVENTS_MARK: &str = "-n";

/// Body of a request that crashes every engine that runs it.
pub(crate) const CRASHING_BODY: &[u8] = b"no engine survives this";
/// Last path segment of that request.
pub(crate) const CRASHING_NAME: &str = "crashing";
/// A prompt segment on which every engine crashes as it begins to answer.
pub(crate) const CRASHING_SEGMENT: &str = "crashing";
/// The segment that other prompts have in its place.
pub(crate) const SOUND_SEGMENT: &str = "sound";

/// Segments that long prompts have before the one that many share.
const LONG_PROMPT_SEGMENTS: usize = 40;

/// The segments of a prompt: one that all share, in long prompts further ones that all share, one that many share, and its own.
pub(crate) fn prompt_segments(is_long: bool, second: &str, id: &str) -> String {
  let further = if is_long { LONG_PROMPT_SEGMENTS } else { 0 };
  let further: String = (0..further)
    .map(|number| format!("all-{number}:1,"))
    .collect();
  format!("all:60,{further}{second}:30,{id}:10")
}

/// Whether a prompt has the segment on which engines crash.
pub(crate) fn has_crashing_segment(segments: &str) -> bool {
  let names = segments
    .split(',')
    .filter_map(|segment| segment.split_once(':'));
  names.into_iter().any(|(name, _)| name == CRASHING_SEGMENT)
}

/// Complete response of a plain endpoint.
pub(crate) fn plain_response(id: &str) -> String {
  format!("answer to {id}\n").repeat(8)
}

/// A request id that tells the number of the stream's events.
pub(crate) fn id_with_events(id: &str, events: u64) -> String {
  format!("{id}{EVENTS_MARK}{events}")
}

/// Number of events in the stream of a request.
pub(crate) fn event_count(id: &str) -> u64 {
  let told = id.split_once(EVENTS_MARK);
  if let Some(events) = told.and_then(|(_, events)| events.parse().ok()) {
    return events;
  }
  let sum: u64 = id.bytes().map(u64::from).sum();
  let is_long = (sum / EVENT_SPREAD).is_multiple_of(LONG_STREAMS);
  let long_events = if is_long { LONG_STREAM_EVENTS } else { 0 };
  MIN_EVENTS + sum % EVENT_SPREAD + long_events
}

/// One event of a stream, numbered from 1, with the run that wrote it.
pub(crate) fn event(id: &str, number: u64, writer: impl Display) -> String {
  format!("id: {number}\ndata: {id} part {number} by {writer}.\n\n")
}

/// The events of a stream after `last_event`, without writers.
pub(crate) fn stream_after(id: &str, last_event: u64) -> String {
  (last_event + 1..=event_count(id))
    .map(|number| without_writers(&event(id, number, "")))
    .collect()
}

/// A stream without the writers in its events. One that ends within an event's writer ends before it.
pub(crate) fn without_writers(body: &str) -> String {
  let ends = [" by", " b", " "];
  let partial = ends.into_iter().find_map(|end| body.strip_suffix(end));
  let mut parts = partial.unwrap_or(body).split(" by ");
  let mut text = parts.next().unwrap_or_default().to_string();
  for part in parts {
    text.push_str(part.split_once('.').map_or("", |(_, rest)| rest));
  }
  text
}

/// The versions in the complete events of a stream.
pub(crate) fn versions(body: &str) -> BTreeSet<&str> {
  let parts = body.split(" by ").skip(1);
  parts
    .filter_map(|part| part.split_once('.'))
    .filter_map(|(writer, _)| writer.split(' ').next())
    .collect()
}

/// An event that a caller received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ReceivedEvent<'a> {
  pub(crate) id: u64,
  /// `None` if the event does not name it.
  pub(crate) writer: Option<Writer<'a>>,
}

/// The complete events of a stream that have an id, in the order of receipt.
pub(crate) fn events(body: &str) -> Vec<ReceivedEvent<'_>> {
  let Some((complete, _)) = body.rsplit_once("\n\n") else {
    return Vec::new();
  };
  complete.split("\n\n").filter_map(parse_event).collect()
}

fn parse_event(event: &str) -> Option<ReceivedEvent<'_>> {
  // A blank line with carriage returns ends what is before it.
  let event = event.rsplit("\r\n\r\n").next().unwrap_or(event);
  let (id, data) = event.strip_prefix("id: ")?.split_once('\n')?;
  let writer = data.rsplit_once(" by ").map(|(_, writer)| writer);
  Some(ReceivedEvent {
    id: id.parse().ok()?,
    writer: writer.and_then(Writer::parse),
  })
}

/// The id of the last complete event of a stream; `None` when there is none.
pub(crate) fn last_event(body: &str) -> Option<u64> {
  events(body).last().map(|event| event.id)
}
