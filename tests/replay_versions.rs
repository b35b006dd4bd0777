//! The replay's versions of software: those that serve side by side, and those of servers that come back.

use {
  super::replay_play::{SITE, play_day, repository, run_alone},
  replay::{ServedVersions, ServerVersions, Site, SoftwareVersion, Stage},
  rstest::rstest,
  std::{
    collections::{BTreeMap, BTreeSet},
    fs,
  },
};

const DECODE: Option<Stage> = Some(Stage::Decode);

/// Engines of both stages: decode engines at even places.
fn engines(count: usize) -> Vec<(usize, Stage)> {
  let stage = |place| match place % 2 {
    0 => Stage::Decode,
    _ => Stage::Prefill,
  };
  (0..count).map(|place| (place, stage(place))).collect()
}

fn start_all(versions: &ServerVersions, engines: &[(usize, Stage)]) -> Vec<SoftwareVersion> {
  versions.plan_first(engines);
  let starts = (0..).zip(engines);
  starts
    .map(|(start, (place, stage))| versions.next(*place, Some(*stage), start, &[]))
    .collect()
}

fn count(versions: &[SoftwareVersion], of: SoftwareVersion) -> usize {
  versions.iter().filter(|version| **version == of).count()
}

#[rstest]
#[case("one", Ok(ServedVersions::One))]
#[case("both", Ok(ServedVersions::Both))]
#[case("three", Err("three is neither one nor both".into()))]
fn served_versions_are_parsed(
  #[case] text: &str,
  #[case] expected: Result<ServedVersions, String>,
) {
  assert_eq!(text.parse(), expected);
}

/// Guards against a service whose engines of one stage all have the same version.
#[rstest]
fn first_engines_of_each_stage_have_both_versions(
  #[values(4, 5, 9, 18)] engine_count: usize,
  #[values(0, 1, 7)] seed: u64,
) {
  let engines = engines(engine_count);
  let versions = start_all(&ServerVersions::new(ServedVersions::Both, seed), &engines);
  for of in [SoftwareVersion::V1, SoftwareVersion::V2] {
    assert!(count(&versions, of) >= engine_count / 2);
    for stage in [Stage::Decode, Stage::Prefill] {
      let of_stage = engines.iter().zip(&versions);
      let of_stage = of_stage.filter(|((_, has), _)| *has == stage);
      let of_stage: Vec<SoftwareVersion> = of_stage.map(|(_, version)| *version).collect();
      assert!(count(&of_stage, of) >= of_stage.len() / 2);
    }
  }
}

#[test]
fn seed_settles_the_versions() {
  let starts = |seed| {
    let versions = ServerVersions::new(ServedVersions::Both, seed);
    let mut all = start_all(&versions, &engines(9));
    all.extend((9..40).map(|start| versions.next(2, DECODE, start, &[0, 1, 3, 4])));
    all
  };
  assert_eq!(starts(3), starts(3));
  assert_ne!(starts(3), starts(4));
}

#[test]
fn engine_comes_back_at_either_version() {
  let versions = ServerVersions::new(ServedVersions::Both, 1);
  let first = start_all(&versions, &engines(4));
  // Of the engines that stay, one has either version.
  let others: Vec<usize> = [SoftwareVersion::V1, SoftwareVersion::V2]
    .iter()
    .filter_map(|of| first[1..].iter().position(|version| version == of))
    .map(|at| at + 1)
    .collect();
  let again = (4..40).map(|start| versions.next(0, DECODE, start, &others));
  let again: Vec<SoftwareVersion> = again.collect();
  assert!(count(&again, SoftwareVersion::V1) > 0);
  assert!(count(&again, SoftwareVersion::V2) > 0);
}

/// Guards against a version that is gone since all engines that came back have drawn the other one.
#[test]
fn engine_comes_back_at_the_version_that_no_other_has() {
  let versions = ServerVersions::new(ServedVersions::Both, 1);
  let first = start_all(&versions, &[(0, Stage::Decode), (1, Stage::Decode)]);
  for start in 2..40 {
    assert_eq!(versions.next(0, DECODE, start, &[1]), first[1].other());
  }
}

#[test]
fn release_replaces_a_version_by_the_other() {
  for served in [ServedVersions::One, ServedVersions::Both] {
    let versions = ServerVersions::new(served, 1);
    let first = start_all(&versions, &engines(4));
    let others = [1, 2, 3];
    versions.plan_release(0, 4, &others);
    assert_eq!(versions.next(4, DECODE, 4, &others), first[0].other());
  }
}

/// Guards against a release that takes the last engine of a version away.
#[test]
fn release_leaves_both_versions() {
  let versions = ServerVersions::new(ServedVersions::Both, 1);
  let first = start_all(&versions, &[(0, Stage::Decode), (1, Stage::Decode)]);
  versions.plan_release(0, 2, &[1]);
  assert_eq!(versions.next(2, DECODE, 2, &[0, 1]), first[0]);
}

#[test]
fn one_version_serves_by_default() {
  let versions = ServerVersions::new(ServedVersions::default(), 1);
  let first = start_all(&versions, &engines(9));
  assert_eq!(count(&first, SoftwareVersion::V1), 9);
  versions.plan_release(0, 9, &[1]);
  assert_eq!(versions.next(9, DECODE, 9, &[1]), SoftwareVersion::V2);
  // It comes back at the version that it had.
  assert_eq!(versions.next(9, DECODE, 10, &[1]), SoftwareVersion::V2);
}

#[test]
fn plain_services_have_one_version() {
  let versions = ServerVersions::new(ServedVersions::Both, 1);
  let all = (0..20).map(|start| versions.next(start, None, start as u64, &[]));
  assert_eq!(count(&all.collect::<Vec<_>>(), SoftwareVersion::V1), 20);
}

/// The versions of the writers that serve after each line of a timeline, and the line.
fn serving_versions(timeline: &str) -> Vec<(BTreeSet<String>, &str)> {
  let mut serving: BTreeMap<&str, &str> = BTreeMap::new();
  let mut moments = Vec::new();
  for line in timeline.lines() {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[1..] {
      ["server", id, "(writer,", version, "starts", ..] => {
        serving.insert(id, version.trim_end_matches(')'));
      }
      ["server", id, "crashes" | "leaves"] => {
        serving.remove(id);
      }
      _ => {}
    }
    let versions = serving.values().map(|version| (*version).into());
    moments.push((versions.collect(), line));
  }
  moments
}

/// Guards against a day on which one of the versions does not serve from beginning to end.
#[test]
fn both_versions_serve_for_a_whole_day() {
  let site = Site::parse(&SITE.replacen("length_s = 14.0", "length_s = 9.0", 1)).unwrap();
  let mut day = site.day("eventful").unwrap().clone();
  day.length_s = Some(13.0);
  day.plan.retain(|of| &*of.kind == "release");
  day.faults.retain(|of| &*of.kind == "srv_crash");
  // The release begins once the engine that crashed is back.
  (day.faults[0].at_s, day.faults[0].for_s, day.plan[0].at_s) = (1.0, Some(1.0), 4.0);
  let directory = tempfile::tempdir().unwrap();
  let versions = ServedVersions::Both;
  let report = run_alone(play_day(
    &site,
    &day,
    &repository(),
    directory.path(),
    versions,
  ));
  assert_eq!(report.findings_text(), "");
  let timeline = fs::read_to_string(directory.path().join("timeline.txt")).unwrap();
  let moments = serving_versions(&timeline);
  let moments: Vec<_> = moments
    .iter()
    .skip_while(|(_, line)| !line.ends_with("traffic begins"))
    .take_while(|(_, line)| !line.ends_with("traffic ends"))
    .collect();
  for event in ["crashes", "ends srv_crash", "ends release", "closing ends"] {
    assert!(
      moments.iter().any(|(_, line)| line.contains(event)),
      "{event}: {timeline}"
    );
  }
  let both = BTreeSet::from(["v1".to_string(), "v2".into()]);
  for (versions, line) in moments {
    assert_eq!(versions, &both, "{line}: {timeline}");
  }
}
