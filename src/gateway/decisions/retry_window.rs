//! Bounds retries over all boxes without messages: each box uses its share of the allowance.

use {super::retry_need::RetryNeed, std::collections::VecDeque};

/// Buckets per second of the window.
const BUCKETS_PER_SECOND: u64 = 4;
const BUCKET_MS: u64 = 1_000 / BUCKETS_PER_SECOND;
/// The windows of boxes end at different times, so that a window over all boxes covers requests of two windows of each.
const WINDOWS_COVERED: f64 = 2.0;
/// Share of the slack that is used, less than all: boxes learn late of boxes that join.
const SLACK_SHARE: f64 = 0.5;
/// The same in the first window after a start: before a restart the box may have used [`SLACK_SHARE`] in this window.
const SLACK_SHARE_AT_START: f64 = 0.4;
/// Share of the allowance that retries may use which no failed request needs.
const SPARE_SHARE: f64 = 0.5;
/// Share of the allowance that a box may use or lend before it keeps the rest for its own failed requests. Its first retry may be lent
/// whatever the share: where shares are small, all of them would be kept.
const LENT_SHARE: f64 = 0.75;

/// The retries that are allowed over all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
  /// Retries per request.
  pub ratio: f64,
  /// Length of the sliding window.
  pub window_ms: u64,
  /// Retries in a window in excess of the ratio, over all boxes.
  pub slack: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
  number: u64,
  requests: u32,
  retries: u32,
}

/// A box's use of its share of the allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
  /// Retries in the window that this box may send.
  pub allowed: f64,
  pub requests: u32,
  pub retries: u32,
  /// Whether the box has run for less than a window: it does not know what it used before a restart.
  pub is_first_window: bool,
}

impl RetryUsage {
  /// Whether one more retry leaves enough of the allowance for requests that have failed.
  pub fn has_spare_retry(&self) -> bool {
    self.allowed * SPARE_SHARE - f64::from(self.retries) >= 1.0
  }

  /// Whether one more retry is within the allowance.
  pub fn has_retry_left(&self) -> bool {
    self.allowed - f64::from(self.retries) >= 1.0
  }

  /// Whether this box may send one more retry.
  pub fn has_retry_for(&self, need: RetryNeed) -> bool {
    match need {
      RetryNeed::Required => self.has_retry_left(),
      RetryNeed::Optional => self.has_spare_retry(),
    }
  }

  /// Whether another box may send one more retry in the place of this one, which keeps some for its own failed requests.
  pub fn may_lend(&self, need: RetryNeed) -> bool {
    let keeps_enough = match need {
      RetryNeed::Required => {
        self.retries == 0 || self.allowed * LENT_SHARE - f64::from(self.retries) >= 1.0
      }
      RetryNeed::Optional => self.has_spare_retry(),
    };
    keeps_enough && self.has_retry_left() && !self.is_first_window
  }
}

/// The requests and retries that this box sent to one service in the last window. Times are since the process started.
///
/// ```
/// use rillford::gateway::{RetryAllowance, RetryWindow};
/// let allowance = RetryAllowance { ratio: 0.2, window_ms: 10_000, slack: 10.0 };
/// let mut window = RetryWindow::default();
/// // Two boxes share the slack: half of five retries each.
/// assert!((0..2).all(|_| window.take(allowance, 2, 20_000)));
/// assert!(!window.take(allowance, 2, 20_000));
/// assert!(window.take(allowance, 2, 40_000));
/// // Fewer in the first window after a start: the box may have used its share before a restart.
/// let mut window = RetryWindow::default();
/// assert!((0..2).all(|_| window.take(allowance, 2, 5_000)));
/// assert!(!window.take(allowance, 2, 5_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
  buckets: VecDeque<Bucket>,
}

impl RetryWindow {
  /// Records a caller's request for the service.
  pub fn record_request(&mut self, now_ms: u64) {
    self.current_bucket(now_ms).requests += 1;
  }

  /// Withdraws a request that another box serves.
  pub fn withdraw_request(&mut self, now_ms: u64) {
    let bucket = self.current_bucket(now_ms);
    bucket.requests = bucket.requests.saturating_sub(1);
  }

  /// Records a retry that could not be avoided.
  pub fn record_retry(&mut self, now_ms: u64) {
    self.current_bucket(now_ms).retries += 1;
  }

  /// Returns a retry that was taken at a time and not sent.
  pub fn refund(&mut self, taken_ms: u64) {
    let number = taken_ms / BUCKET_MS;
    let mut buckets = self.buckets.iter_mut();
    if let Some(bucket) = buckets.find(|bucket| bucket.number == number) {
      bucket.retries = bucket.retries.saturating_sub(1);
    }
  }

  /// Takes a retry if one is available.
  pub fn take(&mut self, allowance: RetryAllowance, boxes: usize, now_ms: u64) -> bool {
    if !self.usage(allowance, boxes, now_ms).has_retry_left() {
      return false;
    }
    self.record_retry(now_ms);
    true
  }

  /// Takes a retry that another box sends, if this one can spare it.
  ///
  /// ```
  /// use rillford::gateway::{RetryAllowance, RetryNeed, RetryWindow};
  /// let allowance = RetryAllowance { ratio: 0.2, window_ms: 10_000, slack: 8.0 };
  /// let mut window = RetryWindow::default();
  /// // Of four retries the box keeps one.
  /// assert!((0..3).all(|_| window.lend(allowance, 1, RetryNeed::Required, 20_000)));
  /// assert!(!window.lend(allowance, 1, RetryNeed::Required, 20_000));
  /// assert!(window.take(allowance, 1, 20_000));
  /// ```
  pub fn lend(
    &mut self,
    allowance: RetryAllowance,
    boxes: usize,
    need: RetryNeed,
    now_ms: u64,
  ) -> bool {
    if !self.usage(allowance, boxes, now_ms).may_lend(need) {
      return false;
    }
    self.record_retry(now_ms);
    true
  }

  /// The requests and retries in the window, and the retries that this box may send in it.
  pub fn usage(&mut self, allowance: RetryAllowance, boxes: usize, now_ms: u64) -> RetryUsage {
    let oldest = now_ms
      .checked_sub(allowance.window_ms)
      .map(|from_ms| from_ms / BUCKET_MS);
    while self
      .buckets
      .front()
      .is_some_and(|bucket| Some(bucket.number) < oldest)
    {
      self.buckets.pop_front();
    }
    // The oldest bucket lies partly before the window: its retries count, its requests do not.
    let within = self
      .buckets
      .iter()
      .filter(|bucket| Some(bucket.number) > oldest);
    let requests: u32 = within.map(|bucket| bucket.requests).sum();
    let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
    let is_first_window = now_ms < allowance.window_ms;
    let share = if is_first_window {
      SLACK_SHARE_AT_START
    } else {
      SLACK_SHARE
    };
    let slack = share * allowance.slack / boxes.max(1) as f64;
    RetryUsage {
      allowed: allowance.ratio / WINDOWS_COVERED * f64::from(requests) + slack,
      is_first_window,
      requests,
      retries,
    }
  }

  /// The current bucket, created on first use.
  fn current_bucket(&mut self, now_ms: u64) -> &mut Bucket {
    let number = now_ms / BUCKET_MS;
    if self
      .buckets
      .back()
      .is_none_or(|bucket| bucket.number < number)
    {
      self.buckets.push_back(Bucket {
        number,
        retries: 0,
        requests: 0,
      });
    }
    let last = self.buckets.len() - 1;
    &mut self.buckets[last]
  }
}
