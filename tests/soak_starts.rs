//! The ids under which the soak's endpoints restart.

use {
  rstest::rstest,
  soak::{
    EarlyEnds, Fault, FaultSelection, Framings, Options, Profile, ScheduledFault, Starts,
    play_faults,
  },
  std::path::Path,
};

/// Additional time in the promises' time bounds, for a loaded test machine.
const SLACK_MS: u64 = 20_000;
const ENDPOINTS: usize = 8;

/// The ids of the endpoints that started, in order, in a play in which an engine restarts with the other version.
async fn started_ids(starts: Starts) -> Vec<String> {
  let directory = tempfile::tempdir().unwrap();
  let options = Options {
    directory: directory.path().into(),
    early_ends: EarlyEnds::WithinEvents,
    faults: FaultSelection::Restarts,
    faults_ms: 0,
    framings: Framings::Usual,
    profile: Profile::of_size(2, ENDPOINTS, 4).with_starts(starts),
    program: Path::new(env!("CARGO_BIN_EXE_rillford")).into(),
    seed: 7,
    slack_ms: SLACK_MS,
  };
  let restarted = Fault::EngineRestarted {
    down_ms: 50,
    first: 0,
    stale_ms: 300,
  };
  let restart = ScheduledFault {
    at_ms: 500,
    fault: restarted,
  };
  let report = play_faults(&options, vec![restart]).await.unwrap();
  let starts = report.records.starts.iter();
  starts.map(|start| start.incarnation.clone()).collect()
}

#[rstest]
#[case::nowhere(Starts::Nowhere, false)]
#[case::new_ids(Starts::NewIds, true)]
#[tokio::test(flavor = "multi_thread")]
async fn restarted_engine_has_a_new_id_only_where_starts_have_their_own(
  #[case] starts: Starts,
  #[case] is_new: bool,
) {
  let ids = started_ids(starts).await;
  assert_eq!(ids.len(), ENDPOINTS + 1);
  let (restarted, before) = ids.split_last().unwrap();
  assert_eq!(!before.contains(restarted), is_new, "{ids:?}");
}
