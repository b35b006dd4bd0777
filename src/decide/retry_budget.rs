//! A token bucket that bounds retries to a share of the traffic.

/// The retries that are left.
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
  /// A full bucket of `burst` retries, filled by `share` for each request.
  pub fn new(share: f64, burst: f64) -> Self {
    Self {
      burst,
      share,
      tokens: burst,
    }
  }

  /// Changes the share and the burst.
  pub fn configure(&mut self, share: f64, burst: f64) {
    self.share = share;
    self.burst = burst;
    self.tokens = self.tokens.min(burst);
  }

  /// A first try was made.
  pub fn earn(&mut self) {
    self.tokens = (self.tokens + self.share).min(self.burst);
  }

  /// Takes a retry, if one is left.
  pub fn take_retry(&mut self) -> bool {
    if self.tokens < 1.0 {
      return false;
    }
    self.tokens -= 1.0;
    true
  }
}
