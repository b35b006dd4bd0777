//! State shared by all egress tasks.

use {
  super::endpoint_client::EndpointClient,
  crate::{
    decide::{Event, StageOutcome, StageReport},
    ids::{AttemptId, Name},
    observe::Observer,
    ring::Sender,
    settings::{Limits, Targets},
  },
  std::{collections::BTreeMap, time::Duration},
  tokio::time::Instant,
};

/// State shared by all egress tasks.
pub(super) struct EgressContext {
  pub(super) clients: BTreeMap<Name, EndpointClient>,
  pub(super) limits: Limits,
  pub(super) targets: Targets,
  pub(super) observer: Observer,
  pub(super) started: Instant,
  pub(super) to_decide: Sender<Event>,
}

impl EgressContext {
  pub(super) fn client(&self, endpoint: &Name) -> Option<EndpointClient> {
    self.clients.get(endpoint).cloned()
  }

  pub(super) async fn report(&self, attempt: AttemptId, endpoint: Name, outcome: StageOutcome) {
    let report = StageReport {
      attempt,
      endpoint,
      outcome,
    };
    self.to_decide.send(Event::Stage(report)).await;
  }

  pub(super) fn stall_timeout(&self) -> Duration {
    Duration::from_millis(self.limits.stall_ms)
  }

  /// Milliseconds since this box started.
  pub(super) fn now_ms(&self) -> u64 {
    u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
  }
}
