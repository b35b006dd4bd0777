//! For how long callers have been refused. Free of I/O.
//!
//! Load pattern: rejected callers return, to any box, with what is left of their first deadline. A box tells them from new callers
//! by the longest deadline that it saw lately on their route. The time is a minute: long enough that routes with few requests have
//! a new caller in it, short enough that a route whose callers choose shorter deadlines is learned anew.

use {crate::ids::Name, std::collections::HashMap};

/// The deadlines of the last one to two of these periods are known, a minute in all.
const PERIOD_MS: u64 = 30_000;

/// The longest deadlines of one route, by period.
#[derive(Clone, Copy, Debug, Default)]
struct Longest {
  period: u64,
  current_ms: u64,
  previous_ms: u64,
}

impl Longest {
  fn enter(&mut self, period: u64) {
    if period == self.period {
      return;
    }
    let is_next = period == self.period + 1;
    self.previous_ms = if is_next { self.current_ms } else { 0 };
    self.current_ms = 0;
    self.period = period;
  }
}

/// The longest deadlines that were seen lately, by route.
///
/// ```
/// use rillford::gateway::LongestDeadlines;
/// let mut deadlines = LongestDeadlines::default();
/// let route = "appeal".into();
/// assert_eq!(deadlines.refused_for_ms(&route, 14_000, 0), 0);
/// assert_eq!(deadlines.refused_for_ms(&route, 10_500, 4_000), 3_500);
/// // A minute later, nothing is known of longer deadlines.
/// assert_eq!(deadlines.refused_for_ms(&route, 10_500, 70_000), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LongestDeadlines {
  routes: HashMap<Name, Longest>,
}

impl LongestDeadlines {
  /// Records a request's deadline, and returns how long ago its caller was refused first: 0 for a new caller.
  pub fn refused_for_ms(&mut self, route: &Name, deadline_ms: u64, now_ms: u64) -> u64 {
    let period = now_ms / PERIOD_MS;
    // Routes that the configuration no longer has.
    self
      .routes
      .retain(|_, longest| longest.period + 1 >= period);
    let longest = self.routes.entry(route.clone()).or_default();
    longest.enter(period);
    longest.current_ms = longest.current_ms.max(deadline_ms);
    longest.current_ms.max(longest.previous_ms) - deadline_ms
  }
}
