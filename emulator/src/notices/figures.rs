//! Results of a notice simulation.

/// Results of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NoticeFigures {
  pub callers: u32,
  /// Callers that received a response in time.
  pub served: u32,
  /// Rejections by boxes, each with a retry-after delay.
  pub refused: u32,
  /// Retries at another endpoint.
  pub repeats: u32,
  /// Requests that an endpoint rejected.
  pub turned_away: u32,
  /// The highest number of requests that an endpoint received from one box in a backoff that it asked for, not counting the
  /// first half second. Two are allowed.
  pub most_in_pause: u32,
  /// Requests that an endpoint received from a box more than 2 s after that box was notified that it leaves. None is
  /// allowed.
  pub late_after_word: u32,
  /// Messages between boxes.
  pub messages: u32,
}

impl NoticeFigures {
  /// Fraction of the callers that received a response in time.
  pub fn served_share(&self) -> f64 {
    f64::from(self.served) / f64::from(self.callers.max(1))
  }
}
