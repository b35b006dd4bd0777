//! Results of an experiment: means, and paired differences with their standard error.

use {
  super::Measurement,
  std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
  },
};

/// Results of one variant on one site.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
  /// Name of the site file.
  pub site: String,
  /// Name of the variant.
  pub variant: String,
  /// Number of completed trials.
  pub trials: usize,
  /// Mean worth.
  pub worth: f64,
  /// Mean prices, in worth.
  pub prices: f64,
  /// Mean over the seeds of the difference in worth to the baseline, averaged over the days of each seed.
  pub difference: f64,
  /// Standard error of `difference`; 0 with a single seed.
  pub standard_error: f64,
  /// Number of trials that violated a rule.
  pub violations: usize,
}

/// Summarises each variant on each site, paired by day and seed with the variant `base`, the baseline.
///
/// ```
/// use emulator::experiment::{Measurement, summarise};
/// let measured = |variant: &str, seed, worth| Measurement {
///   variant: variant.into(), site: "s".into(), day: "d".into(), seed, worth, earned_share: 1.0, prices: 0.0,
///   rules_broken: 0,
/// };
/// let all = [
///   measured("a", 1, 0.5), measured("a", 2, 0.7), measured("b", 1, 0.6), measured("b", 2, 0.9),
/// ];
/// let of_b = &summarise("a", &all)[1];
/// assert!((of_b.difference - 0.15).abs() < 1e-9);
/// assert!((of_b.standard_error - 0.05).abs() < 1e-9);
/// ```
pub fn summarise(base: &str, measured: &[Measurement]) -> Vec<Summary> {
  let sites: BTreeSet<&str> = measured.iter().map(|one| &*one.site).collect();
  let mut names: Vec<&str> = vec![base];
  for one in measured {
    if !names.contains(&&*one.variant) {
      names.push(&one.variant);
    }
  }
  let pairs = sites
    .iter()
    .flat_map(|site| names.iter().map(move |name| (*site, *name)));
  pairs
    .map(|(site, name)| {
      let of = |variant: &str| -> Vec<&Measurement> {
        let is_of = |one: &&Measurement| one.site == site && one.variant == variant;
        measured.iter().filter(is_of).collect()
      };
      summary(site, name, &of(name), &of(base))
    })
    .collect()
}

fn summary(site: &str, variant: &str, own: &[&Measurement], base: &[&Measurement]) -> Summary {
  let differences = seed_differences(own, base);
  Summary {
    violations: own.iter().filter(|one| one.rules_broken > 0).count(),
    difference: mean(&differences),
    prices: mean(&own.iter().map(|one| one.prices).collect::<Vec<_>>()),
    site: site.into(),
    standard_error: standard_error(&differences),
    trials: own.len(),
    variant: variant.into(),
    worth: mean(&own.iter().map(|one| one.worth).collect::<Vec<_>>()),
  }
}

/// For each seed, the mean difference over the days that both variants completed.
fn seed_differences(own: &[&Measurement], base: &[&Measurement]) -> Vec<f64> {
  let mut seeds: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
  for one in own {
    let pair = base
      .iter()
      .find(|other| other.day == one.day && other.seed == one.seed);
    if let Some(pair) = pair {
      seeds
        .entry(one.seed)
        .or_default()
        .push(one.worth - pair.worth);
    }
  }
  seeds
    .values()
    .map(|differences| mean(differences))
    .collect()
}

fn mean(values: &[f64]) -> f64 {
  values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn standard_error(values: &[f64]) -> f64 {
  if values.len() < 2 {
    return 0.0;
  }
  let mean = mean(values);
  let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
  (squares / (values.len() - 1) as f64 / values.len() as f64).sqrt()
}

pub(super) fn markdown_table(summaries: &[Summary]) -> String {
  let mut text = String::from(
    "| site | variant | trials | worth | prices | difference | standard error | rules broken |\n\
     | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |\n",
  );
  for one in summaries {
    // Writing to a string can't fail.
    let _ = writeln!(
      text,
      "| {} | {} | {} | {:.3} | {:.3} | {:+.4} | {:.4} | {} |",
      one.site,
      one.variant,
      one.trials,
      one.worth,
      one.prices,
      one.difference,
      one.standard_error,
      one.violations
    );
  }
  text
}
