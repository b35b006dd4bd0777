//! The permits that a box gives out: an account for each endpoint that names a limit. Free of I/O.

use {
  super::{
    endpoint_incarnation::EndpointIncarnation,
    permit_account::{PermitAccount, PermitRequest, PermitVerdict},
  },
  crate::gateway::edge::UseLimit,
  std::collections::HashMap,
};

/// An account that nobody asked for so long is closed: its bucket would be full, and begins without a permit again.
const MAX_IDLE_MS: u64 = 60_000;

/// Accounts by endpoint's life.
#[derive(Clone, Debug, Default)]
pub struct PermitTable {
  accounts: HashMap<EndpointIncarnation, PermitAccount>,
}

impl PermitTable {
  /// Gives out permits at a life of an endpoint within a limit, or says when to ask again.
  pub fn request(
    &mut self,
    life: EndpointIncarnation,
    limit: UseLimit,
    permit_request: &PermitRequest,
    now_ms: u64,
  ) -> PermitVerdict {
    let account = self
      .accounts
      .entry(life)
      .or_insert_with(|| PermitAccount::new(limit, now_ms));
    account.set_limit(limit, now_ms);
    account.request(permit_request, now_ms)
  }

  /// Permits that are left at a life of an endpoint; nothing where none were asked for lately.
  pub fn remaining(&mut self, life: EndpointIncarnation, now_ms: u64) -> Option<f64> {
    self
      .accounts
      .get_mut(&life)
      .map(|account| account.remaining(now_ms))
  }

  /// Closes the accounts that nobody asks any more.
  pub fn expire(&mut self, now_ms: u64) {
    self
      .accounts
      .retain(|_, account| now_ms < account.last_request_ms() + MAX_IDLE_MS);
  }
}
