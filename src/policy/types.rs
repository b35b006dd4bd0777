//! The arguments and results of a policy program.

use crate::ids::Name;

const DAY_MINUTES: u64 = 24 * 60;
const MINUTE_MS: u64 = 60_000;

/// The local time that a policy program gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Clock {
  /// Minutes since local midnight.
  pub minute_of_day: u64,
  /// Days since the epoch, local; 0 was a Thursday.
  pub day: u64,
}

impl Clock {
  /// Local time at a Unix time.
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

/// The attributes of a request that `rank` gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestAttributes {
  pub organisation: Name,
  /// The model or the plain service.
  pub subject: Name,
  /// `model` or `service`.
  pub kind: Name,
  /// The caller's label for the kind of task.
  pub task: Name,
  pub prompt_tokens: u64,
  pub max_tokens: u64,
}

/// Statistics of one model's engines in this hall, for `shift`.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolStats {
  pub model: Name,
  pub prefill_engines: u64,
  pub decode_engines: u64,
  /// Prompt tokens queued at all prefill engines.
  pub queue_tokens: u64,
  /// Share of decode slots in use, from 0 to 1; a program reads it as `seats_used`.
  pub slots_used: f64,
}

/// The split of roles that `shift` wants for one model.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleSplit {
  pub model: Name,
  /// Share of engines in the prefill role, from 0 to 1.
  pub prefill_share: f64,
}
