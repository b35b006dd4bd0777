//! The order of a stream's events by their ids, across the engines that generate it.

use super::event_splitter::SseEvent;

/// Steps of one between ids after which a larger one, where another engine goes on, means that events are missing.
const MIN_SINGLE_STEPS: u32 = 2;

/// Where an event belongs that continues a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventPlace {
  /// After all events that were forwarded.
  Next,
  /// Before an event that was forwarded.
  Repeated,
}

/// Why an event can't be forwarded to a caller that is to get each event once and in order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum Misplaced {
  /// Its engine left events out.
  #[error("events between {after} and {id} are missing")]
  Gap {
    /// The last event that was forwarded.
    after: u64,
    /// The event.
    id: u64,
  },
  /// Its engine has sent a later one before.
  #[error("event {id} came after event {after}")]
  GoesBack {
    /// The last event that was forwarded.
    after: u64,
    /// The event.
    id: u64,
  },
  /// Nothing tells whether the caller has it already.
  #[error("event without an id in a stream that goes on after event {after}")]
  WithoutId {
    /// The last event that was forwarded.
    after: u64,
  },
}

/// Where the current answer goes on, until it brings its first new event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Start {
  /// It has brought one, or begins the stream.
  Passed,
  /// After the event that the caller names.
  NamedByCaller(u64),
  /// After the last event that was forwarded, at another engine.
  AfterInterruption(u64),
}

/// The order of a stream's events.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventOrder {
  /// Whether the stream may be resumed, so that ids have to rise.
  is_resumable: bool,
  last_id: Option<u64>,
  start: Start,
  /// Ids that were one more than the one before.
  single_steps: u32,
  /// Whether an id was more than one more than the one before: ids do not count events.
  has_larger_steps: bool,
  /// Whether an event without an id was forwarded after the last id.
  ends_without_id: bool,
}

impl EventOrder {
  /// The order of a stream that goes on after an event which the caller names, if any.
  pub(super) fn new(last_id: Option<u64>, is_resumable: bool) -> Self {
    Self {
      ends_without_id: false,
      has_larger_steps: false,
      is_resumable,
      last_id,
      single_steps: 0,
      start: last_id.map_or(Start::Passed, Start::NamedByCaller),
    }
  }

  /// Whether another engine can go on with the stream: no event was forwarded that it would repeat.
  pub(super) fn may_go_on(&self) -> bool {
    !self.ends_without_id
  }

  /// Another engine goes on with the stream.
  pub(super) fn record_interruption(&mut self) {
    self.start = self.last_id.map_or(Start::Passed, Start::AfterInterruption);
  }

  /// Where an event belongs; one that is next counts as forwarded. Fails when its engine left others out, goes back, or does not tell
  /// where the event belongs.
  pub(super) fn place(&mut self, event: &SseEvent) -> Result<EventPlace, Misplaced> {
    let Some(id) = event.id else {
      return self.place_without_id(event);
    };
    match self.start {
      Start::NamedByCaller(after) | Start::AfterInterruption(after) if id <= after => {
        return Ok(EventPlace::Repeated);
      }
      Start::AfterInterruption(after) if id > after + 1 && self.counts_events() => {
        return Err(Misplaced::Gap { after, id });
      }
      _ => {}
    }
    if let Some(after) = self.last_id {
      if id <= after && self.is_resumable {
        return Err(Misplaced::GoesBack { after, id });
      }
      self.record_step(id, after);
    }
    self.ends_without_id = false;
    self.last_id = Some(id);
    self.start = Start::Passed;
    Ok(EventPlace::Next)
  }

  fn place_without_id(&mut self, event: &SseEvent) -> Result<EventPlace, Misplaced> {
    if !event.has_data() {
      return Ok(EventPlace::Next);
    }
    if let Start::AfterInterruption(after) = self.start {
      return Err(Misplaced::WithoutId { after });
    }
    self.ends_without_id = true;
    Ok(EventPlace::Next)
  }

  fn record_step(&mut self, id: u64, after: u64) {
    if id.checked_sub(after) == Some(1) {
      self.single_steps = self.single_steps.saturating_add(1);
    } else {
      self.has_larger_steps = true;
    }
  }

  /// Whether ids count events, as far as they show.
  fn counts_events(&self) -> bool {
    self.single_steps >= MIN_SINGLE_STEPS && !self.has_larger_steps
  }
}
