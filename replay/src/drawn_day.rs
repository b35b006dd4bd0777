//! Days drawn from the troubles of a site.

use {
  super::site::{Closing, Day, Impairment, Site},
  rand::{RngExt, SeedableRng, seq::IndexedRandom},
  rand_chacha::ChaCha8Rng,
};

/// Troubles of a day, at least and at most.
const TROUBLES: (usize, usize) = (3, 6);
/// Share of a day in which they begin.
const BEGINNINGS: f64 = 0.8;
/// Kinds of planned work.
const PLANNED: [&str; 9] = [
  "add_nodes",
  "big_config",
  "config_change",
  "config_storm",
  "hup",
  "release",
  "roll_term",
  "scale_in",
  "scale_out",
];
/// Planned if its variant says so.
const REPLACEMENT: &str = "replace_core";
/// What may strike at the end of a day; an empty kind stands for nothing.
const CLOSINGS: [&str; 3] = ["", "kill_all", "power_off_all"];
/// Time until the machines are back after that, at least and at most.
const DOWN_S: (f64, f64) = (0.5, 1.6);

/// A day with three to six different troubles of a site, or all if it has fewer, at random moments of the first four fifths of its
/// traffic, and with or without a fault at its end. The same seed gives the same day.
pub fn drawn_day(site: &Site, seed: u64) -> Day {
  let mut random = ChaCha8Rng::seed_from_u64(seed);
  let count = random.random_range(TROUBLES.0..=TROUBLES.1);
  let drawn: Vec<Impairment> = site.troubles.sample(&mut random, count).cloned().collect();
  let latest_s = site.length_s * BEGINNINGS;
  let mut troubles: Vec<Impairment> = drawn
    .into_iter()
    .map(|trouble| Impairment {
      at_s: tenths(random.random_range(0.0..latest_s)),
      ..trouble
    })
    .collect();
  troubles.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
  let (plan, faults) = troubles.into_iter().partition(is_planned);
  Day {
    name: format!("drawn-{seed}").into(),
    seed,
    length_s: None,
    plan,
    faults,
    closing: draw_closing(&mut random),
    traffic: None,
  }
}

fn is_planned(trouble: &Impairment) -> bool {
  let kind = &*trouble.kind;
  PLANNED.contains(&kind) || kind == REPLACEMENT && trouble.has("planned")
}

fn draw_closing(random: &mut ChaCha8Rng) -> Option<Closing> {
  let kind = *CLOSINGS.choose(random)?;
  let down_s = tenths(random.random_range(DOWN_S.0..=DOWN_S.1));
  (!kind.is_empty()).then(|| Closing {
    kind: kind.into(),
    down_s,
    how: "".into(),
  })
}

/// Rounds down to a tenth of a second, so that reports are short.
fn tenths(time_s: f64) -> f64 {
  (time_s * 10.0).floor() / 10.0
}
