//! A token bucket that bounds retries to a share of the requests.

/// The retries that remain.
///
/// ```
/// let mut budget = rillford::decide::RetryBudget::new(0.5, 1.0);
/// assert!(budget.take_retry());
/// assert!(!budget.take_retry());
/// budget.earn();
/// budget.earn();
/// assert!(budget.take_retry());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
  share: f64,
  burst: f64,
  tokens: f64,
}

impl RetryBudget {
  /// A full bucket of `burst` retries, refilled by `share` of a retry for each request.
  pub fn new(share: f64, burst: f64) -> Self {
    Self {
      burst,
      share,
      tokens: burst,
    }
  }

  pub fn configure(&mut self, share: f64, burst: f64) {
    self.share = share;
    self.burst = burst;
    self.tokens = self.tokens.min(burst);
  }

  /// Refills the bucket for a new request.
  pub fn earn(&mut self) {
    self.tokens = (self.tokens + self.share).min(self.burst);
  }

  /// Takes a retry if one remains.
  pub fn take_retry(&mut self) -> bool {
    if self.tokens < 1.0 {
      return false;
    }
    self.tokens -= 1.0;
    true
  }

  /// Returns a retry that was taken and not used.
  pub fn return_retry(&mut self) {
    self.tokens = (self.tokens + 1.0).min(self.burst);
  }
}
