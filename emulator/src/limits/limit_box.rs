//! A simulated box of the limits simulation.

use rillford::gateway::{LocalUsage, UsageTable};

#[derive(Default)]
pub(super) struct LimitBox {
  pub(super) usage_table: UsageTable,
  pub(super) local_usage: LocalUsage,
  pub(super) started_ms: u64,
  /// Consecutive sync rounds without usage to report.
  pub(super) idle_rounds: u32,
  /// Rounds in which the box announced totals as a coordinator.
  pub(super) rounds: u32,
  pub(super) messages: u32,
  pub(super) bytes: usize,
}
