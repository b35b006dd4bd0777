//! What a box knows of one endpoint, from its own requests there.

use {
  super::choice::{PartEnd, Wanted},
  crate::gateway::edge::EndpointEntry,
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
/// Bounds on how much faster or slower than its peers an endpoint is taken to be.
const SPEED_RANGE: (f64, f64) = (0.5, 6.0);
/// Where endpoints on trial stand in the order of preference.
pub(super) const ON_TRIAL_RANK: u8 = 2;
/// After this time an endpoint's word on its load says nothing.
const TOLD_LOAD_MS: f64 = 1_500.0;

/// What is known of one endpoint.
#[derive(Debug)]
pub(super) struct Known {
  pub(super) entry: EndpointEntry,
  /// Set when its entry went while the store was away: until then it may come back.
  pub(super) lapses_ms: Option<u64>,
  /// This box's requests there.
  pub(super) requests: u32,
  /// Their size.
  pub(super) size: u64,
  /// The load that it told with its last answer.
  pub(super) told: Option<Told>,
  /// Losses since its last answer.
  pub(super) lost_in_row: u32,
  pub(super) avoid_until_ms: u64,
  /// Moving share of its answers that were failures, from 0 to 1.
  pub(super) failure_share: f64,
  /// Moving time for each unit of work.
  pub(super) pace_ms: Option<f64>,
}

/// An endpoint's word on its load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Told {
  /// Requests there beyond this box's own.
  pub(super) others: u32,
  pub(super) at_ms: u64,
}

impl Known {
  pub(super) fn new(entry: EndpointEntry) -> Self {
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
  pub(super) fn others(&self, now_ms: u64) -> f64 {
    let Some(told) = self.told else { return 0.0 };
    let age_ms = now_ms.saturating_sub(told.at_ms) as f64;
    f64::from(told.others) * (1.0 - age_ms / TOLD_LOAD_MS).max(0.0)
  }

  /// An endpoint that was lost gets one request at a time until it answers.
  pub(super) fn is_on_trial(&self) -> bool {
    self.lost_in_row > 0
  }

  pub(super) fn note_end(&mut self, units: u64, end: PartEnd, now_ms: u64) {
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
  pub(super) fn lost(&mut self, now_ms: u64) {
    // Four doublings are above the bound already.
    let doubled = FIRST_AVOID_MS << self.lost_in_row.min(4);
    self.lost_in_row += 1;
    self.avoid_until_ms = now_ms + doubled.min(MOST_AVOID_MS);
  }

  pub(super) fn note_failure_share(&mut self, failed: bool) {
    let newest = f64::from(u8::from(failed));
    self.failure_share += NEWEST_WEIGHT * (newest - self.failure_share);
  }

  /// The order of preference before all cost: sound, on trial, left alone, in a hall that is cut off; each
  /// with those whose entry lapsed behind the others.
  pub(super) fn rank(&self, wanted: Wanted, hall_is_cut: bool, now_ms: u64) -> u8 {
    let lapsed = u8::from(self.lapses_ms.is_some());
    if hall_is_cut {
      return 6 + lapsed;
    }
    if now_ms < self.avoid_until_ms {
      return 4 + lapsed;
    }
    if self.is_on_trial() && (!wanted.may_retry || self.requests > 0) {
      return ON_TRIAL_RANK + lapsed;
    }
    lapsed
  }

  /// Work that is ahead of new work of a size; others' requests count as of the same size.
  pub(super) fn ahead(&self, size: u64, now_ms: u64) -> f64 {
    self.size as f64 + self.others(now_ms) * size as f64
  }

  /// How long work of a size is expected to take; nothing before the first answer.
  pub(super) fn expected_ms(&self, size: u64, now_ms: u64) -> Option<u64> {
    let work = self.ahead(size, now_ms) + size as f64;
    Some((self.pace_ms? * work) as u64)
  }

  /// How long the work is expected to take, in no unit: it is compared only.
  pub(super) fn cost(&self, wanted: Wanted, peers: Peers, now_ms: u64) -> f64 {
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

/// What is usual among the candidates.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peers {
  failure_share: f64,
  pace_ms: f64,
}

impl Peers {
  pub(super) fn of(candidates: &[&Known]) -> Self {
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
