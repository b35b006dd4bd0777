//! The specification holds in full, and each mutant of it is found out.

use {
  model::{
    attempts::{self, Attempts},
    claim::{self, Claim},
    configuration::{self, Configuration},
    steward::{self, Leadership},
  },
  rstest::rstest,
};

const ONCE: &str = "run at most once";
const ANSWERED: &str = "answered at most once";
const HELD: &str = "nothing held when all is quiet";
const OLD: &str = "no order of an old steward after one of a new";

#[rstest]
#[case(claim::Mutant::None, None)]
#[case(claim::Mutant::TakesOver, Some(ONCE))]
#[case(claim::Mutant::TrustsLostAnswer, Some(ONCE))]
#[case(claim::Mutant::ReleasesInDoubt, Some(ONCE))]
#[case(
  claim::Mutant::TellsNotRunInDoubt,
  Some("\"not run\" did not run and will not")
)]
fn claims(#[case] mutant: claim::Mutant, #[case] broken: Option<&str>) {
  let found = Claim { mutant }.check();
  assert_eq!(found.counterexample.map(|(property, _)| property), broken);
}

#[rstest]
#[case(attempts::Mutant::None, None)]
#[case(attempts::Mutant::NoTombstone, Some(HELD))]
#[case(attempts::Mutant::CancelsOnce, Some(HELD))]
#[case(attempts::Mutant::JoinsAnyAttempt, Some(ANSWERED))]
#[case(attempts::Mutant::NoSweep, Some(HELD))]
#[case(attempts::Mutant::TwoLive, Some("one live attempt"))]
fn attempts_and_cancels(#[case] mutant: attempts::Mutant, #[case] broken: Option<&str>) {
  let found = Attempts { mutant }.check();
  assert_eq!(found.counterexample.map(|(property, _)| property), broken);
}

#[rstest]
#[case(configuration::Mutant::None, None)]
#[case(configuration::Mutant::AppliesAnything, Some("a box never goes back"))]
#[case(
  configuration::Mutant::WritesBlindly,
  Some("no accepted write is lost")
)]
fn configurations(#[case] mutant: configuration::Mutant, #[case] broken: Option<&str>) {
  let found = Configuration { mutant }.check();
  assert_eq!(found.counterexample.map(|(property, _)| property), broken);
}

#[rstest]
#[case(steward::Mutant::None, true, None)]
#[case(steward::Mutant::None, false, None)]
#[case(steward::Mutant::NoFence, true, Some(OLD))]
#[case(steward::Mutant::NoMargin, false, Some(OLD))]
#[case(steward::Mutant::NoClock, false, Some(OLD))]
fn stewards(
  #[case] mutant: steward::Mutant,
  #[case] engine_checks: bool,
  #[case] broken: Option<&str>,
) {
  let spec = Leadership {
    engine_checks,
    mutant,
  };
  let found = spec.check();
  assert_eq!(found.counterexample.map(|(property, _)| property), broken);
}
