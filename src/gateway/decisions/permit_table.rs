//! The permits that a coordinator grants: an account for each endpoint that advertises a limit. Free of I/O.

use {
  super::{
    endpoint_incarnation::EndpointIncarnation,
    permit_account::{PermitAccount, PermitRequest, PermitVerdict},
  },
  crate::gateway::edge::UsageLimit,
  std::collections::HashMap,
};

/// An idle account is closed after this time: its bucket would be full, and starts empty again.
const MAX_IDLE_MS: u64 = 60_000;

/// Accounts by incarnation of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct PermitTable {
  accounts: HashMap<EndpointIncarnation, PermitAccount>,
}

impl PermitTable {
  /// Grants permits at an incarnation of an endpoint within a limit, or assigns the time to ask again.
  pub fn request(
    &mut self,
    incarnation: EndpointIncarnation,
    limit: UsageLimit,
    permit_request: &PermitRequest,
    now_ms: u64,
  ) -> PermitVerdict {
    let account = self
      .accounts
      .entry(incarnation)
      .or_insert_with(|| PermitAccount::new(limit, now_ms));
    account.set_limit(limit, now_ms);
    account.request(permit_request, now_ms)
  }

  /// Remaining permits at an incarnation of an endpoint; `None` without recent requests.
  pub fn remaining(&mut self, incarnation: EndpointIncarnation, now_ms: u64) -> Option<f64> {
    self
      .accounts
      .get_mut(&incarnation)
      .map(|account| account.remaining(now_ms))
  }

  /// Closes idle accounts.
  pub fn expire(&mut self, now_ms: u64) {
    self
      .accounts
      .retain(|_, account| now_ms < account.last_request_ms() + MAX_IDLE_MS);
  }
}
