//! Results of a crash simulation.

/// Results of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrashFigures {
  /// Engine crashes that requests caused.
  pub ended: u32,
  /// The highest number of runs of one body that started more than 3 s after its third crash. Three are allowed.
  pub most_late: u32,
  /// Callers whose requests crash no engine.
  pub innocent: u32,
  /// Innocent callers that received a complete response.
  pub served: u32,
  /// Requests of innocent callers that were quarantined.
  pub innocent_held: u32,
  /// Calls to the store.
  pub store_calls: u32,
  /// Marks of segments that boxes wrote.
  pub segment_marks: u32,
  /// The highest number of requests and segments in the quarantine registry of a box.
  pub largest_book: usize,
}

impl CrashFigures {
  /// Fraction of the innocent callers that received a complete response.
  pub fn served_share(&self) -> f64 {
    f64::from(self.served) / f64::from(self.innocent.max(1))
  }
}
