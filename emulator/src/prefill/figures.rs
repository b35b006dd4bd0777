//! What the prefill simulation counts.

/// Counts of one run; rates are per box and second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrefillFigures {
  pub prefills: u32,
  /// Prefills that took over 700 ms from the request's arrival.
  pub slow: u32,
  /// Of these, those that started behind another one while an engine was idle.
  pub slow_behind: u32,
  /// Streams whose first event is late.
  pub late: u32,
  /// Sum of the durations of prefills.
  pub total_ms: u64,
  /// Duration that 99 of 100 prefills do not exceed.
  pub p99_ms: u64,
  /// Requests that were sent without a place although boxes ask for places.
  pub fallbacks: u32,
  pub mean_messages: f64,
  pub mean_bytes: f64,
  /// The most of any box.
  pub busiest_bytes: f64,
}

impl PrefillFigures {
  /// Share of the slow prefills that started behind another one while an engine was idle; 0 without slow ones.
  pub fn behind_share(&self) -> f64 {
    f64::from(self.slow_behind) / f64::from(self.slow.max(1))
  }

  /// Share of all prefills that were slow and started behind another one while an engine was idle.
  pub fn slow_behind_share(&self) -> f64 {
    f64::from(self.slow_behind) / f64::from(self.prefills.max(1))
  }

  pub fn late_share(&self) -> f64 {
    f64::from(self.late) / f64::from(self.prefills.max(1))
  }

  pub fn mean_ms(&self) -> f64 {
    self.total_ms as f64 / f64::from(self.prefills.max(1))
  }
}
