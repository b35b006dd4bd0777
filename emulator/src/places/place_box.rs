//! A simulated box of the permit simulation.

use {
  rillford::gateway::{EndpointLimits, PermitTable, TokenBucket, UsageTable},
  std::collections::HashSet,
};

pub(super) struct PlaceBox {
  pub(super) limits: EndpointLimits,
  /// Permits that the box grants as the coordinator.
  pub(super) permit_table: PermitTable,
  /// Permits that the box grants itself while it is isolated from the coordinator.
  pub(super) isolated_permits: PermitTable,
  /// Time until which the box does not ask the coordinator, after a timeout.
  pub(super) unresponsive_until_ms: u64,
  /// Numbers of the permit requests that await a response.
  pub(super) pending: HashSet<u32>,
  /// Whether the box's list contains the original coordinator.
  pub(super) lists_coordinator: bool,
  /// Bucket of an even share of the limit.
  pub(super) even_share: Option<TokenBucket>,
  /// Totals that the boxes announce to each other.
  pub(super) usage_table: UsageTable,
  /// Time of the first response with the limit.
  pub(super) advertised_ms: Option<u64>,
  pub(super) bytes: u64,
}

impl Default for PlaceBox {
  fn default() -> Self {
    Self {
      advertised_ms: None,
      bytes: 0,
      even_share: None,
      isolated_permits: PermitTable::default(),
      limits: EndpointLimits::default(),
      lists_coordinator: true,
      pending: HashSet::new(),
      permit_table: PermitTable::default(),
      unresponsive_until_ms: 0,
      usage_table: UsageTable::default(),
    }
  }
}
