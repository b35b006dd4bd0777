//! Explores all specifications and prints states, depth and time.

use {
  model::{
    Spec,
    attempts::{self, Attempts},
    claim::{self, Claim},
    configuration::{self, Configuration},
    explore,
    steward::{self, Leadership},
  },
  std::time::Instant,
};

fn show<T: Spec>(name: &str, spec: &T) {
  let started = Instant::now();
  let found = explore(spec);
  let verdict = match &found.counterexample {
    None => "all properties hold".to_string(),
    Some((property, path)) => format!("broken after {} steps: {property}", path.len() - 1),
  };
  println!(
    "{name:<44} {:>8} states, depth {:>3}, {:>6} ms: {verdict}",
    found.states,
    found.depth,
    started.elapsed().as_millis()
  );
}

fn main() {
  use {
    attempts::Mutant as A, claim::Mutant as C, configuration::Mutant as F, steward::Mutant as S,
  };
  for mutant in [
    C::None,
    C::TakesOver,
    C::TrustsLostAnswer,
    C::ReleasesInDoubt,
    C::TellsNotRunInDoubt,
  ] {
    show(&format!("claim, {mutant:?}"), &Claim { mutant });
  }
  for mutant in [
    A::None,
    A::NoTombstone,
    A::CancelsOnce,
    A::JoinsAnyAttempt,
    A::NoSweep,
    A::TwoLive,
  ] {
    show(&format!("attempts, {mutant:?}"), &Attempts { mutant });
  }
  for mutant in [F::None, F::AppliesAnything, F::WritesBlindly] {
    show(
      &format!("configuration, {mutant:?}"),
      &Configuration { mutant },
    );
  }
  for (mutant, engine_checks) in [
    (S::None, true),
    (S::None, false),
    (S::NoFence, true),
    (S::NoMargin, false),
    (S::NoClock, false),
  ] {
    let name = format!("steward, {mutant:?}, engine checks {engine_checks}");
    show(
      &name,
      &Leadership {
        engine_checks,
        mutant,
      },
    );
  }
}
