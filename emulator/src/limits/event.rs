//! What happens in a replay of limits.

use rillford::{gateway::UsageTotals, ids::Name};

/// What happens at a moment.
pub(super) enum Event {
  /// A request of an organisation comes.
  Arrives { organisation: usize },
  /// A box tells what it has to tell.
  Tells { from: usize },
  /// A box that counts hears another's totals.
  HearsTotals { at: usize, totals: UsageTotals },
  /// A box that counts hears a report.
  HearsReport {
    at: usize,
    from: usize,
    used: Vec<(Name, i64)>,
  },
  /// The answer to a report.
  HearsShort { at: usize, short: Vec<(Name, f64)> },
  /// All boxes start anew.
  BoxesStart,
  /// Limits change.
  LimitsChange,
}
