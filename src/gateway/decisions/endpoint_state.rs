//! What a box knows of one endpoint, from its own requests there.

use {
  super::{
    choice::{AttemptOutcome, EndpointCriteria},
    displacement::Displacement,
    processes::ReportedStart,
  },
  crate::gateway::edge::EndpointEntry,
};

/// First backoff after a loss; doubled with each further loss in a row.
const MIN_BACKOFF_MS: u64 = 700;
/// Longest backoff after losses: a crashed endpoint restarts within seconds.
const MAX_BACKOFF_MS: u64 = 4_000;
/// Backoff after an endpoint reported that it is full.
const FULL_BACKOFF_MS: u64 = 120;
/// Weight of the newest response in the moving averages.
const NEWEST_WEIGHT: f64 = 0.12;
/// How much an endpoint's cost grows with its excess of failures over its peers.
const FAILURE_PENALTY: f64 = 12.0;
/// Cost factor of endpoints in other halls: traffic between halls is billed, and network cuts between them break streams.
const OTHER_HALL_FACTOR: f64 = 2.0;
/// Bounds of an endpoint's time per unit relative to its peers'.
const SPEED_RANGE: (f64, f64) = (0.5, 6.0);
/// Rank of half-open endpoints.
pub(super) const PROBE_RANK: u8 = 2;
/// Time over which a reported load fades out.
const LOAD_VALIDITY_MS: f64 = 1_500.0;
/// Time over which a reported slowdown fades out: the usual period of its changes.
const SLOWDOWN_VALIDITY_MS: f64 = 600.0;
/// Bounds of a reported slowdown, so that one wrong figure neither attracts all requests nor excludes an endpoint.
const SLOWDOWN_RANGE_PERCENT: (u32, u32) = (50, 1_000);

/// The state of one endpoint.
#[derive(Debug)]
pub(super) struct EndpointState {
  pub(super) entry: EndpointEntry,
  /// Set when its entry was missing after an outage of the store: kept until then.
  pub(super) lapses_at_ms: Option<u64>,
  /// Whether another endpoint has its address.
  pub(super) displacement: Displacement,
  /// This box's requests in flight there.
  pub(super) requests: u32,
  /// Their size.
  pub(super) size: u64,
  /// The load that it reported last.
  pub(super) reported_load: Option<ReportedLoad>,
  /// What its reports say of its start.
  pub(super) reported_start: ReportedStart,
  /// The slowdown of its machine that it reported last.
  pub(super) reported_slowdown: Option<ReportedSlowdown>,
  /// Losses since its last response.
  pub(super) consecutive_losses: u32,
  pub(super) backoff_until_ms: u64,
  /// Moving share of failed responses, from 0 to 1.
  pub(super) failure_share: f64,
  /// Moving average of the time per unit of work.
  pub(super) ms_per_unit: Option<f64>,
}

/// A load that an endpoint reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
  /// Requests there of other boxes.
  pub(super) other_requests: u32,
  pub(super) at_ms: u64,
}

/// A slowdown that an endpoint reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedSlowdown {
  /// Duration of work in percent of the usual duration.
  percent: u32,
  at_ms: u64,
}

impl ReportedSlowdown {
  /// A reported slowdown, bounded.
  pub(super) fn new(percent: u32, at_ms: u64) -> Self {
    let (min, max) = SLOWDOWN_RANGE_PERCENT;
    Self {
      at_ms,
      percent: percent.clamp(min, max),
    }
  }

  /// The factor on the duration of work; it decays to 1 with the age of the report.
  fn factor(self, now_ms: u64) -> f64 {
    let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
    let remaining = (1.0 - age_ms / SLOWDOWN_VALIDITY_MS).max(0.0);
    1.0 + (f64::from(self.percent) / 100.0 - 1.0) * remaining
  }
}

impl EndpointState {
  pub(super) fn new(entry: EndpointEntry) -> Self {
    Self {
      backoff_until_ms: 0,
      displacement: Displacement::None,
      entry,
      failure_share: 0.0,
      lapses_at_ms: None,
      consecutive_losses: 0,
      ms_per_unit: None,
      requests: 0,
      size: 0,
      reported_load: None,
      reported_start: ReportedStart::default(),
      reported_slowdown: None,
    }
  }

  /// Estimated requests of other boxes; the reported number fades out with its age.
  pub(super) fn other_requests(&self, now_ms: u64) -> f64 {
    let Some(load) = self.reported_load else {
      return 0.0;
    };
    let age_ms = now_ms.saturating_sub(load.at_ms) as f64;
    f64::from(load.other_requests) * (1.0 - age_ms / LOAD_VALIDITY_MS).max(0.0)
  }

  /// The current factor on the duration of work; 1 when it reports no slowdown.
  pub(super) fn slowdown(&self, now_ms: u64) -> f64 {
    self
      .reported_slowdown
      .map_or(1.0, |slowdown| slowdown.factor(now_ms))
  }

  /// Whether it gets one request at a time until it answers, since it was lost.
  pub(super) fn is_half_open(&self) -> bool {
    self.consecutive_losses > 0
  }

  pub(super) fn record_outcome(&mut self, units: u64, outcome: AttemptOutcome, now_ms: u64) {
    match outcome {
      AttemptOutcome::Answered { took_ms } => {
        self.consecutive_losses = 0;
        self.record_failure_share(false);
        let ms_per_unit = took_ms as f64 / units.max(1) as f64;
        let before = self.ms_per_unit.unwrap_or(ms_per_unit);
        self.ms_per_unit = Some(before + NEWEST_WEIGHT * (ms_per_unit - before));
      }
      AttemptOutcome::Failed => self.record_failure_share(true),
      AttemptOutcome::Full => {
        self.backoff_until_ms = self.backoff_until_ms.max(now_ms + FULL_BACKOFF_MS)
      }
      AttemptOutcome::Lost | AttemptOutcome::Unreachable => {
        self.record_failure_share(true);
        self.record_loss(now_ms);
      }
      AttemptOutcome::Cancelled => {}
    }
  }

  /// Backs off, longer with each loss in a row.
  pub(super) fn record_loss(&mut self, now_ms: u64) {
    // Four doublings exceed the maximum.
    let doubled = MIN_BACKOFF_MS << self.consecutive_losses.min(4);
    self.consecutive_losses += 1;
    self.backoff_until_ms = now_ms + doubled.min(MAX_BACKOFF_MS);
  }

  /// Ends the backoff after losses.
  pub(super) fn forget_losses(&mut self) {
    self.consecutive_losses = 0;
    self.backoff_until_ms = 0;
  }

  /// Ends a displacement, and forgets the failures at the former address, which were another endpoint's.
  pub(super) fn end_displacement(&mut self) {
    if matches!(self.displacement, Displacement::Confirmed { .. }) {
      self.forget_losses();
      self.failure_share = 0.0;
    }
    self.displacement = Displacement::None;
  }

  pub(super) fn record_failure_share(&mut self, failed: bool) {
    let newest = f64::from(u8::from(failed));
    self.failure_share += NEWEST_WEIGHT * (newest - self.failure_share);
  }

  /// The order of preference before cost: healthy, half-open, backing off, in an unreachable hall; in each group endpoints
  /// with lapsed entries come last.
  pub(super) fn rank(
    &self,
    criteria: EndpointCriteria,
    is_hall_unreachable: bool,
    now_ms: u64,
  ) -> u8 {
    let lapsed = u8::from(self.lapses_at_ms.is_some());
    if is_hall_unreachable {
      return 6 + lapsed;
    }
    if now_ms < self.backoff_until_ms {
      return 4 + lapsed;
    }
    if self.is_half_open() && (!criteria.is_retryable || self.requests > 0) {
      return PROBE_RANK + lapsed;
    }
    lapsed
  }

  /// Work queued ahead of new work of a size; requests of other boxes count as of the same size.
  pub(super) fn queued_ahead(&self, size: u64, now_ms: u64) -> f64 {
    self.size as f64 + self.other_requests(now_ms) * size as f64
  }

  /// How long work of a size is expected to take; `None` before the first response.
  pub(super) fn expected_ms(&self, size: u64, now_ms: u64) -> Option<u64> {
    let work = self.queued_ahead(size, now_ms) + size as f64;
    Some((self.ms_per_unit? * work) as u64)
  }

  /// Relative cost of the work, to compare endpoints by.
  pub(super) fn cost(&self, criteria: EndpointCriteria, peers: PeerAverages, now_ms: u64) -> f64 {
    let excess = (self.failure_share - peers.failure_share).max(0.0);
    let speed = match self.ms_per_unit {
      Some(ms_per_unit) if peers.ms_per_unit > 0.0 => {
        (ms_per_unit / peers.ms_per_unit).clamp(SPEED_RANGE.0, SPEED_RANGE.1)
      }
      _ => 1.0,
    };
    let hall = if &*self.entry.hall == criteria.hall {
      1.0
    } else {
      OTHER_HALL_FACTOR
    };
    let work = self.queued_ahead(criteria.size, now_ms) + criteria.size as f64;
    work * speed * hall * (1.0 + FAILURE_PENALTY * excess) * self.slowdown(now_ms)
  }
}

/// Averages over the candidates.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerAverages {
  failure_share: f64,
  ms_per_unit: f64,
}

impl PeerAverages {
  pub(super) fn of(candidates: &[&EndpointState]) -> Self {
    let count = candidates.len().max(1) as f64;
    let failure_share = candidates
      .iter()
      .map(|endpoint| endpoint.failure_share)
      .sum::<f64>()
      / count;
    let unit_times: Vec<f64> = candidates
      .iter()
      .filter_map(|endpoint| endpoint.ms_per_unit)
      .collect();
    let ms_per_unit = unit_times.iter().sum::<f64>() / unit_times.len().max(1) as f64;
    Self {
      failure_share,
      ms_per_unit,
    }
  }
}
