//! The bounded ring of a box's events, and the merge over boxes.

use {
  super::StampedEvent,
  serde::{Deserialize, Serialize},
  serde_json::json,
  std::{collections::VecDeque, sync::Mutex, sync::PoisonError},
};

const CAPACITY: usize = 8_192;
const MICROSECONDS_PER_MS: u64 = 1_000;
const PAGE: usize = 2_048;

#[derive(Debug, Default)]
struct Ring {
  first: u64,
  notes: VecDeque<StampedEvent>,
}

/// The events of one box, the oldest dropped first.
#[derive(Debug, Default)]
pub struct Timeline(Mutex<Ring>);

/// Events since a cursor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EventPage {
  /// The cursor to ask with next.
  pub next: u64,
  /// Events that were dropped before they could be read.
  pub lost: u64,
  /// The events.
  pub events: Vec<StampedEvent>,
}

impl Timeline {
  /// Adds an event.
  pub fn push(&self, note: StampedEvent) {
    let mut ring = self.0.lock().unwrap_or_else(PoisonError::into_inner);
    if ring.notes.len() == CAPACITY {
      ring.notes.pop_front();
      ring.first += 1;
    }
    ring.notes.push_back(note);
  }

  /// The events since a cursor; 0 is the beginning.
  pub fn since(&self, cursor: u64) -> EventPage {
    let ring = self.0.lock().unwrap_or_else(PoisonError::into_inner);
    let from = cursor.max(ring.first);
    let skip = usize::try_from(from - ring.first).unwrap_or(usize::MAX);
    let events = ring
      .notes
      .iter()
      .skip(skip)
      .take(PAGE)
      .cloned()
      .collect::<Vec<_>>();
    EventPage {
      lost: from - cursor,
      next: from + events.len() as u64,
      events,
    }
  }
}

/// Events of several boxes in one order in which cause stands before effect.
pub fn merge(pages: Vec<EventPage>) -> Vec<StampedEvent> {
  let mut events = pages
    .into_iter()
    .flat_map(|page| page.events)
    .collect::<Vec<_>>();
  events.sort_by(|a, b| (a.stamp, &a.box_name).cmp(&(b.stamp, &b.box_name)));
  events
}

/// Events as a Chrome trace: a row a box, an instant an event.
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
