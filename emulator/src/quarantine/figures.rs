//! What came of a replay of crashes.

/// Figures of one replay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrashFigures {
  /// Engines that a request ended.
  pub ended: u32,
  /// The most runs that one body began later than the users' 3 s after its third end; they allow three.
  pub most_late: u32,
  /// Innocent callers.
  pub innocent: u32,
  /// Of these, those who got a whole answer.
  pub served: u32,
  /// Tries of innocent callers that were held.
  pub innocent_held: u32,
  /// Calls to the store.
  pub store_calls: u32,
  /// Requests in the largest book.
  pub largest_book: usize,
}

impl CrashFigures {
  /// Part of the innocent callers who got a whole answer.
  pub fn served_share(&self) -> f64 {
    f64::from(self.served) / f64::from(self.innocent.max(1))
  }
}
