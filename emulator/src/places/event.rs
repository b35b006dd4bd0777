//! What happens in a replay of places.

use rillford::gateway::{PermitRequest, PermitVerdict, UsageTotals};

/// What happens at a moment.
pub(super) enum Event {
  /// A caller comes.
  Arrives,
  /// A box asks another one for places.
  Question {
    from: usize,
    to: usize,
    number: u32,
    wish: PermitRequest,
    told: Word,
  },
  /// The answer is there.
  Answer {
    to: usize,
    from: usize,
    number: u32,
    verdict: PermitVerdict,
    told: Word,
  },
  /// A question has had its time.
  TimedOut {
    at: usize,
    to: usize,
    number: u32,
    wish: PermitRequest,
  },
  /// A request reaches the endpoint.
  AtEndpoint { from: usize, is_told: bool },
  /// Its answer is back, and names a limit.
  Heard { at: usize, sent_ms: u64, per_s: f64 },
  /// A box tells another one of the limit.
  Told {
    to: usize,
    word: Word,
    is_told_on: bool,
  },
  /// A box's turn to tell its sum.
  Turn { at: usize },
  /// A sum is heard.
  Totals { to: usize, totals: Box<UsageTotals> },
  /// A box hears of a change of the list.
  Listed { at: usize, has_counting: bool },
  /// The box that counts starts with nothing.
  Starts,
}

/// An endpoint's word, and when it was heard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Word {
  pub(super) per_s: f64,
  pub(super) heard_ms: u64,
}
