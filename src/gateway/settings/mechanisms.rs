//! Which of the gateway's mechanisms are in use. All are, unless an operator or an experiment switches one off.

use serde::Deserialize;

/// Switches under `[mechanisms]` in the settings; each is on unless it is said to be `false`.
///
/// ```
/// use rillford::gateway::Mechanisms;
/// let mechanisms = Mechanisms { role_orders: false, ..Mechanisms::default() };
/// assert!(mechanisms.resume_where_kept);
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Mechanisms {
  /// An endpoint that names how many requests a second it takes of all boxes gets no more.
  pub endpoint_limits: bool,
  /// An endpoint that says in an answer that it leaves, or wants no work for a while, gets none.
  pub endpoint_notices: bool,
  /// Endpoints of the own hall are preferred.
  pub own_hall_first: bool,
  /// Prompts go past readers that are behind: the engine that writes the answer reads.
  pub prompts_past_readers: bool,
  /// Engines that were here lately count for the roles of the others.
  pub recent_engines: bool,
  /// A stream goes on at the engine that keeps its prompt.
  pub resume_where_kept: bool,
  /// A request without a chance of a seat in time is refused at once.
  pub refusal_by_forecast: bool,
  /// The steward orders engines into other roles.
  pub role_orders: bool,
  /// A seat's memory is reserved by the caller's estimate of the answer.
  pub seat_by_estimate: bool,
  /// A silent endpoint of a repeatable request is given up for another one.
  pub silence_takeover: bool,
}

impl Default for Mechanisms {
  fn default() -> Self {
    Self {
      endpoint_limits: true,
      endpoint_notices: true,
      own_hall_first: true,
      prompts_past_readers: true,
      recent_engines: true,
      resume_where_kept: true,
      refusal_by_forecast: true,
      role_orders: true,
      seat_by_estimate: true,
      silence_takeover: true,
    }
  }
}
