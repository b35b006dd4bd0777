//! A short seeded run of the soak.

use {
  soak::{EarlyEnds, FaultSelection, Framings, Options, Profile, play},
  std::path::Path,
};

const FAULTS_MS: u64 = 6_000;
/// Additional time in the promises' time bounds, for a loaded test machine. Promises without a time bound are checked as
/// they are.
const SLACK_MS: u64 = 20_000;

#[tokio::test(flavor = "multi_thread")]
async fn short_run_keeps_all_promises() {
  let directory = tempfile::tempdir().unwrap();
  let report = play(&Options {
    directory: directory.path().into(),
    early_ends: EarlyEnds::WithinEvents,
    faults: FaultSelection::All,
    faults_ms: FAULTS_MS,
    framings: Framings::Mixed,
    profile: Profile::of_size(3, 8, 8),
    program: Path::new(env!("CARGO_BIN_EXE_rillford")).into(),
    seed: 7,
    slack_ms: SLACK_MS,
  })
  .await
  .unwrap();
  assert_eq!(report.breaches, []);
  assert_eq!(report.findings, []);
  assert_eq!(report.differences, []);
  assert!(!report.records.requests.is_empty());
}
