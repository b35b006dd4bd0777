//! Results of a load simulation.

/// Results of one run, over the requests that arrive while its pattern is active and shortly after.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
  /// Requests that arrived.
  pub asked: u32,
  /// Requests that were served, at the first attempt or a later one.
  pub served: u32,
  /// Attempts that failed after they reached an engine, each of which may have wasted a prefill.
  pub lost_sends: u32,
  /// Attempts at an engine that was unreachable, each of which costs its caller the connect timeout.
  pub unreached_sends: u32,
  /// Attempts that an engine rejected because its slots were full.
  pub refused_sends: u32,
  /// Attempts by the number of the engine.
  pub sends: Vec<u32>,
}

impl Figures {
  /// Fraction of the requests that was served.
  pub fn served_share(&self) -> f64 {
    f64::from(self.served) / f64::from(self.asked.max(1))
  }

  /// Attempts at one engine, as a multiple of the mean over all engines.
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
