//! What a box knows of the permits at endpoints that name limits, from its own questions for them. Free of I/O.
//!
//! Load pattern: a box has a fraction of a request a second for an endpoint, or all callers come by this one box. It asks for as
//! many permits as it used lately in a short time, asks none where it was told to wait, and lets an endpoint be chosen only
//! where there may be a permit.

use {
  super::{permit_account::PermitVerdict, recent_usage::RecentUsage},
  crate::ids::Name,
  std::collections::HashMap,
};

/// For so long a permit is good that was given for a request to come; one question serves as many requests as came in such a time.
const PERMIT_VALIDITY_MS: u64 = 250;
/// The most permits in one question.
const MAX_PERMITS_PER_REQUEST: u32 = 64;
/// What is known of an endpoint is forgotten after so long without a question.
const MAX_IDLE_MS: u64 = 60_000;

/// What a box makes of a request for an endpoint by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LocalPermitVerdict {
  /// It has a permit left.
  Granted,
  /// There is none for so long.
  Refused {
    /// Time until it may ask again.
    wait_ms: u64,
  },
  /// The box that counts has to be asked for so many.
  Ask {
    /// Permits that it could use soon.
    permits: u32,
    /// Permits that it was given and has not used in time.
    unused: u32,
  },
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointPermits {
  /// Until then there is no permit.
  blocked_until_ms: u64,
  /// Permits that were given beyond those used.
  spare: u32,
  spare_until_ms: u64,
  /// Requests of late, for which a permit was looked for.
  demand: RecentUsage,
  last_request_ms: u64,
}

impl EndpointPermits {
  fn has_spare(&self, now_ms: u64) -> bool {
    self.spare > 0 && now_ms < self.spare_until_ms
  }

  /// How long there is no permit; of several questions one may have brought some, and the next one none.
  fn blocked_for_ms(&self, now_ms: u64) -> u64 {
    if self.has_spare(now_ms) {
      return 0;
    }
    self.blocked_until_ms.saturating_sub(now_ms)
  }
}

/// The endpoints' by_endpoint, by id.
#[derive(Debug, Default)]
pub struct LocalPermits {
  by_endpoint: HashMap<Name, EndpointPermits>,
}

impl LocalPermits {
  /// How long there is no permit at an endpoint; 0 when there may be one.
  pub fn blocked_for_ms(&self, id: &str, now_ms: u64) -> u64 {
    let permits_here = self.by_endpoint.get(id);
    permits_here.map_or(0, |permits_here| permits_here.blocked_for_ms(now_ms))
  }

  /// Takes a permit for a request, if this box has one left.
  pub fn acquire(&mut self, id: &Name, now_ms: u64) -> LocalPermitVerdict {
    let permits_here = self.by_endpoint.entry(id.clone()).or_default();
    permits_here.last_request_ms = now_ms;
    let wait_ms = permits_here.blocked_for_ms(now_ms);
    if wait_ms > 0 {
      return LocalPermitVerdict::Refused { wait_ms };
    }
    permits_here.demand.record(1.0, now_ms);
    if permits_here.has_spare(now_ms) {
      permits_here.spare -= 1;
      return LocalPermitVerdict::Granted;
    }
    let soon = permits_here.demand.per_s(now_ms) * PERMIT_VALIDITY_MS as f64 / 1_000.0;
    LocalPermitVerdict::Ask {
      permits: (soon as u32).clamp(1, MAX_PERMITS_PER_REQUEST),
      unused: std::mem::take(&mut permits_here.spare),
    }
  }

  /// Takes over what became of a question; whether this box has a permit now.
  pub fn record_verdict(&mut self, id: &Name, verdict: PermitVerdict, now_ms: u64) -> bool {
    let permits_here = self.by_endpoint.entry(id.clone()).or_default();
    match verdict {
      PermitVerdict::Granted(permits) => {
        permits_here.spare += permits.saturating_sub(1);
        permits_here.spare_until_ms = now_ms + PERMIT_VALIDITY_MS;
        true
      }
      PermitVerdict::Refused { wait_ms } => {
        permits_here.blocked_until_ms = now_ms + wait_ms;
        false
      }
    }
  }

  /// A permit was not used: the endpoint never saw the request.
  pub fn return_unused(&mut self, id: &str, now_ms: u64) {
    if let Some(permits_here) = self.by_endpoint.get_mut(id) {
      permits_here.spare += 1;
      permits_here.spare_until_ms = now_ms + PERMIT_VALIDITY_MS;
    }
  }

  /// An endpoint names no limit any more.
  pub fn reset(&mut self, id: &str) {
    self.by_endpoint.remove(id);
  }

  /// Forgets what nobody asked for any more.
  pub fn expire(&mut self, now_ms: u64) {
    self
      .by_endpoint
      .retain(|_, permits_here| now_ms < permits_here.last_request_ms + MAX_IDLE_MS);
  }
}
