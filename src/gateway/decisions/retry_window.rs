//! Bounds repeats over all boxes without a message: each box takes its share of what is allowed.

use std::collections::VecDeque;

/// Slices of a second that the window is counted in.
const BUCKETS_PER_SECOND: u64 = 4;
/// Length of a slice.
const BUCKET_MS: u64 = 1_000 / BUCKETS_PER_SECOND;
/// Part of the allowance that is used: boxes count in slices, and see each other join late.
const USED_SHARE: f64 = 0.7;

/// What is allowed over all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
  /// Repeats for each request.
  pub ratio: f64,
  /// Length of the sliding window.
  pub window_ms: u64,
  /// Repeats in a window beyond the ratio, over all boxes.
  pub slack: f64,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
  number: u64,
  requests: u32,
  retries: u32,
}

/// The requests and repeats that this box sent to one service in the last window.
///
/// ```
/// use rillford::gateway::{RetryAllowance, RetryWindow};
/// let allowance = RetryAllowance { ratio: 0.2, window_ms: 10_000, slack: 10.0 };
/// let mut window = RetryWindow::default();
/// // Two boxes share the slack: 0.7 of five repeats each.
/// assert!((0..3).all(|_| window.take(allowance, 2, 0)));
/// assert!(!window.take(allowance, 2, 0));
/// assert!(window.take(allowance, 2, 20_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
  slices: VecDeque<Slice>,
}

impl RetryWindow {
  /// A caller's request came for the service.
  pub fn record_request(&mut self, now_ms: u64) {
    self.slice(now_ms).requests += 1;
  }

  /// A repeat was sent that could not be held back.
  pub fn record_retry(&mut self, now_ms: u64) {
    self.slice(now_ms).retries += 1;
  }

  /// A repeat that was taken just now was not sent.
  pub fn refund(&mut self, now_ms: u64) {
    let slice = self.slice(now_ms);
    slice.retries = slice.retries.saturating_sub(1);
  }

  /// Takes a repeat, if one is left.
  pub fn take(&mut self, allowance: RetryAllowance, boxes: usize, now_ms: u64) -> bool {
    if self.remaining(allowance, boxes, now_ms) < 1.0 {
      return false;
    }
    self.record_retry(now_ms);
    true
  }

  /// Repeats that this box may still send now.
  pub fn remaining(&mut self, allowance: RetryAllowance, boxes: usize, now_ms: u64) -> f64 {
    let oldest = (now_ms.saturating_sub(allowance.window_ms)) / BUCKET_MS;
    while self
      .slices
      .front()
      .is_some_and(|slice| slice.number < oldest)
    {
      self.slices.pop_front();
    }
    let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
    let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
    let boxes = boxes.max(1) as f64;
    let allowed = allowance.ratio * f64::from(requests) + allowance.slack / boxes;
    USED_SHARE * allowed - f64::from(retries)
  }

  /// The slice of this moment, begun when it is the first to need it.
  fn slice(&mut self, now_ms: u64) -> &mut Slice {
    let number = now_ms / BUCKET_MS;
    if self.slices.back().is_none_or(|slice| slice.number < number) {
      self.slices.push_back(Slice {
        number,
        retries: 0,
        requests: 0,
      });
    }
    let last = self.slices.len() - 1;
    &mut self.slices[last]
  }
}
