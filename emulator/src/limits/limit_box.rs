//! A box in a replay of limits.

use rillford::gateway::{LocalUsage, UsageTable};

/// A box.
#[derive(Default)]
pub(super) struct LimitBox {
  pub(super) book: UsageTable,
  pub(super) ledger: LocalUsage,
  pub(super) started_ms: u64,
  pub(super) idle_turns: u32,
  pub(super) turns: u32,
  pub(super) messages: u32,
  pub(super) bytes: usize,
}
