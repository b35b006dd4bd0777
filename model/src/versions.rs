//! A version is recorded before its first stream: views that lag, writes whose responses are lost or that are carried out late,
//! boxes that restart, streams that are resumed where nobody remembers them.
//!
//! One version of two is explored, with one stream of it. The other version is recorded all the time, so that a read which does not
//! name the explored version concludes that the other one is the only one. Listings of engines are left out: a box may find at any
//! time that the version is listed, or that it is not.

use crate::{Exploration, Spec, explore};

const BOXES: usize = 3;
/// How long a stream may be resumed under a configuration with short and with long timeouts.
const LIFETIMES_TICKS: [u8; 2] = [1, 2];
const LONGEST_TICKS: u8 = 2;
/// The oldest view of the store under which a box begins streams.
const OLDEST_VIEW_TICKS: u8 = 1;
/// The longest time between a request's arrival and the moment at which the store carries out its read.
const READ_TICKS: u8 = 1;
/// Time for which a retired record stays beyond its lifetime.
const MAX_VIEW_AGE_TICKS: u8 = OLDEST_VIEW_TICKS + READ_TICKS;
/// Changes that a view may lack.
const MAX_UNSEEN: usize = 2;
/// Writes in transit.
const MAX_WRITES: usize = 2;

/// A change to the rules, or to what they assume, that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
  /// The unchanged rules.
  None,
  /// Streams begin before their version is recorded.
  StreamsBeforeRecord,
  /// Streams begin under a retired record.
  IgnoresRetirement,
  /// A stream goes on at a box that knows its origin, whatever the record's state is.
  ResumesWithoutRecord,
  /// The only version is concluded from a box's view.
  ConcludesFromView,
  /// The only version is concluded from a read that began before the request arrived.
  ReadsBeforeRequest,
  /// An active record is removed.
  RemovesActive,
  /// A record is removed whatever its revision is.
  RemovesUnconditionally,
  /// A configuration with shorter timeouts shortens the lifetime of a record.
  ShortensLifetime,
  /// A record is removed as soon as its lifetime has passed.
  IgnoresViewAge,
  /// The time of the read is not part of the time for which a record stays.
  IgnoresReadTime,
  /// Assumption: a box that is cut off from the store for longer than the oldest view begins no streams.
  ViewsLagLonger,
}

/// The record of the version after a change.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Record {
  Absent,
  /// With its lifetime.
  Active(u8),
  /// With its lifetime.
  Retired(u8),
}

/// A change that the store has carried out.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Change {
  pub record: Record,
  pub age: u8,
}

/// A write of the record in transit.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Write {
  pub record: Record,
  /// The change that has to be the last one; `None` if the record has to be absent.
  pub after: Option<usize>,
}

/// A box. Its name does not matter, so that states in which boxes are exchanged are the same.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Gateway {
  /// The last change that it has seen.
  pub seen: usize,
  /// Time since it has seen that change, as far as it matters.
  pub seen_for: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
  /// The changes that views may still lack, after the last one that none lacks.
  pub changes: Vec<Change>,
  pub boxes: [Gateway; BOXES],
  /// Writes in transit. The response to a write is a change that a box has seen; it may also see it later, or never.
  pub writes: [Option<Write>; MAX_WRITES],
  /// For how long the stream may still be resumed; 0 if it has not begun.
  pub resumable_for: u8,
  /// Time since a request that resumes the stream has arrived at a box that does not know its origin.
  pub request: Option<u8>,
  /// Whether a read that was carried out before the request arrived did not name the version.
  pub lacked_before: bool,
  /// Whether the stream has gone on at the other version.
  pub joined: bool,
}

pub struct Versions {
  pub mutant: Mutant,
}

impl Record {
  fn lifetime(self) -> u8 {
    match self {
      Self::Absent => 0,
      Self::Active(lifetime) | Self::Retired(lifetime) => lifetime,
    }
  }
}

impl State {
  fn stored(&self) -> Record {
    self
      .changes
      .last()
      .map_or(Record::Absent, |change| change.record)
  }

  fn view(&self, index: usize) -> Record {
    self.changes[self.boxes[index].seen].record
  }

  fn set(&self, index: usize, own: Gateway) -> Self {
    let mut next = self.clone();
    next.boxes[index] = own;
    next
  }

  /// How old a view is in which a change is the last one.
  fn view_age(&self, seen: usize) -> u8 {
    let unseen = self.changes.get(seen + 1);
    unseen.map_or(0, |change| change.age)
  }

  /// Forgets the changes that no view lacks, and the writes that can't be carried out any more.
  fn trimmed(mut self) -> Self {
    let last = self.changes.len() - 1;
    let first_seen = self.boxes.iter().map(|own| own.seen).min().unwrap_or(last);
    let first = (0..first_seen)
      .find(|seen| self.view_age(*seen) <= OLDEST_VIEW_TICKS)
      .unwrap_or(first_seen);
    self.changes.drain(..first);
    // Nobody asks when the first of them was made.
    self.changes[0].age = OLDEST_VIEW_TICKS + 1;
    for own in &mut self.boxes {
      own.seen -= first;
    }
    for write in &mut self.writes {
      *write = write.and_then(|write| match write.after {
        None => Some(write),
        Some(after) => (after == last).then(|| Write {
          after: Some(after - first),
          ..write
        }),
      });
    }
    self.boxes.sort_unstable();
    self.writes.sort_unstable();
    self
  }
}

impl Versions {
  /// For how long a stream may be resumed that a box begins under a record; 0 if it begins none.
  fn covered(&self, record: Record) -> u8 {
    match record {
      _ if self.mutant == Mutant::StreamsBeforeRecord => LONGEST_TICKS,
      Record::Active(lifetime) => lifetime,
      Record::Retired(lifetime) if self.mutant == Mutant::IgnoresRetirement => lifetime,
      Record::Absent | Record::Retired(_) => 0,
    }
  }

  /// For how long a box has to see a record before it removes it; `None` if it does not.
  fn removed_after(&self, record: Record) -> Option<u8> {
    let margin = match self.mutant {
      Mutant::IgnoresViewAge => READ_TICKS,
      Mutant::IgnoresReadTime => OLDEST_VIEW_TICKS,
      _ => MAX_VIEW_AGE_TICKS,
    };
    let is_removed = match record {
      Record::Absent => false,
      Record::Active(_) => self.mutant == Mutant::RemovesActive,
      Record::Retired(_) => true,
    };
    is_removed.then(|| record.lifetime() + margin)
  }

  /// The records that a box may write over the one that it knows, under any configuration.
  fn writes(&self, own: Gateway, known: Record) -> Vec<Record> {
    let mut writes = Vec::new();
    for configured in LIFETIMES_TICKS {
      let lifetime = match self.mutant {
        Mutant::ShortensLifetime => configured,
        _ => configured.max(known.lifetime()),
      };
      writes.push(Record::Active(lifetime));
      if matches!(known, Record::Active(_)) {
        writes.push(Record::Retired(lifetime));
      }
    }
    if self.removed_after(known) == Some(own.seen_for) {
      writes.push(Record::Absent);
    }
    writes.sort_unstable();
    writes.dedup();
    writes.retain(|record| *record != known);
    writes
  }

  fn is_unconditional(&self, written: Record) -> bool {
    written == Record::Absent && self.mutant == Mutant::RemovesUnconditionally
  }

  /// The state after a write was carried out; `None` if its condition does not hold.
  fn carry_out(&self, state: &State, write: Write) -> Option<State> {
    let last = state.changes.len() - 1;
    let holds = match write.after {
      _ if self.is_unconditional(write.record) => state.stored() != Record::Absent,
      None => state.stored() == Record::Absent,
      Some(after) => after == last,
    };
    if !holds || state.changes.len() > MAX_UNSEEN {
      return None;
    }
    let mut after = state.clone();
    after.changes.push(Change {
      age: 0,
      record: write.record,
    });
    Some(after)
  }

  fn box_steps(&self, state: &State, index: usize, next: &mut Vec<State>) {
    let own = state.boxes[index];
    let last = state.changes.len() - 1;
    let sees = |seen| state.set(index, Gateway { seen, seen_for: 0 });
    if own.seen < last {
      next.push(sees(own.seen + 1));
    }
    // It restarts. Its first listing of the store may be old.
    let listed = (0..=last).filter(|seen| state.view_age(*seen) <= OLDEST_VIEW_TICKS);
    next.extend(listed.map(sees));
    let known = state.view(index);
    if let Some(free) = state.writes.iter().position(Option::is_none) {
      for record in self.writes(own, known) {
        let is_conditional = known != Record::Absent && !self.is_unconditional(record);
        let after = is_conditional.then_some(own.seen);
        let mut written = state.clone();
        written.writes[free] = Some(Write { after, record });
        next.push(written);
      }
    }
    // A stream begins, or goes on since the box knows its origin.
    let covered = self.covered(known);
    if covered > state.resumable_for {
      let mut begun = state.clone();
      begun.resumable_for = covered;
      next.push(begun);
    }
  }

  /// A write is carried out, or lost.
  fn write_steps(&self, state: &State, index: usize, next: &mut Vec<State>) {
    let Some(write) = state.writes[index] else {
      return;
    };
    let mut done = state.clone();
    done.writes[index] = None;
    next.extend(self.carry_out(&done, write));
    next.push(done);
  }

  fn resumption(&self, state: &State, next: &mut Vec<State>) {
    if state.resumable_for > 0 && self.mutant == Mutant::ResumesWithoutRecord {
      let mut resumed = state.clone();
      resumed.resumable_for = LONGEST_TICKS;
      next.push(resumed);
    }
    let is_named = state.stored() != Record::Absent;
    if state.request.is_none() {
      if self.mutant == Mutant::ReadsBeforeRequest {
        let mut read = state.clone();
        read.lacked_before |= !is_named;
        next.push(read);
      }
      if state.resumable_for > 0 {
        let mut arrived = state.clone();
        arrived.request = Some(0);
        next.push(arrived);
      }
      return;
    }
    let is_other_concluded = match self.mutant {
      Mutant::ConcludesFromView => (0..BOXES).any(|index| state.view(index) == Record::Absent),
      Mutant::ReadsBeforeRequest => state.lacked_before,
      _ => !is_named,
    };
    if is_other_concluded {
      let mut concluded = state.clone();
      concluded.joined = true;
      next.push(concluded);
    }
    // The request is rejected: several versions are recorded, or the store can't be reached.
    let mut rejected = state.clone();
    rejected.request = None;
    rejected.lacked_before = false;
    next.push(rejected);
  }

  /// Time passes, as far as all that has a time limit is done.
  fn tick(&self, state: &State) -> Option<State> {
    let are_recent = state
      .boxes
      .iter()
      .all(|own| state.view_age(own.seen) < OLDEST_VIEW_TICKS);
    let has_read = state.request.is_none_or(|age| age < READ_TICKS);
    if !has_read || !(are_recent || self.mutant == Mutant::ViewsLagLonger) {
      return None;
    }
    let mut after = state.clone();
    for change in &mut after.changes {
      change.age = (change.age + 1).min(OLDEST_VIEW_TICKS + 1);
    }
    for (index, own) in after.boxes.iter_mut().enumerate() {
      let removed_after = self.removed_after(state.view(index)).unwrap_or(0);
      own.seen_for = (own.seen_for + 1).min(removed_after);
    }
    after.resumable_for = after.resumable_for.saturating_sub(1);
    after.request = after.request.map(|age| age + 1);
    Some(after)
  }
}

impl Versions {
  /// Explores all states.
  pub fn check(&self) -> Exploration<State> {
    explore(self)
  }
}

impl Spec for Versions {
  type State = State;

  fn initial_state(&self) -> State {
    State {
      boxes: [Gateway {
        seen: 0,
        seen_for: 0,
      }; BOXES],
      changes: vec![Change {
        age: OLDEST_VIEW_TICKS + 1,
        record: Record::Absent,
      }],
      joined: false,
      lacked_before: false,
      request: None,
      resumable_for: 0,
      writes: [None; MAX_WRITES],
    }
  }

  fn successors(&self, state: &State) -> Vec<State> {
    // A violation is the end of a path.
    if state.joined {
      return Vec::new();
    }
    let mut next = Vec::new();
    for index in 0..BOXES {
      self.box_steps(state, index, &mut next);
    }
    for index in 0..MAX_WRITES {
      self.write_steps(state, index, &mut next);
    }
    self.resumption(state, &mut next);
    next.extend(self.tick(state));
    next.into_iter().map(State::trimmed).collect()
  }

  fn violation(&self, state: &State) -> Option<&'static str> {
    state
      .joined
      .then_some("no stream goes on at another version than the one that began it")
  }
}
