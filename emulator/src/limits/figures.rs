//! What came of a replay of limits.

use {rillford::gateway::UsageLimit, std::collections::VecDeque};

/// The users' window and what use may go beyond a limit in it.
const WINDOW_MS: u64 = 8_000;
const OVERAGE: f64 = 0.1;
const SLACK_UNITS: f64 = 190_000.0;

/// Figures of one replay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitFigures {
  /// The highest use of any organisation in any window, as a part of the users' bound.
  pub most_used: f64,
  /// Requests of organisations that stay inside their limits.
  pub inside: u32,
  /// Of these, those that were refused.
  pub refused_inside: u32,
  /// Units that organisations beyond their limits were served, as a part of what the limits give them.
  pub served_of_limit: f64,
  /// Messages of the busiest box, sent or answered, a second.
  pub busiest_messages_per_s: f64,
  /// Bytes of these, without those of the transport.
  pub busiest_bytes_per_s: f64,
}

impl LimitFigures {
  /// Part of the requests inside the limits that was refused.
  pub fn refused_share(&self) -> f64 {
    f64::from(self.refused_inside) / f64::from(self.inside.max(1))
  }
}

/// Use of one organisation in the window that ends now.
#[derive(Clone, Debug, Default)]
pub(super) struct WindowUse {
  admitted: VecDeque<(u64, f64)>,
  sum: f64,
}

impl WindowUse {
  /// Adds units; answers with the window's sum as a part of the bound.
  pub(super) fn admit(&mut self, units: f64, limit: UsageLimit, now_ms: u64) -> f64 {
    self.admitted.push_back((now_ms, units));
    self.sum += units;
    while let Some((at_ms, units)) = self.admitted.front().copied()
      && at_ms + WINDOW_MS < now_ms
    {
      self.admitted.pop_front();
      self.sum -= units;
    }
    self.sum / bound_units(limit)
  }
}

/// The most that may be used in a window.
fn bound_units(limit: UsageLimit) -> f64 {
  let allowed = limit.rate_per_s * WINDOW_MS as f64 / 1_000.0 + limit.burst;
  allowed * (1.0 + OVERAGE) + SLACK_UNITS
}
