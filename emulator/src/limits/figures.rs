//! Results of a limits simulation.

use {super::request_kind::KindCounts, rillford::gateway::UsageLimit, std::collections::VecDeque};

/// Window over which usage is compared with a limit, and the overage that is allowed in it.
const WINDOW_MS: u64 = 8_000;
const OVERAGE: f64 = 0.1;
const SLACK_UNITS: f64 = 190_000.0;

/// Results of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitFigures {
  /// The highest usage of any organisation in any window, as a fraction of the allowed usage.
  pub most_used: f64,
  /// Requests of organisations that stay within their limits.
  pub inside: u32,
  /// Rejected requests among `inside`.
  pub refused_inside: u32,
  /// Units served to the largest organisation while the pattern is active, as a fraction of what its limit allows.
  pub served_of_limit: f64,
  /// Requests by kind, where sizes are mixed.
  pub kinds: [KindCounts; 4],
  /// Value of the admitted requests of overloading organisations.
  pub value: f64,
  /// Messages per second, sent and received, of the busiest box.
  pub busiest_messages_per_s: f64,
  /// Payload bytes per second, sent and received, of the box with the most bytes.
  pub busiest_bytes_per_s: f64,
}

impl LimitFigures {
  /// Fraction of the requests within the limits that was rejected.
  pub fn refused_share(&self) -> f64 {
    f64::from(self.refused_inside) / f64::from(self.inside.max(1))
  }
}

/// Usage of one organisation in the sliding window.
#[derive(Clone, Debug, Default)]
pub(super) struct WindowUsage {
  admitted: VecDeque<(u64, f64)>,
  sum: f64,
}

impl WindowUsage {
  /// Adds admitted units and returns the usage in the window as a fraction of the allowed usage.
  pub(super) fn admit(&mut self, units: f64, limit: UsageLimit, now_ms: u64) -> f64 {
    self.admitted.push_back((now_ms, units));
    self.sum += units;
    while let Some((at_ms, units)) = self.admitted.front().copied()
      && at_ms + WINDOW_MS < now_ms
    {
      self.admitted.pop_front();
      self.sum -= units;
    }
    self.sum / allowed_units(limit)
  }
}

fn allowed_units(limit: UsageLimit) -> f64 {
  let units = limit.rate_per_s * WINDOW_MS as f64 / 1_000.0 + limit.burst;
  units * (1.0 + OVERAGE) + SLACK_UNITS
}
