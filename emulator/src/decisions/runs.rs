//! Runs of one variant over several seeds.

use {
  super::{
    figures::Figures,
    variant::Variant,
    workload::{Day, Site},
    world::simulate,
  },
  std::thread,
};

/// Runs a variant with all seeds, each in a thread.
pub(super) fn runs(site: Site, day: Day, variant: &Variant, seeds: u64) -> Vec<Figures> {
  thread::scope(|scope| {
    let handles = (1..=seeds)
      .map(|seed| scope.spawn(move || simulate(site, day, variant, seed)))
      .collect::<Vec<_>>();
    handles
      .into_iter()
      .filter_map(|run| run.join().ok())
      .collect()
  })
}

/// The run with the highest goodput among the variants with perfect knowledge, for each seed.
pub(super) fn upper_bound(site: Site, day: Day, load: f64, seeds: u64) -> Vec<Figures> {
  let mut best = Vec::<Figures>::new();
  for variant in Variant::perfect(site) {
    let runs = runs(site, day, &variant.at(load), seeds);
    if best.is_empty() {
      best = runs;
      continue;
    }
    for (best, run) in best.iter_mut().zip(runs) {
      if run.good > best.good {
        *best = run;
      }
    }
  }
  best
}
