//! How many boxes a stream is recorded at. Free of I/O.
//!
//! Load pattern: a few streams a second while one service has two versions; all streams of a box at the peak while all services
//! have, and a burst when the second version appears.

use {
  super::{record_holders::RECORD_COPIES, token_bucket::TokenBucket},
  crate::gateway::edge::UsageLimit,
};

/// Records that a box sends: a record and its response take some 200 bytes, and control 6 KB a second at the most.
const LIMIT: UsageLimit = UsageLimit {
  burst: 200.0,
  rate_per_s: 20.0,
};
/// Share of the burst below which a stream is recorded at one other box only.
const SCARCE_SHARE: f64 = 0.5;

/// Messages to a box that holds a stream: that it is about to begin, and that it has.
const HOLD_MESSAGES: f64 = 2.0;

/// Limits the records that a box sends.
///
/// ```
/// use rillford::gateway::CopyBudget;
/// let mut budget = CopyBudget::new(0);
/// let copies: usize = (0..150).map(|_| budget.take(0)).sum();
/// assert_eq!(copies, 200);
/// assert_eq!(budget.take(0), 0);
/// assert_eq!(budget.take(1_000), 1);
/// assert_eq!(budget.take(60_000), 4);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct CopyBudget(TokenBucket);

impl CopyBudget {
  /// A full budget.
  pub fn new(now_ms: u64) -> Self {
    Self(TokenBucket::full(LIMIT, now_ms))
  }

  /// Takes the copies of one stream's record.
  pub fn take(&mut self, now_ms: u64) -> usize {
    self.take_messages(RECORD_COPIES, 1.0, now_ms)
  }

  /// Takes the boxes that hold one stream, a number of them at the most.
  ///
  /// ```
  /// use rillford::gateway::CopyBudget;
  /// let mut budget = CopyBudget::new(0);
  /// assert_eq!(budget.take_holders(2, 0), 2);
  /// let holders: usize = (0..200).map(|_| budget.take_holders(2, 0)).sum();
  /// assert_eq!(holders, 98);
  /// ```
  pub fn take_holders(&mut self, most: usize, now_ms: u64) -> usize {
    self.take_messages(most, HOLD_MESSAGES, now_ms)
  }

  fn take_messages(&mut self, most: usize, messages: f64, now_ms: u64) -> usize {
    let level = self.0.level(LIMIT, now_ms);
    let copies = if level > LIMIT.burst * SCARCE_SHARE {
      most
    } else {
      usize::from(level >= messages)
    };
    self.0.charge(LIMIT, copies as f64 * messages);
    copies
  }
}
