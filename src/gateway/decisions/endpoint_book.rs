//! What this box knows of each endpoint, and the choice among them. Free of I/O.

use {
  super::{
    choice::{Choice, PartEnd, Wanted},
    hall_reach::HallReach,
    known_endpoint::{Known, Peers, Told},
    notice_book::{Availability, NoticeBook, NoticeNews},
  },
  crate::{
    gateway::edge::{EndpointEntry, EndpointNotice, ToldLoad},
    ids::Name,
  },
  std::collections::{BTreeMap, HashMap},
};

/// Width of the random factor that keeps boxes with the same knowledge from the same choice.
const NOISE: f64 = 0.2;

/// The endpoints by incarnation.
#[derive(Debug, Default)]
pub struct EndpointBook {
  /// In order, so that equal draws make equal choices.
  known: BTreeMap<Name, Known>,
  halls: HashMap<Name, HallReach>,
  /// What they have said of themselves; outlasts entries that go and come back.
  notices: NoticeBook,
  /// Since when the store has been heard without a break.
  store_since_ms: Option<u64>,
}

impl EndpointBook {
  /// Takes over an entry as it was written.
  pub fn put(&mut self, entry: EndpointEntry) {
    match self.known.get_mut(&entry.id) {
      Some(known) => {
        known.entry = entry;
        known.lapses_ms = None;
      }
      None => {
        self.known.insert(entry.id.clone(), Known::new(entry));
      }
    }
  }

  /// Forgets an endpoint whose entry has gone.
  pub fn remove(&mut self, id: &str) {
    self.known.remove(id);
  }

  /// Keeps an endpoint whose entry went while the store was away until a time, unless it comes back.
  pub fn lapse(&mut self, id: &str, until_ms: u64) {
    if let Some(known) = self.known.get_mut(id) {
      known.lapses_ms.get_or_insert(until_ms);
    }
  }

  /// Forgets the endpoints whose entries did not come back in time.
  pub fn forget_lapsed(&mut self, now_ms: u64) {
    self
      .known
      .retain(|_, known| known.lapses_ms.is_none_or(|until_ms| now_ms < until_ms));
  }

  /// The incarnations that are known.
  pub fn ids(&self) -> Vec<Name> {
    self.known.keys().cloned().collect()
  }

  /// The entry of an endpoint.
  pub fn entry(&self, id: &str) -> Option<&EndpointEntry> {
    self.known.get(id).map(|known| &known.entry)
  }

  /// This box's requests at an endpoint, and their size.
  pub fn own_load(&self, id: &str) -> (u64, u64) {
    self
      .known
      .get(id)
      .map_or((0, 0), |known| (u64::from(known.requests), known.size))
  }

  /// All entries.
  pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
    self.known.values().map(|known| &known.entry)
  }

  /// Whether an endpoint may still be sent work.
  pub fn may_send(&self, id: &str) -> bool {
    self.known.get(id).is_some_and(|known| !known.entry.leaving)
  }

  /// How many endpoints are known.
  pub fn len(&self) -> usize {
    self.known.len()
  }

  /// Whether no endpoint is known.
  pub fn is_empty(&self) -> bool {
    self.known.is_empty()
  }

  /// Chooses the endpoint that promises the earliest end of the work.
  pub fn choose(
    &self,
    wanted: Wanted,
    now_ms: u64,
    mut draw: impl FnMut() -> f64,
  ) -> Option<Choice> {
    let candidates: Vec<&Known> = self
      .known
      .values()
      .filter(|known| {
        &*known.entry.service == wanted.service
          && !known.entry.leaving
          && (wanted.role.is_none() || known.entry.role == wanted.role)
          && !wanted.tried.contains(&known.entry.id)
      })
      .collect();
    let peers = Peers::of(&candidates);
    candidates
      .into_iter()
      .map(|known| {
        (
          known.rank(wanted, self.is_cut(&known.entry.hall, now_ms), now_ms),
          known.cost(wanted, peers, now_ms) * (1.0 + NOISE * draw()),
          known,
        )
      })
      .min_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)))
      .map(|(_, _, known)| Choice {
        ahead: known.ahead(wanted.size, now_ms) as u64,
        entry: known.entry.clone(),
        expected_ms: known.expected_ms(wanted.size, now_ms),
        left_alone: now_ms < known.avoid_until_ms,
      })
  }

  /// Whether a hall seems to be cut off from this box.
  pub fn is_cut(&self, hall: &str, now_ms: u64) -> bool {
    self
      .halls
      .get(hall)
      .is_some_and(|reach| reach.is_cut(now_ms))
  }

  /// Work of a size was sent.
  pub fn sent(&mut self, id: &str, size: u64) {
    if let Some(known) = self.known.get_mut(id) {
      known.requests += 1;
      known.size += size;
    }
  }

  /// Work of a size ended; `units` is what the time until its answer is measured by.
  pub fn ended(&mut self, id: &str, size: u64, units: u64, end: PartEnd, now_ms: u64) {
    let Some(known) = self.known.get_mut(id) else {
      return;
    };
    known.requests = known.requests.saturating_sub(1);
    known.size = known.size.saturating_sub(size);
    let hall = self.halls.entry(known.entry.hall.clone()).or_default();
    hall.note(&known.entry.id, end, now_ms);
    known.note_end(units, end, now_ms);
  }

  /// Takes over what an endpoint said of itself in an answer to what was sent to this entry of it; nothing where another life
  /// has entered since.
  pub fn note_notice(
    &mut self,
    entry: &EndpointEntry,
    notice: &EndpointNotice,
    now_ms: u64,
  ) -> NoticeNews {
    let is_earlier_life = self
      .entry(&entry.id)
      .is_some_and(|now| now.born_ms != entry.born_ms);
    if is_earlier_life {
      return NoticeNews::default();
    }
    self.notices.note(entry, notice, now_ms)
  }

  /// Whether a life of an endpoint may be sent work, by its own word.
  pub fn availability(&self, entry: &EndpointEntry, now_ms: u64) -> Availability {
    self.notices.availability(entry, now_ms)
  }

  /// The store was heard, or was lost.
  pub fn set_store_since(&mut self, since_ms: Option<u64>) {
    self.store_since_ms = since_ms;
  }

  /// Forgets what endpoints said once it no longer counts; answers with those that are taken back although they said that
  /// they leave.
  pub fn forget_notices(&mut self, now_ms: u64) -> Vec<Name> {
    let known = &self.known;
    self.notices.forget_old(
      self.store_since_ms,
      |id| known.get(id).map(|known| &known.entry),
      now_ms,
    )
  }

  /// How many endpoints leave by their own word, and how many pause.
  pub fn told_off(&self, now_ms: u64) -> (usize, usize) {
    let count = |wanted: fn(&Availability) -> bool| {
      self
        .entries()
        .map(|entry| self.availability(entry, now_ms))
        .filter(wanted)
        .count()
    };
    (
      count(|availability| matches!(availability, Availability::Leaving { .. })),
      count(|availability| matches!(availability, Availability::Pausing { .. })),
    )
  }

  /// Another endpoint that was asked later answered first.
  pub fn outrun(&mut self, id: &str) {
    if let Some(known) = self.known.get_mut(id) {
      known.note_failure_share(true);
    }
  }

  /// An endpoint has owed an answer for too long: it, or the path to its hall, may be gone.
  pub fn overdue(&mut self, id: &str, now_ms: u64) {
    let Some(known) = self.known.get_mut(id) else {
      return;
    };
    known.note_failure_share(true);
    known.lost(now_ms);
    let hall = self.halls.entry(known.entry.hall.clone()).or_default();
    hall.unreachable.insert(known.entry.id.clone());
    hall.noted_ms = now_ms;
  }

  /// An endpoint is at fault although it answers.
  pub fn blame(&mut self, id: &str, now_ms: u64) {
    if let Some(known) = self.known.get_mut(id) {
      known.lost(now_ms);
    }
  }

  /// An endpoint told its load with an answer that this box still counts.
  pub fn told_load(&mut self, id: &str, load: ToldLoad, now_ms: u64) {
    if let Some(known) = self.known.get_mut(id) {
      let others = load
        .running
        .saturating_add(load.waiting)
        .saturating_sub(known.requests);
      known.told = Some(Told {
        at_ms: now_ms,
        others,
      });
    }
  }
}
