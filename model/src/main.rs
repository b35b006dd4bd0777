//! Explores all specifications and prints the number of states, the depth and the time.

use {
  model::{
    Spec,
    attempts::{self, Attempts},
    claim::{self, Claim},
    configuration::{self, Configuration},
    explore,
    leader::{self, Leadership},
    versions::{self, Versions},
  },
  std::time::Instant,
};

fn report<T: Spec>(name: &str, spec: &T) {
  let started = Instant::now();
  let found = explore(spec);
  let verdict = match &found.counterexample {
    None => "all properties hold".to_string(),
    Some((property, path)) => format!("violated after {} steps: {property}", path.len() - 1),
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
    attempts::Mutant as A, claim::Mutant as C, configuration::Mutant as R, leader::Mutant as L,
    versions::Mutant as V,
  };
  for mutant in [
    C::None,
    C::TakesOverClaim,
    C::TrustsLostResponse,
    C::ReleasesWhenUncertain,
    C::ReportsNotRunWhenUncertain,
  ] {
    report(&format!("claim, {mutant:?}"), &Claim { mutant });
  }
  for mutant in [
    A::None,
    A::NoTombstone,
    A::CancelsOnce,
    A::AcceptsAnyAttempt,
    A::NoSweep,
    A::TwoLive,
  ] {
    report(&format!("attempts, {mutant:?}"), &Attempts { mutant });
  }
  for mutant in [R::None, R::AppliesOlder, R::WritesUnconditionally] {
    report(
      &format!("configuration, {mutant:?}"),
      &Configuration { mutant },
    );
  }
  for (mutant, engine_checks) in [
    (L::None, true),
    (L::None, false),
    (L::NoFence, true),
    (L::NoMargin, false),
    (L::NoClock, false),
  ] {
    let name = format!("leader, {mutant:?}, engine checks {engine_checks}");
    report(
      &name,
      &Leadership {
        engine_checks,
        mutant,
      },
    );
  }
  for mutant in [
    V::None,
    V::StreamsBeforeRecord,
    V::IgnoresRetirement,
    V::ResumesWithoutRecord,
    V::ConcludesFromView,
    V::ReadsBeforeRequest,
    V::RemovesActive,
    V::RemovesUnconditionally,
    V::ShortensLifetime,
    V::IgnoresViewAge,
    V::IgnoresReadTime,
    V::ViewsLagLonger,
  ] {
    report(&format!("versions, {mutant:?}"), &Versions { mutant });
  }
}
