//! What came of a replay.

/// Counts of one replay, over the time in which its pattern is in force and shortly after.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
  /// Requests that came.
  pub asked: u32,
  /// Requests that were served, at whatever try.
  pub served: u32,
  /// Sends that were lost: each a prompt that may have been read in vain.
  pub lost_sends: u32,
  /// Sends to an engine that was gone: each costs its caller the time that a connection is waited for.
  pub unreached_sends: u32,
  /// Sends that an engine refused because its seats were taken.
  pub refused_sends: u32,
  /// Sends to each engine, by its number.
  pub sends: Vec<u32>,
}

impl Figures {
  /// Part of the requests that were served.
  pub fn served_share(&self) -> f64 {
    f64::from(self.served) / f64::from(self.asked.max(1))
  }

  /// Sends to one engine, as a multiple of the mean.
  ///
  /// ```
  /// use emulator::load::Figures;
  /// let figures = Figures { sends: vec![1, 3], ..Figures::default() };
  /// assert_eq!(figures.sends_over_mean(1), 1.5);
  /// ```
  pub fn sends_over_mean(&self, engine: usize) -> f64 {
    let total: u32 = self.sends.iter().sum();
    let mean = f64::from(total) / self.sends.len().max(1) as f64;
    f64::from(self.sends[engine]) / mean.max(f64::MIN_POSITIVE)
  }
}
