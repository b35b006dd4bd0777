//! What a policy program is told, and what it answers.

use crate::ids::Name;

const DAY_MINUTES: u64 = 24 * 60;
const MINUTE_MS: u64 = 60_000;

/// The local time of day that policy sees.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Clock {
  /// Minutes since local midnight.
  pub minute_of_day: u64,
  /// Days since the epoch, local; 0 was a Thursday.
  pub day: u64,
}

impl Clock {
  /// The local time at a Unix time.
  ///
  /// ```
  /// use rillford::policy::Clock;
  /// let clock = Clock::at(3_600_000, 60);
  /// assert_eq!(clock.minute_of_day, 120);
  /// ```
  pub fn at(unix_ms: u64, offset_minutes: i64) -> Self {
    let minutes = i64::try_from(unix_ms / MINUTE_MS).unwrap_or(i64::MAX) + offset_minutes;
    let minutes = u64::try_from(minutes).unwrap_or(0);
    Self {
      day: minutes / DAY_MINUTES,
      minute_of_day: minutes % DAY_MINUTES,
    }
  }

  /// Monday is 1, Sunday is 7.
  pub fn weekday(self) -> u64 {
    (self.day + 3) % 7 + 1
  }
}

/// What `rank` is told of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestAttributes {
  /// The organisation.
  pub organisation: Name,
  /// The model or the plain service.
  pub subject: Name,
  /// `model` or `service`.
  pub kind: Name,
  /// The caller's own name for the task.
  pub task: Name,
  /// The prompt's length.
  pub prompt_tokens: u64,
  /// The most tokens that the answer may have.
  pub max_tokens: u64,
}

/// What `shift` is told of one model's engines in this hall.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolStats {
  /// The model.
  pub model: Name,
  /// Engines in the prefill role.
  pub prefill_engines: u64,
  /// Engines in the decode role.
  pub decode_engines: u64,
  /// Prompt tokens that wait, over all prefill engines.
  pub queue_tokens: u64,
  /// Share of decode seats taken, from 0 to 1.
  pub seats_used: f64,
}

/// What `shift` wants for one model.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleSplit {
  /// The model.
  pub model: Name,
  /// Wanted share of engines in the prefill role, from 0 to 1.
  pub prefill_share: f64,
}
