//! Whether what a bound on time concerns was left undisturbed.

use super::{
  disturbance::{Disturbance, Target},
  records::{PlannedStop, Records, RequestRecord},
};

/// Time without trouble after which a box counts as connected (the users' bound on contact).
pub(crate) const CONTACT_MS: u64 = 3_000;
/// A configuration is in force this soon after the store took it (the users' bound).
pub(crate) const CONFIGURATION_MS: u64 = 2_000;

impl Records {
  /// Whether nothing that a request met was disturbed from shortly before a time until another.
  pub(crate) fn is_request_undisturbed(
    &self,
    request: &RequestRecord,
    from_ms: u64,
    until_ms: u64,
  ) -> bool {
    self.is_undisturbed(from_ms, until_ms, |target| match target {
      Target::Box(index) | Target::Leaving(index) => index == request.box_index,
      Target::Endpoint(place) => request.runs.iter().any(|run| run.place == place),
      Target::Store | Target::StoreLink(_) => false,
    })
  }

  /// Whether a box itself was undisturbed from shortly before a time until another.
  pub(crate) fn is_box_undisturbed(&self, box_index: usize, from_ms: u64, until_ms: u64) -> bool {
    self.is_undisturbed(from_ms, until_ms, |target| match target {
      Target::Box(index) | Target::Leaving(index) => index == box_index,
      Target::Endpoint(_) | Target::Store | Target::StoreLink(_) => false,
    })
  }

  /// Whether an endpoint did not start again between two times.
  pub(crate) fn has_not_restarted(&self, incarnation: &str, from_ms: u64, until_ms: u64) -> bool {
    !self
      .starts
      .iter()
      .any(|start| start.incarnation == incarnation && (from_ms..=until_ms).contains(&start.at_ms))
  }

  /// Whether a box and its way to the store were undisturbed from shortly before a time until another.
  pub(crate) fn is_connected(&self, box_index: usize, from_ms: u64, until_ms: u64) -> bool {
    self.is_undisturbed(from_ms, until_ms, |target| match target {
      Target::Box(index) | Target::Leaving(index) | Target::StoreLink(index) => index == box_index,
      Target::Store => true,
      Target::Endpoint(_) => false,
    })
  }

  /// Whether nothing but planned stops disturbed a request.
  pub(crate) fn is_undisturbed_except_stops(&self, request: &RequestRecord) -> bool {
    let until_ms = request.ended_ms.unwrap_or(u64::MAX);
    self.is_undisturbed(request.sent_ms, until_ms, |target| match target {
      Target::Box(index) => index == request.box_index,
      // A stream that breaks at its endpoint may be cut on any day.
      Target::Endpoint(place) => request.runs.iter().any(|run| run.place == place),
      Target::Leaving(_) | Target::Store | Target::StoreLink(_) => false,
    })
  }

  /// Whether nothing but signals to stop struck a box while it stopped.
  pub(crate) fn is_stop_undisturbed(&self, stop: &PlannedStop) -> bool {
    self.is_undisturbed(stop.signalled_ms, stop.gone_ms, |target| {
      target == Target::Box(stop.box_index)
    })
  }

  /// Whether no disturbance of what is concerned lies within a time or shortly before it.
  fn is_undisturbed(&self, from_ms: u64, until_ms: u64, concerns: impl Fn(Target) -> bool) -> bool {
    !self
      .disturbances
      .iter()
      .any(|disturbance| concerns(disturbance.target) && overlaps(disturbance, from_ms, until_ms))
  }
}

/// Whether a disturbance lies within the time from shortly before `from_ms` to `until_ms`.
fn overlaps(disturbance: &Disturbance, from_ms: u64, until_ms: u64) -> bool {
  let ended_ms = disturbance.until_ms.unwrap_or(u64::MAX);
  disturbance.from_ms <= until_ms && ended_ms.saturating_add(CONTACT_MS) >= from_ms
}
