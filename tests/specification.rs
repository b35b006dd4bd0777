//! All properties of the specification hold, and each mutant violates one.

use {
  model::{
    attempts::{self, Attempts},
    claim::{self, Claim},
    configuration::{self, Configuration},
    leader::{self, Leadership},
  },
  rstest::rstest,
};

const ONCE: &str = "run at most once";
const ANSWERED: &str = "answered at most once";
const HELD: &str = "no memory held once idle";
const STALE: &str = "no command of an old leader after one of a new leader";

#[rstest]
#[case(claim::Mutant::None, None)]
#[case(claim::Mutant::TakesOverClaim, Some(ONCE))]
#[case(claim::Mutant::TrustsLostResponse, Some(ONCE))]
#[case(claim::Mutant::ReleasesWhenUncertain, Some(ONCE))]
#[case(
  claim::Mutant::ReportsNotRunWhenUncertain,
  Some("work reported as not run never runs")
)]
fn claims(#[case] mutant: claim::Mutant, #[case] violated: Option<&str>) {
  let found = Claim { mutant }.check();
  assert_eq!(found.counterexample.map(|(property, _)| property), violated);
}

#[rstest]
#[case(attempts::Mutant::None, None)]
#[case(attempts::Mutant::NoTombstone, Some(HELD))]
#[case(attempts::Mutant::CancelsOnce, Some(HELD))]
#[case(attempts::Mutant::AcceptsAnyAttempt, Some(ANSWERED))]
#[case(attempts::Mutant::NoSweep, Some(HELD))]
#[case(attempts::Mutant::TwoLive, Some("one live attempt"))]
fn attempts_and_cancels(#[case] mutant: attempts::Mutant, #[case] violated: Option<&str>) {
  let found = Attempts { mutant }.check();
  assert_eq!(found.counterexample.map(|(property, _)| property), violated);
}

#[rstest]
#[case(configuration::Mutant::None, None)]
#[case(
  configuration::Mutant::AppliesOlder,
  Some("the revisions of a box never decrease")
)]
#[case(
  configuration::Mutant::WritesUnconditionally,
  Some("no accepted write is lost")
)]
fn configurations(#[case] mutant: configuration::Mutant, #[case] violated: Option<&str>) {
  let found = Configuration { mutant }.check();
  assert_eq!(found.counterexample.map(|(property, _)| property), violated);
}

#[rstest]
#[case(leader::Mutant::None, true, None)]
#[case(leader::Mutant::None, false, None)]
#[case(leader::Mutant::NoFence, true, Some(STALE))]
#[case(leader::Mutant::NoMargin, false, Some(STALE))]
#[case(leader::Mutant::NoClock, false, Some(STALE))]
fn leaders(
  #[case] mutant: leader::Mutant,
  #[case] engine_checks: bool,
  #[case] violated: Option<&str>,
) {
  let spec = Leadership {
    engine_checks,
    mutant,
  };
  let found = spec.check();
  assert_eq!(found.counterexample.map(|(property, _)| property), violated);
}
