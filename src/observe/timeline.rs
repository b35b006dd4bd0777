//! A bounded buffer of a box's events, and merging the events of several boxes.

use {
  super::StampedEvent,
  serde::{Deserialize, Serialize},
  serde_json::json,
  std::{collections::VecDeque, sync::Mutex, sync::PoisonError},
};

const CAPACITY: usize = 8_192;
const MICROSECONDS_PER_MS: u64 = 1_000;
const PAGE_EVENTS: usize = 2_048;

#[derive(Debug, Default)]
struct Buffer {
  /// Sequence number of the oldest event.
  first: u64,
  events: VecDeque<StampedEvent>,
}

/// The latest events of one box; the oldest are dropped.
#[derive(Debug, Default)]
pub struct Timeline(Mutex<Buffer>);

/// A page of events after a cursor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EventPage {
  /// The cursor for the next page.
  pub next: u64,
  /// Events that were dropped before they could be read.
  pub lost: u64,
  /// The events.
  pub events: Vec<StampedEvent>,
}

impl Timeline {
  /// Adds an event.
  pub fn push(&self, event: StampedEvent) {
    let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
    if buffer.events.len() == CAPACITY {
      buffer.events.pop_front();
      buffer.first += 1;
    }
    buffer.events.push_back(event);
  }

  /// A page of events after a cursor; 0 is the beginning.
  pub fn since(&self, cursor: u64) -> EventPage {
    let buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
    let from = cursor.max(buffer.first);
    let skip = usize::try_from(from - buffer.first).unwrap_or(usize::MAX);
    let events = buffer
      .events
      .iter()
      .skip(skip)
      .take(PAGE_EVENTS)
      .cloned()
      .collect::<Vec<_>>();
    EventPage {
      lost: from - cursor,
      next: from + events.len() as u64,
      events,
    }
  }
}

/// Merges the events of several boxes in causal order.
pub fn merge(pages: Vec<EventPage>) -> Vec<StampedEvent> {
  let mut events = pages
    .into_iter()
    .flat_map(|page| page.events)
    .collect::<Vec<_>>();
  events.sort_by(|a, b| (a.stamp, &a.box_name).cmp(&(b.stamp, &b.box_name)));
  events
}

/// Converts events to a Chrome trace, with a row per box and an instant per event.
pub fn chrome_trace(events: &[StampedEvent]) -> serde_json::Value {
  let rows = events
    .iter()
    .map(|event| {
      json!({
        "args": { "detail": event.detail, "number": event.number, "subject": event.subject },
        "name": format!("{:?}", event.kind),
        "ph": "i",
        "pid": event.box_name,
        "s": "p",
        "tid": event.subject,
        "ts": event.stamp.unix_ms() * MICROSECONDS_PER_MS,
      })
    })
    .collect::<Vec<_>>();
  json!({ "displayTimeUnit": "ms", "traceEvents": rows })
}
