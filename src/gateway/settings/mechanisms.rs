//! Switches of the gateway's mechanisms, for operators and experiments.

use serde::Deserialize;

/// `[mechanisms]` in the settings; each is on unless set to `false`.
///
/// ```
/// use rillford::gateway::Mechanisms;
/// let mechanisms = Mechanisms { role_commands: false, ..Mechanisms::default() };
/// assert!(mechanisms.resume_on_cached_prompt);
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Mechanisms {
  /// Honour the rate limits that endpoints advertise.
  pub endpoint_limits: bool,
  /// Honour endpoints' notices of a shutdown or a backoff.
  pub endpoint_notices: bool,
  /// Prefer endpoints of the box's own hall.
  pub own_hall_first: bool,
  /// Let decode engines prefill some prompts themselves while the prefill engines are overloaded.
  #[serde(rename = "prompts_past_readers")]
  pub prefill_bypass: bool,
  /// Include engines that were listed until recently when roles are planned.
  pub recent_engines: bool,
  /// Resume a stream at an engine that has its prompt cached.
  #[serde(rename = "resume_where_kept")]
  pub resume_on_cached_prompt: bool,
  /// Reject a request at once that is unlikely to get a batch slot in time.
  #[serde(rename = "refusal_by_forecast")]
  pub rejection_by_forecast: bool,
  /// Borrow retries of other boxes when this box's share of the retry budget is spent, and lend them.
  pub retry_loans: bool,
  /// Let the role leader change engines' roles.
  #[serde(rename = "role_orders")]
  pub role_commands: bool,
  /// Reserve KV memory by the caller's estimate of the response's length.
  #[serde(rename = "seat_by_estimate")]
  pub slot_by_estimate: bool,
  /// Move a retryable request from a silent endpoint to another one.
  pub silence_takeover: bool,
  /// Keep in the store where streams began while a service has several versions.
  pub stored_origins: bool,
}

impl Default for Mechanisms {
  fn default() -> Self {
    Self {
      endpoint_limits: true,
      endpoint_notices: true,
      own_hall_first: true,
      prefill_bypass: true,
      recent_engines: true,
      rejection_by_forecast: true,
      resume_on_cached_prompt: true,
      retry_loans: true,
      role_commands: true,
      silence_takeover: true,
      slot_by_estimate: true,
      stored_origins: true,
    }
  }
}
