//! Whether the components that a time bound depends on were undisturbed.

use super::{
  disturbance::{Disturbance, Target},
  records::{PlannedStop, Records, RequestRecord, Run},
};

/// Time without disturbances after which a box counts as connected.
pub(crate) const CONTACT_MS: u64 = 3_000;
/// Time in which a configuration must be applied after the store accepted it.
pub(crate) const CONFIGURATION_MS: u64 = 2_000;

impl RequestRecord {
  /// Whether another box sent the request to an endpoint.
  pub(crate) fn is_forwarded(&self) -> bool {
    self.runs.iter().any(|run| run.box_index != self.box_index)
  }
}

impl Run {
  /// Whether a disturbance of the component may end the run.
  fn depends_on(&self, target: Target) -> bool {
    target == Target::Endpoint(self.place)
      || target == Target::EndpointPath(self.box_index, self.place)
  }
}

impl Records {
  /// Whether the box and the endpoints of a request were undisturbed from `CONTACT_MS` before a time until another.
  pub(crate) fn is_request_undisturbed(
    &self,
    request: &RequestRecord,
    from_ms: u64,
    until_ms: u64,
  ) -> bool {
    self.is_box_undisturbed(request.box_index, from_ms, until_ms)
      && self.is_undisturbed(from_ms, until_ms, |target| {
        let mut runs = request.runs.iter();
        runs.any(|run| run.depends_on(target))
      })
  }

  /// Whether a box was undisturbed from `CONTACT_MS` before a time until another.
  pub(crate) fn is_box_undisturbed(&self, box_index: usize, from_ms: u64, until_ms: u64) -> bool {
    self.is_undisturbed(from_ms, until_ms, |target| match target {
      Target::Box(index) | Target::Leaving(index) | Target::EndpointPaths(index) => {
        index == box_index
      }
      _ => false,
    })
  }

  /// Whether an endpoint did not restart between two times.
  pub(crate) fn has_not_restarted(&self, incarnation: &str, from_ms: u64, until_ms: u64) -> bool {
    !self
      .starts
      .iter()
      .any(|start| start.incarnation == incarnation && (from_ms..=until_ms).contains(&start.at_ms))
  }

  /// Whether a box and its connection to the store were undisturbed from `CONTACT_MS` before a time until another.
  pub(crate) fn is_connected(&self, box_index: usize, from_ms: u64, until_ms: u64) -> bool {
    self.is_undisturbed(from_ms, until_ms, |target| match target {
      Target::Box(index) | Target::Leaving(index) | Target::StoreLink(index) => index == box_index,
      Target::Store => true,
      _ => false,
    })
  }

  /// Whether the connections of a box to other boxes were undisturbed from `CONTACT_MS` before a time until another.
  pub(crate) fn is_in_touch(&self, box_index: usize, from_ms: u64, until_ms: u64) -> bool {
    self.is_undisturbed(from_ms, until_ms, |target| {
      target == Target::BoxPaths(box_index)
    })
  }

  /// Whether the process of a box was undisturbed from `CONTACT_MS` before a time until another.
  pub(crate) fn is_process_undisturbed(
    &self,
    box_index: usize,
    from_ms: u64,
    until_ms: u64,
  ) -> bool {
    self.is_undisturbed(from_ms, until_ms, |target| match target {
      Target::Box(index) | Target::Leaving(index) => index == box_index,
      _ => false,
    })
  }

  /// Whether planned stops were the only disturbances of a request.
  pub(crate) fn is_undisturbed_except_stops(&self, request: &RequestRecord) -> bool {
    let until_ms = request.ended_ms.unwrap_or(u64::MAX);
    self.is_undisturbed(request.sent_ms, until_ms, |target| match target {
      Target::Box(index) | Target::EndpointPaths(index) => index == request.box_index,
      Target::BoxPaths(index) => request.is_forwarded() && index == request.box_index,
      // A crash of the endpoint may cut a stream regardless of the planned stop.
      target => request.runs.iter().any(|run| run.depends_on(target)),
    })
  }

  /// Whether the endpoint of a run, and its box's connections to it, were undisturbed between two times. Silence is no
  /// disturbance.
  pub(crate) fn is_run_undisturbed(&self, run: &Run, from_ms: u64, until_ms: u64) -> bool {
    !self.disturbances.iter().any(|disturbance| {
      let ended_ms = disturbance.until_ms.unwrap_or(u64::MAX);
      run.depends_on(disturbance.target) && disturbance.from_ms <= until_ms && ended_ms >= from_ms
    })
  }

  /// Whether stop signals were the only disturbances of a box while it stopped.
  pub(crate) fn is_stop_undisturbed(&self, stop: &PlannedStop) -> bool {
    self.is_undisturbed(stop.signalled_ms, stop.exited_ms, |target| {
      target == Target::Box(stop.box_index) || target == Target::EndpointPaths(stop.box_index)
    })
  }

  /// Whether no disturbance of the selected components overlaps a period or the `CONTACT_MS` before it.
  fn is_undisturbed(&self, from_ms: u64, until_ms: u64, concerns: impl Fn(Target) -> bool) -> bool {
    !self
      .disturbances
      .iter()
      .any(|disturbance| concerns(disturbance.target) && overlaps(disturbance, from_ms, until_ms))
  }
}

/// Whether a disturbance overlaps the period from `CONTACT_MS` before `from_ms` to `until_ms`.
fn overlaps(disturbance: &Disturbance, from_ms: u64, until_ms: u64) -> bool {
  let ended_ms = disturbance.until_ms.unwrap_or(u64::MAX);
  disturbance.from_ms <= until_ms && ended_ms.saturating_add(CONTACT_MS) >= from_ms
}
