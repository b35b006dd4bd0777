//! All properties of the specification hold, and each mutant violates one.

use {
  model::{
    attempts::{self, Attempts},
    claim::{self, Claim},
    configuration::{self, Configuration},
    leader::{self, Leadership},
    versions::{self, Versions},
  },
  rstest::rstest,
};

const ONCE: &str = "run at most once";
const ANSWERED: &str = "answered at most once";
const HELD: &str = "no memory held once idle";
const ONE_VERSION: &str = "no stream goes on at another version than the one that began it";
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

#[rstest]
#[case(versions::Mutant::None, None)]
#[case(versions::Mutant::StreamsBeforeRecord, Some(ONE_VERSION))]
#[case(versions::Mutant::IgnoresRetirement, Some(ONE_VERSION))]
#[case(versions::Mutant::ResumesWithoutRecord, Some(ONE_VERSION))]
#[case(versions::Mutant::ConcludesFromView, Some(ONE_VERSION))]
#[case(versions::Mutant::ReadsBeforeRequest, Some(ONE_VERSION))]
#[case(versions::Mutant::RemovesActive, Some(ONE_VERSION))]
#[case(versions::Mutant::RemovesUnconditionally, Some(ONE_VERSION))]
#[case(versions::Mutant::ShortensLifetime, Some(ONE_VERSION))]
#[case(versions::Mutant::IgnoresViewAge, Some(ONE_VERSION))]
#[case(versions::Mutant::IgnoresReadTime, Some(ONE_VERSION))]
#[case(versions::Mutant::ViewsLagLonger, Some(ONE_VERSION))]
fn recorded_versions(#[case] mutant: versions::Mutant, #[case] violated: Option<&str>) {
  let found = Versions { mutant }.check();
  assert_eq!(found.counterexample.map(|(property, _)| property), violated);
}
