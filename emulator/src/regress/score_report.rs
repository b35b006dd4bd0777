//! What the bench prints of a score: a row a day, and whether the gate is passed.

/// Days that are drawn at each score: they count for the gate, not for the mean.
const DRAWN: &str = "fresh-";
/// Days without trouble.
const CALM: &str = "quiet-";

/// A score of one site.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoreReport {
  /// Each day's name and worth.
  pub days: Vec<(String, f64)>,
  /// Whether the gate is passed.
  pub gate_passed: bool,
}

impl ScoreReport {
  /// The mean worth of the standard days with trouble; 0 when there is none.
  pub fn mean(&self) -> f64 {
    let troubled = |name: &str| !name.starts_with(DRAWN) && !name.starts_with(CALM);
    let worths: Vec<f64> = self
      .days
      .iter()
      .filter(|(name, _)| troubled(name))
      .map(|(_, worth)| *worth)
      .collect();
    worths.iter().sum::<f64>() / worths.len().max(1) as f64
  }
}

/// Reads what the bench printed; nothing when no day with its worth is there.
///
/// ```
/// use emulator::regress::score_report;
/// let printed = "day          own/srv  score  worth served\n\
///   quiet-1      195/129   0.69  0.921  0.990\n\
///   trouble-1    195/129   0.71  0.670  0.898\n\
///   scale-1      195/129   0.77  0.818  0.951\n\
///   fresh-7916   195/129   1.00  0.720  0.924\n\
///   GATE passed\n";
/// let report = score_report(printed).unwrap();
/// assert_eq!(report.days.len(), 4);
/// assert!(report.gate_passed);
/// assert!((report.mean() - 0.744).abs() < 1e-9);
/// assert!(score_report("the build failed").is_none());
/// ```
pub fn score_report(printed: &str) -> Option<ScoreReport> {
  let days: Vec<(String, f64)> = printed.lines().filter_map(day).collect();
  if days.is_empty() {
    return None;
  }
  Some(ScoreReport {
    days,
    gate_passed: printed.lines().any(|line| line == "GATE passed"),
  })
}

/// A day's row: its name, machines, score and worth.
fn day(line: &str) -> Option<(String, f64)> {
  let mut words = line.split_whitespace();
  let name = words.next()?;
  let (own, servers) = words.next()?.split_once('/')?;
  let is_row = [own, servers]
    .iter()
    .all(|count| count.parse::<u32>().is_ok());
  words.next()?.parse::<f64>().ok().filter(|_| is_row)?;
  Some((name.into(), words.next()?.parse().ok()?))
}
