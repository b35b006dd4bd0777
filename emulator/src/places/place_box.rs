//! A box in a replay of places.

use {
  rillford::gateway::{EndpointLimits, PermitTable, TokenBucket, UsageTable},
  std::collections::HashSet,
};

/// A box.
pub(super) struct PlaceBox {
  pub(super) limits: EndpointLimits,
  pub(super) counted: PermitTable,
  pub(super) alone: PermitTable,
  /// Until then the box that counts is not asked.
  pub(super) unheard_until_ms: u64,
  /// Questions that wait for an answer.
  pub(super) open: HashSet<u32>,
  /// Whether its list has the box that counts at first.
  pub(super) lists_counting: bool,
  pub(super) even: Option<TokenBucket>,
  pub(super) sums: UsageTable,
  /// When it was first told of the limit by the endpoint.
  pub(super) answered_ms: Option<u64>,
  pub(super) bytes: u64,
}

impl Default for PlaceBox {
  fn default() -> Self {
    Self {
      alone: PermitTable::default(),
      answered_ms: None,
      bytes: 0,
      counted: PermitTable::default(),
      even: None,
      limits: EndpointLimits::default(),
      lists_counting: true,
      open: HashSet::new(),
      sums: UsageTable::default(),
      unheard_until_ms: 0,
    }
  }
}
