//! The order of a stream's events by their ids, across the engines that generate it.

use {
  super::event_splitter::SseEvent,
  crate::{
    gateway::decisions::{IdSteps, Numbering, StreamIds},
    ids::Name,
  },
  std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
    ops::RangeInclusive,
  },
};

/// The ids of a first event behind bytes that may stand in the place of others. Ids that count events begin with 0 or 1; higher ones
/// begin elsewhere.
const HIDING_FIRST_IDS: RangeInclusive<u64> = HIGHEST_FIRST_ID + 1..=16;
/// The highest id with which ids that count events begin.
const HIGHEST_FIRST_ID: u64 = 1;
/// The longest name of an ignored field that is remembered.
const MAX_FIELD_NAME_BYTES: usize = 64;
/// Steps of one between ids after which a larger one means that events are missing.
const MIN_SINGLE_STEPS: u32 = 2;

/// Where an event belongs that continues a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventPlace {
  /// After all events that were forwarded.
  Next,
  /// Before an event that was forwarded, or it is the last one once more.
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
  /// The field of its id has another name.
  #[error("event whose id has another name, after event {after}")]
  RenamedId {
    /// The last event that was forwarded.
    after: u64,
  },
  /// All events of other streams have one.
  #[error("event without an id, which all events of other streams have")]
  LacksId,
  /// All events of other streams with an id have some.
  #[error("event {id} without data, which all events of other streams have")]
  LacksData {
    /// The event.
    id: u64,
  },
  /// Its id is no number, where others count events.
  #[error("event whose id is no number, after event {after}")]
  UnreadableId {
    /// The last event that was forwarded.
    after: u64,
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

/// The event that was forwarded last.
#[derive(Clone, Copy, Debug)]
struct LastEvent {
  id: u64,
  /// Whether its id neither follows the one before by one nor is the lowest of a stream, so that it may be wrong.
  is_doubtful: bool,
  /// Of its bytes; `None` for one that the caller names.
  hash: Option<u64>,
}

/// A step from one id to another one that is not the next number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Skip {
  after: u64,
  id: u64,
}

/// What was refused as a fault, by which the stream shows how its version numbers events if no other run brings anything else.
#[derive(Clone, Debug, Default)]
struct Refused {
  /// An event with data and no id.
  has_events_without_id: bool,
  /// An event with an id and no data.
  has_events_without_data: bool,
  /// An event whose id is no number.
  has_unreadable_ids: bool,
  /// Names of ignored fields, each of which may be that of another field.
  ignored_fields: BTreeSet<Name>,
}

/// The order of a stream's events.
#[derive(Clone, Debug)]
pub(super) struct EventOrder {
  last: Option<LastEvent>,
  start: Start,
  /// The event that the caller names, also where the stream may not be resumed: some engines go on after it nonetheless.
  named: Option<u64>,
  /// How events are numbered in other streams of the version.
  numbering: Numbering,
  /// The first id of the answer that began the stream, or else of the last one that was refused.
  first_id: Option<u64>,
  refused: Refused,
  /// Ids that were one more than the one before.
  single_steps: u32,
  /// Whether an id was more than one more than the one before: ids do not count events.
  has_larger_steps: bool,
  /// The last step within an answer that was taken for missing events. Another run that takes it too shows that none are missing.
  skip: Option<Skip>,
  /// Whether an event without an id was forwarded.
  has_events_without_id: bool,
  /// Whether an event with an id of its own and without data was forwarded.
  has_events_without_data: bool,
  /// Of the bytes of the event that was refused last because it has no data. Another run that brings it too shows that none are missing.
  without_data_hash: Option<u64>,
  /// Events without an id that were forwarded after the last id.
  without_id: u64,
  /// Whether the current answer has brought bytes that are no event since its last event: they may stand in the place of one.
  follows_noise: bool,
  /// Whether the last event's id was too high: the next event of the same answer has a lower one.
  is_last_contradicted: bool,
}

impl EventOrder {
  /// The order of a stream whose caller may name an event. One that may be resumed goes on after it; another one may begin anew.
  pub(super) fn new(named: Option<u64>, may_be_resumed: bool, numbering: Numbering) -> Self {
    let last_id = named.filter(|_| may_be_resumed);
    Self {
      first_id: None,
      follows_noise: false,
      has_events_without_data: false,
      has_events_without_id: false,
      has_larger_steps: false,
      is_last_contradicted: false,
      last: last_id.map(|id| LastEvent {
        hash: None,
        id,
        is_doubtful: false,
      }),
      named,
      numbering,
      refused: Refused::default(),
      single_steps: 0,
      skip: None,
      start: last_id.map_or(Start::Passed, Start::NamedByCaller),
      without_data_hash: None,
      without_id: 0,
    }
  }

  /// Whether another engine can go on with the stream: no event was forwarded that it would repeat, and the last one's id is sure, so
  /// that it leaves out none.
  pub(super) fn may_go_on(&self) -> bool {
    self.without_id == 0 && !self.is_last_contradicted
  }

  /// Another engine goes on with the stream.
  pub(super) fn record_interruption(&mut self) {
    let after = |last: LastEvent| Start::AfterInterruption(last.id);
    self.start = self.last.map_or(Start::Passed, after);
    self.follows_noise = false;
  }

  /// The current answer has brought bytes that are no event.
  pub(super) fn record_noise(&mut self) {
    self.follows_noise = true;
  }

  /// Where an event belongs; one that is next counts as forwarded. Fails when its engine left others out, goes back, or does not tell
  /// where the event belongs.
  pub(super) fn place(&mut self, event: &SseEvent) -> Result<EventPlace, Misplaced> {
    let Some(id) = event.id else {
      return self.place_without_id(event);
    };
    // A heartbeat may repeat the last id.
    if !event.has_data() && self.last.is_some_and(|last| id <= last.id) {
      return Ok(EventPlace::Next);
    }
    let hash = hash(event);
    match self.last {
      Some(last) if id <= last.id => return self.place_again(id, hash, last),
      Some(last) => {
        self.check_data(event, id, hash)?;
        self.check_step(Skip { after: last.id, id })?;
      }
      None => {
        self.check_data(event, id, hash)?;
        self.check_first(id)?;
      }
    }
    self.has_events_without_data |= !event.has_data();
    self.without_id = 0;
    self.follows_noise = false;
    let follows = |last: LastEvent| id == last.id + 1;
    self.last = Some(LastEvent {
      hash: Some(hash),
      id,
      is_doubtful: !self.last.map_or(id <= HIGHEST_FIRST_ID, follows),
    });
    self.start = Start::Passed;
    Ok(EventPlace::Next)
  }

  /// Places an event that does not come after the last one.
  fn place_again(&mut self, id: u64, hash: u64, last: LastEvent) -> Result<EventPlace, Misplaced> {
    let is_before_start = self.start != Start::Passed;
    let is_last_again = id == last.id && last.hash == Some(hash) && self.without_id == 0;
    if is_before_start || is_last_again {
      return Ok(EventPlace::Repeated);
    }
    self.is_last_contradicted |= last.is_doubtful;
    let after = last.id;
    Err(Misplaced::GoesBack { after, id })
  }

  fn place_without_id(&mut self, event: &SseEvent) -> Result<EventPlace, Misplaced> {
    if !event.has_data() {
      return Ok(EventPlace::Next);
    }
    let placed = self.check_without_id(event);
    match placed {
      Ok(()) => {
        self.has_events_without_id |= !event.has_unreadable_id();
        self.without_id += 1;
      }
      Err(_) => self.record_refused(event),
    }
    placed.map(|()| EventPlace::Next)
  }

  /// Checks an event with data and without an id that is a number.
  fn check_without_id(&self, event: &SseEvent) -> Result<(), Misplaced> {
    if let Start::AfterInterruption(after) = self.start {
      return Err(Misplaced::WithoutId { after });
    }
    let is_unreadable = event.has_unreadable_id();
    let is_known = is_unreadable && self.numbering.has_unreadable_ids;
    if let Some(last) = self.last.filter(|last| !last.is_doubtful)
      && is_unreadable
      && !is_known
      && self.numbering.steps != IdSteps::Any
    {
      return Err(Misplaced::UnreadableId { after: last.id });
    }
    if self.numbering.is_complete && !is_known {
      return Err(Misplaced::LacksId);
    }
    if let Some(LastEvent { id: after, .. }) = self.last
      && event
        .ignored_names_of(after.saturating_add(1))
        .any(|name| !self.is_known_field(name))
    {
      return Err(Misplaced::RenamedId { after });
    }
    Ok(())
  }

  /// Checks that an event with an id has data, where those of other streams have some.
  fn check_data(&mut self, event: &SseEvent, id: u64, hash: u64) -> Result<(), Misplaced> {
    let may_lack_data = !self.numbering.has_all_data || self.without_data_hash == Some(hash);
    if event.has_data() || may_lack_data {
      return Ok(());
    }
    self.without_data_hash = Some(hash);
    self.refused.has_events_without_data = true;
    Err(Misplaced::LacksData { id })
  }

  /// Records an event of an answer that the stream does not go on with: one that was refused, or that came after such a one.
  pub(super) fn record_refused(&mut self, event: &SseEvent) {
    if let Some(id) = event.id {
      let is_next = self.last.is_none_or(|last| id > last.id);
      self.refused.has_events_without_data |= is_next && !event.has_data();
      return;
    }
    if !event.has_data() {
      return;
    }
    if let Some(LastEvent { id: after, .. }) = self.last {
      let names = event.ignored_names_of(after.saturating_add(1));
      self.refused.ignored_fields.extend(names.map(field_name));
    }
    let is_unreadable = event.has_unreadable_id();
    self.refused.has_unreadable_ids |= is_unreadable;
    self.refused.has_events_without_id |= !is_unreadable;
  }

  /// Whether the version is known to send all of an event's fields that readers ignore; unknown ones count as refused.
  pub(super) fn knows_ignored_fields(&mut self, event: &SseEvent) -> bool {
    let is_known = event.ignored_names().all(|name| self.is_known_field(name));
    if !is_known {
      let names = event.ignored_names().map(field_name);
      self.refused.ignored_fields.extend(names);
    }
    is_known
  }

  fn is_known_field(&self, name: &[u8]) -> bool {
    self.numbering.ignored_fields.contains(&field_name(name))
  }

  /// What the stream has shown of how its version numbers events. What was refused in a stream that is whole was a fault.
  pub(super) fn shown(&self, is_whole: bool) -> StreamIds {
    let refused = match is_whole {
      true => Refused::default(),
      false => self.refused.clone(),
    };
    let has_skipped = self.has_larger_steps || refused.has_unreadable_ids || self.skip.is_some();
    let has_shown_steps = has_skipped || self.single_steps >= MIN_SINGLE_STEPS;
    let has_events_with_id = self.last.is_some_and(|last| last.hash.is_some());
    let lacks_data = self.has_events_without_data || refused.has_events_without_data;
    let is_incomplete = self.has_events_without_id || refused.has_events_without_id;
    StreamIds {
      began_lowest: self.first_id.map(|id| id <= HIGHEST_FIRST_ID),
      ignored_fields: refused.ignored_fields,
      had_all_data: (lacks_data || has_events_with_id).then_some(!lacks_data),
      had_unreadable_ids: refused.has_unreadable_ids,
      has_skipped: has_shown_steps.then_some(has_skipped),
      was_complete: (is_incomplete || self.last.is_some()).then_some(!is_incomplete),
    }
  }

  /// Checks the first event of a stream.
  fn check_first(&mut self, id: u64) -> Result<(), Misplaced> {
    let is_after_named = self.named.and_then(|named| named.checked_add(1)) == Some(id);
    if is_after_named && !self.follows_noise && self.without_id == 0 {
      return Ok(());
    }
    self.first_id = Some(id);
    let others_begin_lower =
      self.numbering.begins_lowest && self.skip != Some(Skip { after: 0, id });
    let may_hide = self.follows_noise || self.counts_without_id(id) || others_begin_lower;
    if may_hide && HIDING_FIRST_IDS.contains(&id) && self.numbering.steps != IdSteps::Any {
      // A service whose streams all begin like this is known by it before long.
      self.skip = Some(Skip { after: 0, id });
      return Err(Misplaced::Gap { after: 0, id });
    }
    self.skip = None;
    Ok(())
  }

  /// Checks the step to an event that comes after the last one.
  fn check_step(&mut self, step: Skip) -> Result<(), Misplaced> {
    let Skip { after, id } = step;
    if id - after == 1 {
      if self.skip.is_some_and(|skip| skip.after == after) {
        // Another run has brought the missing event.
        self.skip = None;
      }
      self.single_steps = self.single_steps.saturating_add(1);
      return Ok(());
    }
    let is_missing = self.counts_events() || self.counts_without_id(id - after);
    if is_missing && self.skip != Some(step) {
      if self.start == Start::Passed {
        self.skip = Some(step);
      }
      return Err(Misplaced::Gap { after, id });
    }
    self.has_larger_steps = true;
    Ok(())
  }

  /// Whether a step to an id counts the events without an id before it: they have lost theirs.
  fn counts_without_id(&self, step: u64) -> bool {
    let may_count = self.numbering.steps != IdSteps::Any && !self.has_larger_steps;
    may_count && self.without_id > 0 && step == self.without_id + 1
  }

  /// Whether ids count events, as far as they show.
  fn counts_events(&self) -> bool {
    let is_single = match self.numbering.steps {
      IdSteps::Any => false,
      IdSteps::Single => true,
      IdSteps::Unknown => self.follows_noise || self.single_steps >= MIN_SINGLE_STEPS,
    };
    is_single && !self.has_larger_steps
  }
}

/// The name of an ignored field, or how it begins.
fn field_name(name: &[u8]) -> Name {
  let name = &name[..name.len().min(MAX_FIELD_NAME_BYTES)];
  String::from_utf8_lossy(name).into()
}

fn hash(event: &SseEvent) -> u64 {
  let mut hasher = DefaultHasher::new();
  event.bytes.hash(&mut hasher);
  hasher.finish()
}
