//! What this box knows of each endpoint, and the choice among them. Free of I/O.

use {
  super::{
    choice::{Choice, PartEnd, Wanted},
    drained_halls::DrainedHalls,
    endpoint_counts::EndpointCounts,
    endpoint_limits::EndpointLimits,
    hall_reach::HallReach,
    known_endpoint::{Known, ON_TRIAL_RANK, Peers, Told},
    limit_book::LimitNews,
    notice_book::{Availability, NoticeBook, NoticeNews},
    unavailable::Unavailable,
  },
  crate::{
    decide::Role,
    gateway::edge::{EndpointEntry, EndpointNotice, LimitHeader, ReportedLoad},
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
  /// The halls that operators drain.
  drained_halls: DrainedHalls,
  /// What they have said of themselves; outlasts entries that go and come back.
  notices: NoticeBook,
  /// The limits that they name.
  limits: EndpointLimits,
  /// Whether what they have said of themselves decides nothing.
  ignores_notices: bool,
  /// Since when the store has been heard without a break.
  store_since_ms: Option<u64>,
}

impl EndpointBook {
  /// An empty book in which nothing is decided by what endpoints say of themselves.
  pub fn ignoring_notices() -> Self {
    Self {
      ignores_notices: true,
      ..Self::default()
    }
  }

  /// The same book, in which nothing is decided by the limits that endpoints name.
  pub fn ignoring_limits(self) -> Self {
    Self {
      limits: EndpointLimits::ignoring(),
      ..self
    }
  }

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

  /// All entries; those of endpoints that leave by their own word say so too, and those of drained halls.
  pub fn current_entries(&self, now_ms: u64) -> Vec<EndpointEntry> {
    self
      .entries()
      .map(|entry| EndpointEntry {
        leaving: self.is_leaving(entry, now_ms) || self.drained_halls.is_drained(&entry.hall),
        ..entry.clone()
      })
      .collect()
  }

  /// Whether an endpoint leaves, by the store's word or its own.
  pub fn is_leaving(&self, entry: &EndpointEntry, now_ms: u64) -> bool {
    entry.leaving
      || matches!(
        self.availability(entry, now_ms),
        Availability::Leaving { .. }
      )
  }

  /// Whether the life of an endpoint that was chosen before may be sent work now. Fails when it may not, and says why.
  pub fn check(&self, chosen: &EndpointEntry, now_ms: u64) -> Result<(), Unavailable> {
    let entry = self
      .entry(&chosen.id)
      .filter(|entry| entry.started_ms == chosen.started_ms)
      .ok_or(Unavailable::Gone)?;
    self.check_listed(entry, now_ms)
  }

  /// The same of an entry that is listed.
  fn check_listed(&self, entry: &EndpointEntry, now_ms: u64) -> Result<(), Unavailable> {
    if entry.leaving {
      return Err(Unavailable::ListedAsLeaving);
    }
    if self.drained_halls.is_drained(&entry.hall) {
      return Err(Unavailable::HallDrained);
    }
    match self.availability(entry, now_ms) {
      Availability::Open | Availability::OnTrial { .. } => Ok(()),
      Availability::Leaving { said_ms } => Err(Unavailable::Leaving {
        said_ms: now_ms.saturating_sub(said_ms),
      }),
      Availability::Pausing { asked_ms, until_ms } => Err(Unavailable::Pausing {
        asked_ms: now_ms.saturating_sub(asked_ms),
        left_ms: until_ms - now_ms,
      }),
    }
  }

  /// The same, and whether there may be a place for it within the endpoint's limit.
  fn check_permit(&self, entry: &EndpointEntry, now_ms: u64) -> Result<(), Unavailable> {
    self.check_listed(entry, now_ms)?;
    match self.limits.closed_for_ms(entry, now_ms) {
      0 => Ok(()),
      left_ms => Err(Unavailable::NoPermit { left_ms }),
    }
  }

  /// How long it takes until a first endpoint of a service that answers requests takes work again; nothing while one does, or when none
  /// pauses or is at its limit.
  pub fn reopens_in_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
    let answering = self
      .entries()
      .filter(|entry| &*entry.service == service && entry.role != Some(Role::Prefill));
    let mut first_ms = None;
    for entry in answering {
      match self.check_permit(entry, now_ms) {
        Ok(()) => return None,
        Err(Unavailable::Pausing { left_ms, .. } | Unavailable::NoPermit { left_ms }) => {
          first_ms = Some(first_ms.map_or(left_ms, |first_ms: u64| first_ms.min(left_ms)));
        }
        Err(_) => {}
      }
    }
    first_ms
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
    // Hardly ever has an endpoint or an operator said anything, and a look at each makes a choice among thousands twice as long.
    let heeds_notices = self.heeds_notices();
    let heeds_words = heeds_notices || self.limits.are_heeded() || !self.drained_halls.is_empty();
    let takes_work = |known: &Known| {
      !known.entry.leaving && (!heeds_words || self.check_permit(&known.entry, now_ms).is_ok())
    };
    let candidates: Vec<&Known> = self
      .known
      .values()
      .filter(|known| {
        &*known.entry.service == wanted.service
          && takes_work(known)
          && wanted.allowed_halls.contains(&known.entry.hall)
          && (wanted.role.is_none() || known.entry.role == wanted.role)
          && !wanted.tried.contains(&known.entry.id)
      })
      .collect();
    let peers = Peers::of(&candidates);
    candidates
      .into_iter()
      .map(|known| {
        let hall_is_cut = self.is_cut(&known.entry.hall, now_ms);
        let rank = known.rank(wanted, hall_is_cut, now_ms);
        let is_being_tried =
          heeds_notices && self.availability(&known.entry, now_ms).is_being_tried();
        (
          if is_being_tried {
            rank.max(ON_TRIAL_RANK)
          } else {
            rank
          },
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

  /// Whether anything was said that decides something.
  fn heeds_notices(&self) -> bool {
    !self.ignores_notices && !self.notices.is_empty()
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
    if self.has_later_life(entry) {
      return NoticeNews::default();
    }
    self.notices.note(entry, notice, now_ms)
  }

  /// Takes over what an endpoint named as its limit in an answer to what was sent to this entry of it; nothing where another life
  /// has entered since.
  pub fn note_limit(
    &mut self,
    entry: &EndpointEntry,
    said: LimitHeader,
    sent_ms: u64,
    now_ms: u64,
  ) -> LimitNews {
    if self.has_later_life(entry) {
      return LimitNews::Nothing;
    }
    self.limits.note_answer(entry, said, sent_ms, now_ms)
  }

  /// The halls that operators drain.
  pub fn drained_halls(&self) -> &DrainedHalls {
    &self.drained_halls
  }

  /// The same, to change.
  pub fn drained_halls_mut(&mut self) -> &mut DrainedHalls {
    &mut self.drained_halls
  }

  /// The limits that endpoints name, and this box's permits there.
  pub fn limits(&self) -> &EndpointLimits {
    &self.limits
  }

  /// The same, to change.
  pub fn limits_mut(&mut self) -> &mut EndpointLimits {
    &mut self.limits
  }

  /// Whether another life has entered under an endpoint's id.
  fn has_later_life(&self, entry: &EndpointEntry) -> bool {
    self
      .entry(&entry.id)
      .is_some_and(|now| now.started_ms != entry.started_ms)
  }

  /// Whether a life of an endpoint may be sent work, by its own word.
  pub fn availability(&self, entry: &EndpointEntry, now_ms: u64) -> Availability {
    if !self.heeds_notices() {
      return Availability::Open;
    }
    self.notices.availability(entry, now_ms)
  }

  /// Something is sent to an endpoint; answers with when it asked for a pause if it is the first since the pause.
  pub fn sent_after_pause(&mut self, id: &str, now_ms: u64) -> Option<u64> {
    self.notices.sent(id, now_ms)
  }

  /// An endpoint took work.
  pub fn took_work(&mut self, id: &str, now_ms: u64) {
    self.notices.took_work(id, now_ms);
  }

  /// The store was heard, or was lost.
  pub fn set_store_since(&mut self, since_ms: Option<u64>) {
    self.store_since_ms = since_ms;
  }

  /// Forgets what endpoints said once it no longer counts; answers with those that are taken back although they said that
  /// they leave.
  pub fn forget_notices(&mut self, now_ms: u64) -> Vec<Name> {
    self.limits.forget_old(now_ms);
    let known = &self.known;
    self.notices.forget_old(
      self.store_since_ms,
      |id| known.get(id).map(|known| &known.entry),
      now_ms,
    )
  }

  /// How many endpoints take work: of a service, or of all.
  pub fn count(&self, service: Option<&str>, now_ms: u64) -> EndpointCounts {
    let mut counts = EndpointCounts::default();
    let wanted = self
      .entries()
      .filter(|entry| service.is_none_or(|service| &*entry.service == service));
    for entry in wanted {
      let pauses = matches!(
        self.availability(entry, now_ms),
        Availability::Pausing { .. }
      );
      counts.drained += usize::from(self.drained_halls.is_drained(&entry.hall));
      counts.known += 1;
      counts.leaving += usize::from(self.is_leaving(entry, now_ms));
      counts.limited += usize::from(self.limits.per_s(entry, now_ms).is_some());
      counts.pausing += usize::from(pauses);
    }
    counts
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
  pub fn told_load(&mut self, id: &str, load: ReportedLoad, now_ms: u64) {
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
