//! The permits that a box gives out: an account for each endpoint that names a limit. Free of I/O.

use {
  super::{
    endpoint_life::EndpointLife,
    permit_account::{PermitAccount, PermitRequest, PermitVerdict},
  },
  crate::gateway::edge::UsageLimit,
  std::collections::HashMap,
};

/// An account that nobody asked for so long is closed: its bucket would be full, and begins without a permit again.
const MOST_IDLE_MS: u64 = 60_000;

/// Accounts by endpoint's life.
#[derive(Clone, Debug, Default)]
pub struct PermitBook {
  accounts: HashMap<EndpointLife, PermitAccount>,
}

impl PermitBook {
  /// Gives out permits at a life of an endpoint within a limit, or says when to ask again.
  pub fn ask(
    &mut self,
    life: EndpointLife,
    limit: UsageLimit,
    permit_request: &PermitRequest,
    now_ms: u64,
  ) -> PermitVerdict {
    let account = self
      .accounts
      .entry(life)
      .or_insert_with(|| PermitAccount::new(limit, now_ms));
    account.set_limit(limit, now_ms);
    account.ask(permit_request, now_ms)
  }

  /// Permits that are left at a life of an endpoint; nothing where none were asked for lately.
  pub fn left(&mut self, life: EndpointLife, now_ms: u64) -> Option<f64> {
    self
      .accounts
      .get_mut(&life)
      .map(|account| account.left(now_ms))
  }

  /// Closes the accounts that nobody asks any more.
  pub fn forget_old(&mut self, now_ms: u64) {
    self
      .accounts
      .retain(|_, account| now_ms < account.asked_ms() + MOST_IDLE_MS);
  }
}
