//! A box's permits at endpoints that advertise limits, as granted by coordinators. Free of I/O.
//!
//! Load pattern: a box gets a fraction of a request per second for an endpoint, or all callers use this one box. It asks for
//! as many permits as it used recently in a short time, does not ask again before the time it was given, and lets an
//! endpoint be chosen only while a permit may be available.

use {
  super::{permit_account::PermitVerdict, recent_usage::RecentUsage},
  crate::ids::Name,
  std::collections::HashMap,
};

/// Time for which a permit stays valid that was granted for a later request; one request for permits covers this time.
const PERMIT_VALIDITY_MS: u64 = 250;
const MAX_PERMITS_PER_REQUEST: u32 = 64;
/// The state of an endpoint is evicted after this time without a request.
const MAX_IDLE_MS: u64 = 60_000;

/// What a box decides on a request for an endpoint from its local state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LocalPermitVerdict {
  /// It has a permit.
  Granted,
  /// No permit is available.
  Rejected {
    /// Time until the box may ask again.
    wait_ms: u64,
  },
  /// The coordinator has to be asked for permits.
  Ask {
    /// Permits that the box could use soon.
    permits: u32,
    /// Permits that expired unused.
    unused: u32,
  },
}

/// The permits at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointPermits {
  /// No permit is available until then.
  blocked_until_ms: u64,
  /// Permits that were granted and not used yet.
  spare: u32,
  spare_until_ms: u64,
  /// Recent requests that needed a permit.
  demand: RecentUsage,
  last_request_ms: u64,
}

impl EndpointPermits {
  fn has_spare(&self, now_ms: u64) -> bool {
    self.spare > 0 && now_ms < self.spare_until_ms
  }

  /// How long no permit is available. Of several concurrent requests for permits one may have been granted and a later one
  /// not.
  fn blocked_for_ms(&self, now_ms: u64) -> u64 {
    if self.has_spare(now_ms) {
      return 0;
    }
    self.blocked_until_ms.saturating_sub(now_ms)
  }
}

/// This box's permits by endpoint id.
#[derive(Debug, Default)]
pub struct LocalPermits {
  by_endpoint: HashMap<Name, EndpointPermits>,
}

impl LocalPermits {
  /// How long no permit is available at an endpoint; 0 when one may be.
  pub fn blocked_for_ms(&self, id: &str, now_ms: u64) -> u64 {
    let state = self.by_endpoint.get(id);
    state.map_or(0, |state| state.blocked_for_ms(now_ms))
  }

  /// Takes a permit for a request if this box has one.
  pub fn acquire(&mut self, id: &Name, now_ms: u64) -> LocalPermitVerdict {
    let state = self.by_endpoint.entry(id.clone()).or_default();
    state.last_request_ms = now_ms;
    let wait_ms = state.blocked_for_ms(now_ms);
    if wait_ms > 0 {
      return LocalPermitVerdict::Rejected { wait_ms };
    }
    state.demand.record(1.0, now_ms);
    if state.has_spare(now_ms) {
      state.spare -= 1;
      return LocalPermitVerdict::Granted;
    }
    let soon = state.demand.per_s(now_ms) * PERMIT_VALIDITY_MS as f64 / 1_000.0;
    LocalPermitVerdict::Ask {
      permits: (soon as u32).clamp(1, MAX_PERMITS_PER_REQUEST),
      unused: std::mem::take(&mut state.spare),
    }
  }

  /// Records the verdict on a request for permits; whether this box has a permit now.
  pub fn record_verdict(&mut self, id: &Name, verdict: PermitVerdict, now_ms: u64) -> bool {
    let state = self.by_endpoint.entry(id.clone()).or_default();
    match verdict {
      PermitVerdict::Granted(permits) => {
        state.spare += permits.saturating_sub(1);
        state.spare_until_ms = now_ms + PERMIT_VALIDITY_MS;
        true
      }
      PermitVerdict::Rejected { wait_ms } => {
        state.blocked_until_ms = now_ms + wait_ms;
        false
      }
    }
  }

  /// Returns a permit that was not used, since the endpoint never saw the request.
  pub fn return_unused(&mut self, id: &str, now_ms: u64) {
    if let Some(state) = self.by_endpoint.get_mut(id) {
      state.spare += 1;
      state.spare_until_ms = now_ms + PERMIT_VALIDITY_MS;
    }
  }

  /// Removes the state of an endpoint whose limit has changed.
  pub fn reset(&mut self, id: &str) {
    self.by_endpoint.remove(id);
  }

  /// Evicts the state of idle endpoints.
  pub fn expire(&mut self, now_ms: u64) {
    self
      .by_endpoint
      .retain(|_, state| now_ms < state.last_request_ms + MAX_IDLE_MS);
  }
}
