//! Usage that another coordinator has reported. Free of I/O.

use {super::recent_usage::RecentUsage, crate::ids::Name, std::collections::HashMap};

/// A coordinator that was silent for this long counts as unreachable: several messages were due.
const SILENCE_TIMEOUT_MS: u64 = 600;

/// Another coordinator.
#[derive(Clone, Debug)]
pub(super) struct Peer {
  pub(super) incarnation: u64,
  pub(super) last_contact_ms: u64,
  /// Boxes that report to it.
  pub(super) reporters: usize,
  /// Whether it is still a coordinator; silence of any other box is ignored.
  pub(super) is_coordinator: bool,
  /// Whether its first totals are charged in full.
  is_charged_from_start: bool,
  used: HashMap<Name, PeerUsage>,
}

/// Its usage for one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct PeerUsage {
  total: i64,
  /// Units that it is assumed to have used since the last contact, and up to when.
  assumed: f64,
  assumed_to_ms: u64,
  recent: RecentUsage,
  /// Its share of the rate at the time of the last contact.
  share_when_silent: Option<f64>,
}

impl Peer {
  /// A box without any message so far.
  pub(super) fn new(incarnation: u64, is_charged_from_start: bool) -> Self {
    Self {
      is_charged_from_start,
      reporters: 0,
      last_contact_ms: 0,
      incarnation,
      is_coordinator: true,
      used: HashMap::new(),
    }
  }

  /// Whether it may be cut off and continue to admit requests.
  pub(super) fn is_unreachable(&self, now_ms: u64) -> bool {
    self.is_coordinator && self.is_silent(now_ms)
  }

  fn is_silent(&self, now_ms: u64) -> bool {
    now_ms > self.last_contact_ms + SILENCE_TIMEOUT_MS
  }

  /// Its recent usage for an organisation; for a silent box as of the last contact.
  pub(super) fn recent(&self, organisation: &str, now_ms: u64) -> f64 {
    let at_ms = if self.is_silent(now_ms) {
      self.last_contact_ms
    } else {
      now_ms
    };
    let used = self.used.get(organisation);
    used.map_or(0.0, |used| used.recent.units(at_ms))
  }

  /// Records a total; returns the units to charge beyond the assumed ones.
  pub(super) fn record_total(&mut self, organisation: &Name, total: i64, now_ms: u64) -> f64 {
    let is_charged = self.is_charged_from_start || self.used.contains_key(organisation);
    let used = self.used.entry(organisation.clone()).or_default();
    let units = if is_charged {
      (total - used.total) as f64
    } else {
      0.0
    };
    used.total = total;
    used.share_when_silent = None;
    used.recent.record(units, now_ms);
    units - std::mem::take(&mut used.assumed)
  }

  /// Assumes that it has continued since the last contact with its share of a rate, fixed when it fell silent; returns the
  /// units to charge.
  pub(super) fn assume(
    &mut self,
    organisation: &Name,
    share: f64,
    rate_per_s: f64,
    now_ms: u64,
  ) -> f64 {
    let used = self.used.entry(organisation.clone()).or_default();
    let from_ms = used.assumed_to_ms.max(self.last_contact_ms);
    let passed_s = now_ms.saturating_sub(from_ms) as f64 / 1_000.0;
    let units = rate_per_s * *used.share_when_silent.get_or_insert(share) * passed_s;
    used.assumed += units;
    used.assumed_to_ms = now_ms;
    units
  }
}
