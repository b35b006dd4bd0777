//! A place that was requested, until what became of it is reported.

use {
  super::{coordination::Coordinator, reporting::report},
  crate::gateway::{
    decisions::{PlaceId, PlaceOutcome, PrefillGroup},
    state::{Gateway, PlaceReport},
  },
  std::rc::Rc,
};

/// Reports the outcome of a place when it is dropped: unused unless another outcome was set. It exists from the request on, since
/// the coordinator may have granted a place whose response is lost.
pub(super) struct PlaceGuard {
  pub(super) gateway: Rc<Gateway>,
  pub(super) coordinator: Coordinator,
  pub(super) group: PrefillGroup,
  id: PlaceId,
  /// `None` when there is nothing to report.
  outcome: Option<PlaceOutcome>,
}

impl PlaceGuard {
  /// A place that is about to be requested.
  pub(super) fn new(gateway: &Rc<Gateway>, coordinator: Coordinator, group: PrefillGroup) -> Self {
    Self {
      coordinator,
      gateway: gateway.clone(),
      group,
      id: PlaceId {
        box_incarnation: gateway.incarnation,
        sequence: gateway.prefill_queues.next_sequence(),
      },
      outcome: Some(PlaceOutcome::Unused),
    }
  }

  pub(super) fn id(&self) -> PlaceId {
    self.id
  }

  /// Sets the outcome.
  pub(super) fn settle(&mut self, outcome: PlaceOutcome) {
    self.outcome = Some(outcome);
  }

  /// The coordinator has certainly granted no place.
  pub(super) fn disarm(&mut self) {
    self.outcome = None;
  }
}

impl Drop for PlaceGuard {
  fn drop(&mut self) {
    if let Some(outcome) = self.outcome {
      let place_report = PlaceReport {
        id: self.id,
        outcome,
      };
      report(&self.gateway, &self.coordinator, &self.group, place_report);
    }
  }
}
