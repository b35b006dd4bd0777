//! What came of a replay of notices.

/// Figures of one replay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NoticeFigures {
  /// Callers.
  pub callers: u32,
  /// Of these, those who got an answer.
  pub served: u32,
  /// Refusals, each with when to come back.
  pub refused: u32,
  /// Sends to a further endpoint.
  pub repeats: u32,
  /// Sends that an endpoint turned away.
  pub turned_away: u32,
  /// The most requests of one box that one endpoint got in a pause it wanted, from half a second after its word. Two are allowed.
  pub most_in_pause: u32,
  /// Sends to an endpoint later than two seconds after it told that box that it leaves. None is allowed.
  pub late_after_word: u32,
  /// Messages between boxes.
  pub messages: u32,
}

impl NoticeFigures {
  /// Part of the callers who got an answer.
  pub fn served_share(&self) -> f64 {
    f64::from(self.served) / f64::from(self.callers.max(1))
  }
}
