//! The model of unavoidable losses that the bound is computed from.

use {
  super::day_report::{DayReport, Fault},
  bpaf::Bpaf,
};

/// Length of a window in the bench's report.
const WINDOW_S: f64 = 2.0;
/// Points in time at which the model is evaluated in each window.
const SAMPLES_PER_WINDOW: u32 = 40;
/// Weights of the bench's large site. The worst zone and the worst kind of request are counted as the whole day.
const WHOLE_DAY_WEIGHT: f64 = 0.8;
const WORST_WINDOWS_WEIGHT: f64 = 0.2;

/// Assumptions about the load and the effect of faults.
#[derive(Clone, Debug, PartialEq, Bpaf)]
#[bpaf(generate(bound_model))]
pub struct BoundModel {
  /// Mean duration of a stream, in seconds
  #[bpaf(long("stream-s"), argument("S"), fallback(3.3))]
  pub stream_s: f64,
  /// Fraction of the attainable worth that belongs to streams
  #[bpaf(long("stream-share"), argument("SHARE"), fallback(0.86))]
  pub stream_share: f64,
  /// Fraction of its worth that a late stream earns
  #[bpaf(long("late-share"), argument("SHARE"), fallback(0.2))]
  pub late_share: f64,
  /// Time from the loss of all boxes until the first of them serves again, in seconds
  #[bpaf(long("dark-s"), argument("S"), fallback(1.2))]
  pub outage_s: f64,
  /// Number of data halls; a zone cut takes one of them
  #[bpaf(long, argument("N"), fallback(5))]
  pub halls: u32,
  /// Windows are printed when their gap to the bound exceeds this worth
  #[bpaf(long("shown-gap"), argument("WORTH"), fallback(0.05))]
  pub min_gap: f64,
}

impl Default for BoundModel {
  fn default() -> Self {
    Self {
      halls: 5,
      late_share: 0.2,
      min_gap: 0.05,
      outage_s: 1.2,
      stream_s: 3.3,
      stream_share: 0.86,
    }
  }
}

/// A window with its bound.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundRow {
  /// Start, in seconds since the start of the day.
  pub from_s: f64,
  /// Requests that arrived in the window.
  pub requests: u64,
  /// Fraction of the attainable worth that they earned.
  pub earned: f64,
  /// Highest fraction that an ideal router could have earned.
  pub bound: f64,
  /// Kinds of the faults that overlap the window.
  pub faults: Vec<String>,
}

impl BoundModel {
  /// Computes the bound of each window of a day.
  ///
  /// ```
  /// use emulator::bound::{BoundModel, DayReport};
  /// let text = r#"{"windows": [{"name": "38", "n": 9, "worth": 0.4}, {"name": "50", "n": 9, "worth": 0.9}],
  ///   "events": [{"at_s": 40.0, "to_s": 50.0, "kind": "closing (power_off_all)"}]}"#;
  /// let rows = BoundModel::default().rows(&DayReport::parse(text).unwrap());
  /// // Most streams that start in the 2 s before a power failure are still in progress when it comes.
  /// assert!((0.4..0.6).contains(&rows[0].bound));
  /// assert_eq!(rows[1].bound, 1.0);
  /// ```
  pub fn rows(&self, report: &DayReport) -> Vec<BoundRow> {
    let row = |window: &super::Window| {
      let from_s: f64 = window.from_s.parse().unwrap_or(0.0);
      let overlaps = |fault: &&Fault| fault.at_s < from_s + WINDOW_S && from_s < fault.to_s;
      let bound = self.window_bound(from_s, &report.faults);
      BoundRow {
        requests: window.requests,
        bound: bound.max(window.earned),
        earned: window.earned,
        faults: report
          .faults
          .iter()
          .filter(overlaps)
          .map(|fault| fault.kind.clone())
          .collect(),
        from_s,
      }
    };
    report.windows.iter().map(row).collect()
  }

  /// The mean of the attainable fraction over the samples of a window.
  fn window_bound(&self, from_s: f64, faults: &[Fault]) -> f64 {
    let sample_s =
      |sample| from_s + WINDOW_S * (f64::from(sample) + 0.5) / f64::from(SAMPLES_PER_WINDOW);
    let sum: f64 = (0..SAMPLES_PER_WINDOW)
      .map(|sample| self.attainable(sample_s(sample), faults))
      .sum();
    sum / f64::from(SAMPLES_PER_WINDOW)
  }

  /// Attainable fraction of the worth of requests that arrive at `at_s`.
  fn attainable(&self, at_s: f64, faults: &[Fault]) -> f64 {
    faults.iter().fold(1.0, |attainable, fault| {
      attainable * self.fraction_after(fault, at_s)
    })
  }

  /// Fraction that a single fault leaves attainable.
  fn fraction_after(&self, fault: &Fault, at_s: f64) -> f64 {
    let affected = if fault.kind.contains("power_off_all") || fault.kind.contains("kill_all") {
      1.0
    } else if fault.kind.starts_with("zone_cut") {
      1.0 / f64::from(self.halls)
    } else {
      return 1.0;
    };
    let until_fault_s = fault.at_s - at_s;
    if until_fault_s >= 0.0 {
      // Streams still in progress at the fault resume late at best.
      let in_progress = (-until_fault_s / self.stream_s).exp();
      return 1.0 - affected * in_progress * self.stream_share * (1.0 - self.late_share);
    }
    if affected == 1.0 && -until_fault_s < self.outage_s {
      // No box runs: streams are served late, and lookups expire.
      return self.late_share * self.stream_share;
    }
    1.0
  }

  /// The mean of `share` over the day, weighted by requests.
  pub fn whole_day(rows: &[BoundRow], share: impl Fn(&BoundRow) -> f64) -> f64 {
    let requests: u64 = rows.iter().map(|row| row.requests).sum();
    let earned: f64 = rows
      .iter()
      .map(|row| row.requests as f64 * share(row))
      .sum();
    earned / requests.max(1) as f64
  }

  /// The mean of `share` over the two worst windows.
  pub fn worst_windows(rows: &[BoundRow], share: impl Fn(&BoundRow) -> f64) -> f64 {
    let mut shares: Vec<f64> = rows.iter().map(share).collect();
    shares.sort_by(f64::total_cmp);
    let worst = &shares[..shares.len().min(2)];
    worst.iter().sum::<f64>() / worst.len().max(1) as f64
  }

  /// The weighted sum of the whole day and its two worst windows.
  pub fn worth(rows: &[BoundRow], share: impl Fn(&BoundRow) -> f64) -> f64 {
    WHOLE_DAY_WEIGHT * Self::whole_day(rows, &share)
      + WORST_WINDOWS_WEIGHT * Self::worst_windows(rows, &share)
  }
}
