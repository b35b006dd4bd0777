//! The model behind the bound.

use {
  super::day_report::{DayReport, Fault},
  bpaf::Bpaf,
};

/// Length of a stretch in the bench's report, in seconds.
const STRETCH_S: f64 = 2.0;
/// Moments of a stretch at which the model looks.
const SAMPLES: u32 = 40;
/// Weights of the whole day with its worst zone and kind of request, and of the two worst stretches, on the large site.
const WHOLE_DAY_WEIGHT: f64 = 0.8;
const WORST_STRETCHES_WEIGHT: f64 = 0.2;

/// What is taken as known of the load and of what faults take.
#[derive(Clone, Debug, PartialEq, Bpaf)]
#[bpaf(generate(bound_model))]
pub struct BoundModel {
  /// Mean length of a stream, in seconds; the users' large site: 3.3
  #[bpaf(long("stream-s"), argument("S"), fallback(3.3))]
  pub stream_s: f64,
  /// Part of what is owed that streams owe; 115 streams of 9.4 beside 178 lookups of 1 a second: 0.86
  #[bpaf(long("stream-share"), argument("SHARE"), fallback(0.86))]
  pub stream_share: f64,
  /// What a late stream earns of its worth: 1.9 of 9.4
  #[bpaf(long("late-share"), argument("SHARE"), fallback(0.2))]
  pub late_share: f64,
  /// Time from the loss of all boxes until the first ones serve again, in seconds
  #[bpaf(long("dark-s"), argument("S"), fallback(1.2))]
  pub dark_s: f64,
  /// Halls, of which a cut takes one
  #[bpaf(long, argument("N"), fallback(5))]
  pub halls: u32,
  /// Stretches are shown from this gap on
  #[bpaf(long("shown-gap"), argument("WORTH"), fallback(0.05))]
  pub shown_gap: f64,
}

impl Default for BoundModel {
  fn default() -> Self {
    Self {
      dark_s: 1.2,
      halls: 5,
      late_share: 0.2,
      shown_gap: 0.05,
      stream_s: 3.3,
      stream_share: 0.86,
    }
  }
}

/// One stretch beside its bound.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundRow {
  /// The second at which it begins.
  pub from_s: f64,
  /// Requests that came in it.
  pub asked: u64,
  /// What they earned of what they owed.
  pub earned: f64,
  /// What they could have earned.
  pub bound: f64,
  /// The kinds of faults in it.
  pub faults: Vec<String>,
}

impl BoundModel {
  /// All stretches of a day.
  ///
  /// ```
  /// use emulator::bound::{BoundModel, DayReport};
  /// let text = r#"{"windows": [{"name": "38", "n": 9, "worth": 0.4}, {"name": "50", "n": 9, "worth": 0.9}],
  ///   "events": [{"at_s": 40.0, "to_s": 50.0, "kind": "closing (power_off_all)"}]}"#;
  /// let rows = BoundModel::default().rows(&DayReport::parse(text).unwrap());
  /// // Most streams that begin in the 2 s before the power goes are under way then.
  /// assert!((0.4..0.6).contains(&rows[0].bound));
  /// assert_eq!(rows[1].bound, 1.0);
  /// ```
  pub fn rows(&self, report: &DayReport) -> Vec<BoundRow> {
    let row = |window: &super::Window| {
      let from_s: f64 = window.from_s.parse().unwrap_or(0.0);
      let touches = |fault: &&Fault| fault.at_s < from_s + STRETCH_S && from_s < fault.to_s;
      let bound = self.stretch(from_s, &report.faults);
      BoundRow {
        asked: window.asked,
        bound: bound.max(window.earned),
        earned: window.earned,
        faults: report
          .faults
          .iter()
          .filter(touches)
          .map(|fault| fault.kind.clone())
          .collect(),
        from_s,
      }
    };
    report.windows.iter().map(row).collect()
  }

  /// The bound of a stretch: the mean over its moments.
  fn stretch(&self, from_s: f64, faults: &[Fault]) -> f64 {
    let moment = |sample| from_s + STRETCH_S * (f64::from(sample) + 0.5) / f64::from(SAMPLES);
    let sum: f64 = (0..SAMPLES)
      .map(|sample| self.earnable(moment(sample), faults))
      .sum();
    sum / f64::from(SAMPLES)
  }

  /// What requests that come at a moment can earn.
  fn earnable(&self, at_s: f64, faults: &[Fault]) -> f64 {
    faults
      .iter()
      .fold(1.0, |earnable, fault| earnable * self.left_by(fault, at_s))
  }

  /// What a fault leaves of it.
  fn left_by(&self, fault: &Fault, at_s: f64) -> f64 {
    let part = if fault.kind.contains("power_off_all") || fault.kind.contains("kill_all") {
      1.0
    } else if fault.kind.starts_with("zone_cut") {
      1.0 / f64::from(self.halls)
    } else {
      return 1.0;
    };
    let before_s = fault.at_s - at_s;
    if before_s >= 0.0 {
      // A stream is under way still when the fault comes: at best it goes on later.
      let under_way = (-before_s / self.stream_s).exp();
      return 1.0 - part * under_way * self.stream_share * (1.0 - self.late_share);
    }
    if part == 1.0 && -before_s < self.dark_s {
      // Nobody is there; lookups are not worth waiting for.
      return self.late_share * self.stream_share;
    }
    1.0
  }

  /// What the whole day earned, or could have.
  pub fn whole_day(rows: &[BoundRow], share: impl Fn(&BoundRow) -> f64) -> f64 {
    let asked: u64 = rows.iter().map(|row| row.asked).sum();
    let earned: f64 = rows.iter().map(|row| row.asked as f64 * share(row)).sum();
    earned / asked.max(1) as f64
  }

  /// The mean of the two worst stretches.
  pub fn worst_stretches(rows: &[BoundRow], share: impl Fn(&BoundRow) -> f64) -> f64 {
    let mut shares: Vec<f64> = rows.iter().map(share).collect();
    shares.sort_by(f64::total_cmp);
    let worst = &shares[..shares.len().min(2)];
    worst.iter().sum::<f64>() / worst.len().max(1) as f64
  }

  /// Whole day and worst stretches, weighed as on the large site; the worst zone and kind of request count as the whole day.
  pub fn worth(rows: &[BoundRow], share: impl Fn(&BoundRow) -> f64) -> f64 {
    WHOLE_DAY_WEIGHT * Self::whole_day(rows, &share)
      + WORST_STRETCHES_WEIGHT * Self::worst_stretches(rows, &share)
  }
}
