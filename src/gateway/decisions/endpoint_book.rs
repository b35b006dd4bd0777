//! What this box knows of each endpoint, and the choice among them. Free of I/O.

use {
  super::{EndpointEntry, ToldLoad},
  crate::{decide::Role, ids::Name},
  std::collections::{HashMap, HashSet},
};

/// Time that a failing endpoint is left alone at first; doubled with each further failure.
const FIRST_AVOID_MS: u64 = 700;
/// The longest time that a failing endpoint is left alone: a crashed one is back within seconds.
const MOST_AVOID_MS: u64 = 4_000;
/// Time that an endpoint which said that it is full is left alone.
const FULL_AVOID_MS: u64 = 120;
/// Weight of the newest answer in the moving shares and speeds.
const NEWEST_WEIGHT: f64 = 0.12;
/// How much an endpoint's surplus of failures over its peers' makes it look busier.
const FAILURE_PENALTY: f64 = 12.0;
/// Another hall's endpoint looks this much busier: bytes between halls are priced, and cuts between them
/// break streams.
const OTHER_HALL_FACTOR: f64 = 2.0;
/// Width of the random factor that keeps boxes with the same knowledge from the same choice.
const NOISE: f64 = 0.2;
/// Bounds on how much faster or slower than its peers an endpoint is taken to be.
const SPEED_RANGE: (f64, f64) = (0.5, 6.0);
/// So many endpoints of a hall without any answer mean that the hall is cut off.
const CUT_ENDPOINTS: usize = 2;
/// How long a hall that seems cut off is left alone before an endpoint there is tried again.
const CUT_MS: u64 = 1_000;
/// After this time an endpoint's word on its load says nothing.
const TOLD_LOAD_MS: f64 = 1_500.0;

/// What is wanted of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
  /// The service.
  pub service: &'a str,
  /// The role; `None` takes any.
  pub role: Option<Role>,
  /// Size of the work: prompt tokens for engines, 1 for plain services.
  pub size: u64,
  /// Endpoints that were tried.
  pub tried: &'a [Name],
  /// The hall that is preferred.
  pub hall: &'a str,
  /// Whether the work may be repeated: only such work tries an endpoint that failed before.
  pub may_repeat: bool,
}

/// The endpoint that was chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
  /// The endpoint.
  pub entry: EndpointEntry,
  /// Work of this box and, as far as known, of others that is ahead.
  pub ahead: u64,
  /// How long the work is expected to take with what is ahead, at the pace that was seen; nothing before the
  /// first answer.
  pub expected_ms: Option<u64>,
  /// Whether it said just now that it is full, or failed: no other is left.
  pub left_alone: bool,
}

impl Choice {
  /// Part of such work that has to go elsewhere for the rest to be done within a time; 0 before the first answer.
  pub fn share_beyond(&self, limit_ms: f64) -> f64 {
    let Some(expected_ms) = self.expected_ms else {
      return 0.0;
    };
    (1.0 - limit_ms / expected_ms.max(1) as f64).max(0.0)
  }
}

/// How an endpoint's part of the work ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartEnd {
  /// It answered.
  Answered {
    /// From sending to the answer, or to its first part.
    took_ms: u64,
  },
  /// It answered with a failure of its own.
  Failed,
  /// It said that it is full.
  Full,
  /// It does not answer at all: it, or the path to its hall, is gone.
  Unreachable,
  /// It refused a connection, fell silent or broke off.
  Lost,
  /// This box no longer wanted the answer.
  Dropped,
}

/// What is known of one endpoint.
#[derive(Debug)]
struct Known {
  entry: EndpointEntry,
  /// Set when its entry went while the store was away: until then it may come back.
  lapses_ms: Option<u64>,
  /// This box's requests there.
  requests: u32,
  /// Their size.
  size: u64,
  /// The load that it told with its last answer.
  told: Option<Told>,
  /// Losses since its last answer.
  lost_in_row: u32,
  avoid_until_ms: u64,
  /// Moving share of its answers that were failures, from 0 to 1.
  failure_share: f64,
  /// Moving time for each unit of work.
  pace_ms: Option<f64>,
}

/// An endpoint's word on its load.
#[derive(Clone, Copy, Debug)]
struct Told {
  /// Requests there beyond this box's own.
  others: u32,
  at_ms: u64,
}

impl Known {
  fn new(entry: EndpointEntry) -> Self {
    Self {
      avoid_until_ms: 0,
      entry,
      failure_share: 0.0,
      lapses_ms: None,
      lost_in_row: 0,
      pace_ms: None,
      requests: 0,
      size: 0,
      told: None,
    }
  }

  /// Requests of other boxes, as far as the endpoint's word still holds.
  fn others(&self, now_ms: u64) -> f64 {
    let Some(told) = self.told else { return 0.0 };
    let age_ms = now_ms.saturating_sub(told.at_ms) as f64;
    f64::from(told.others) * (1.0 - age_ms / TOLD_LOAD_MS).max(0.0)
  }

  /// An endpoint that was lost gets one request at a time until it answers.
  fn is_on_trial(&self) -> bool {
    self.lost_in_row > 0
  }

  fn note_end(&mut self, units: u64, end: PartEnd, now_ms: u64) {
    match end {
      PartEnd::Answered { took_ms } => {
        self.lost_in_row = 0;
        self.note_failure_share(false);
        let pace_ms = took_ms as f64 / units.max(1) as f64;
        let before = self.pace_ms.unwrap_or(pace_ms);
        self.pace_ms = Some(before + NEWEST_WEIGHT * (pace_ms - before));
      }
      PartEnd::Failed => self.note_failure_share(true),
      PartEnd::Full => self.avoid_until_ms = self.avoid_until_ms.max(now_ms + FULL_AVOID_MS),
      PartEnd::Lost | PartEnd::Unreachable => {
        self.note_failure_share(true);
        self.lost(now_ms);
      }
      PartEnd::Dropped => {}
    }
  }

  /// Leaves the endpoint alone, longer with each loss in a row.
  fn lost(&mut self, now_ms: u64) {
    // Four doublings are above the bound already.
    let doubled = FIRST_AVOID_MS << self.lost_in_row.min(4);
    self.lost_in_row += 1;
    self.avoid_until_ms = now_ms + doubled.min(MOST_AVOID_MS);
  }

  fn note_failure_share(&mut self, failed: bool) {
    let newest = f64::from(u8::from(failed));
    self.failure_share += NEWEST_WEIGHT * (newest - self.failure_share);
  }

  /// The order of preference before all cost: sound, on trial, left alone, in a hall that is cut off; each
  /// with those whose entry lapsed behind the others.
  fn rank(&self, wanted: Wanted, hall_is_cut: bool, now_ms: u64) -> u8 {
    let lapsed = u8::from(self.lapses_ms.is_some());
    if hall_is_cut {
      return 6 + lapsed;
    }
    if now_ms < self.avoid_until_ms {
      return 4 + lapsed;
    }
    if self.is_on_trial() && (!wanted.may_repeat || self.requests > 0) {
      return 2 + lapsed;
    }
    lapsed
  }

  /// Work that is ahead of new work of a size; others' requests count as of the same size.
  fn ahead(&self, size: u64, now_ms: u64) -> f64 {
    self.size as f64 + self.others(now_ms) * size as f64
  }

  /// How long work of a size is expected to take; nothing before the first answer.
  fn expected_ms(&self, size: u64, now_ms: u64) -> Option<u64> {
    let work = self.ahead(size, now_ms) + size as f64;
    Some((self.pace_ms? * work) as u64)
  }

  /// How long the work is expected to take, in no unit: it is compared only.
  fn cost(&self, wanted: Wanted, peers: Peers, now_ms: u64) -> f64 {
    let surplus = (self.failure_share - peers.failure_share).max(0.0);
    let speed = match self.pace_ms {
      Some(pace_ms) if peers.pace_ms > 0.0 => {
        (pace_ms / peers.pace_ms).clamp(SPEED_RANGE.0, SPEED_RANGE.1)
      }
      _ => 1.0,
    };
    let hall = if &*self.entry.hall == wanted.hall {
      1.0
    } else {
      OTHER_HALL_FACTOR
    };
    let work = self.ahead(wanted.size, now_ms) + wanted.size as f64;
    work * speed * hall * (1.0 + FAILURE_PENALTY * surplus)
  }
}

/// The endpoints by incarnation.
#[derive(Debug, Default)]
pub struct EndpointBook {
  known: HashMap<Name, Known>,
  halls: HashMap<Name, HallReach>,
}

/// Whether a hall seems to be cut off.
#[derive(Debug, Default)]
struct HallReach {
  /// Endpoints there that did not answer at all, since one last did.
  unreachable: HashSet<Name>,
  /// When one last did not.
  noted_ms: u64,
}

impl HallReach {
  fn note(&mut self, endpoint: &Name, end: PartEnd, now_ms: u64) {
    match end {
      PartEnd::Answered { .. } | PartEnd::Failed | PartEnd::Full => self.unreachable.clear(),
      PartEnd::Unreachable => {
        self.unreachable.insert(endpoint.clone());
        self.noted_ms = now_ms;
      }
      PartEnd::Lost | PartEnd::Dropped => {}
    }
  }

  fn is_cut(&self, now_ms: u64) -> bool {
    self.unreachable.len() >= CUT_ENDPOINTS && now_ms < self.noted_ms + CUT_MS
  }
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

/// What is usual among the candidates.
#[derive(Clone, Copy, Debug)]
struct Peers {
  failure_share: f64,
  pace_ms: f64,
}

impl Peers {
  fn of(candidates: &[&Known]) -> Self {
    let count = candidates.len().max(1) as f64;
    let failure_share = candidates
      .iter()
      .map(|known| known.failure_share)
      .sum::<f64>()
      / count;
    let paces: Vec<f64> = candidates
      .iter()
      .filter_map(|known| known.pace_ms)
      .collect();
    let pace_ms = paces.iter().sum::<f64>() / paces.len().max(1) as f64;
    Self {
      failure_share,
      pace_ms,
    }
  }
}
