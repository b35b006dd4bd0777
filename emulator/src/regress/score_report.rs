//! Parser of the text that `bench score` prints: one row per simulated day, and the verdict of the gate.

/// Prefix of randomly generated days, which count for the gate but not for the mean.
const GENERATED_PREFIX: &str = "fresh-";
/// Prefix of days without faults, which do not count for the mean.
const QUIET_PREFIX: &str = "quiet-";

/// The score of one site.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoreReport {
  /// Name and worth of each day.
  pub days: Vec<(String, f64)>,
  /// Whether the gate is passed.
  pub gate_passed: bool,
}

impl ScoreReport {
  /// The mean worth of the standard days with faults; 0 if there are none.
  pub fn mean(&self) -> f64 {
    let counts =
      |name: &str| !name.starts_with(GENERATED_PREFIX) && !name.starts_with(QUIET_PREFIX);
    let worths: Vec<f64> = self
      .days
      .iter()
      .filter(|(name, _)| counts(name))
      .map(|(_, worth)| *worth)
      .collect();
    worths.iter().sum::<f64>() / worths.len().max(1) as f64
  }
}

/// Parses the output of the bench; `None` if it holds no row of a day.
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
  let days: Vec<(String, f64)> = printed.lines().filter_map(parse_day).collect();
  if days.is_empty() {
    return None;
  }
  Some(ScoreReport {
    days,
    gate_passed: printed.lines().any(|line| line == "GATE passed"),
  })
}

/// Parses the row of a day: name, own machines/servers, score, worth. `None` for other lines.
fn parse_day(line: &str) -> Option<(String, f64)> {
  let mut words = line.split_whitespace();
  let name = words.next()?;
  let (own, servers) = words.next()?.split_once('/')?;
  let is_row = [own, servers]
    .iter()
    .all(|count| count.parse::<u32>().is_ok());
  words.next()?.parse::<f64>().ok().filter(|_| is_row)?;
  Some((name.into(), words.next()?.parse().ok()?))
}
