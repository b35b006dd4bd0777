//! Impairments that are the replay's own, or that no standard day of the small site holds.

use {
  super::{SITE, play_day, repository, run_alone, streams},
  replay::{Closing, Error, Impairment, ServedVersions, Site, add_impairments, unplayable_kinds},
  rstest::rstest,
  std::{collections::BTreeSet, fs, path::Path},
};

/// Boxes of the small site.
const BOXES: [&str; 3] = ["front-north-0", "front-north-1", "front-south-2"];
/// Traffic after a closing.
const RECOVERY_S: f64 = 6.0;

/// Impairments of a day, and what the timeline tells of each, in this order.
type Expected = &'static [(&'static str, &'static [&'static str])];

const HOLDS: Expected = &[
  (
    "kind = 'late_links'\nat = 1.0\nshare = 1.0\nfor_s = 4.0",
    &[
      "fault 0 begins late_links",
      "messages are up to 600 ms late",
      "fault 0 ends late_links",
    ],
  ),
  (
    "kind = 'standstill'\nat = 2.0\ncount = 2\ngap_s = 0.5",
    &[
      "fault 1 begins standstill",
      "stands still for",
      "stands still for",
      "fault 1 ends standstill",
    ],
  ),
  (
    "kind = 'srv_slow'\nat = 1.0\nservice = 'writer'\ncount = 2\nfor_s = 4.0",
    &[
      "fault 2 begins srv_slow",
      "WorkSlowed(4.0)",
      "fault 2 ends srv_slow",
    ],
  ),
];

const CUTS: Expected = &[
  (
    "kind = 'reset_conns'\nat = 2.0\nshare = 1.0\nx = 0.5",
    &[
      "fault 0 begins reset_conns",
      "0.5 of the connections are reset",
      "fault 0 ends reset_conns",
    ],
  ),
  (
    "kind = 'srv_cut'\nat = 1.0\nservice = 'office'\ncount = 1\nfor_s = 3.0",
    &[
      "fault 1 begins srv_cut",
      "beside boxes {}",
      "the entry of server",
      "fault 1 ends srv_cut",
    ],
  ),
  (
    "kind = 'srv_cut'\nat = 3.0\nservice = 'writer'\ncount = 2\nfor_s = 4.0\nhow = 'fronts reborn'",
    &[
      "fault 2 begins srv_cut",
      "beside boxes {",
      "crashes",
      "(writer, v1) starts",
      "fault 2 ends srv_cut",
    ],
  ),
  (
    "kind = 'srv_cut'\nat = 7.5\nservice = 'writer'\ncount = 2\nfor_s = 2.0\nhow = 'some lossy'",
    &[
      "fault 3 begins srv_cut",
      "beside boxes {",
      "fault 3 ends srv_cut",
    ],
  ),
];

const REUSES: Expected = &[
  (
    "kind = 'replace_with_reuse'\nat = 1.0\nservice = 'writer'\ncount = 1",
    &[
      "fault 0 begins replace_with_reuse",
      "crashes",
      "is given to office",
      "(office, v1) starts",
    ],
  ),
  (
    "kind = 'replace_with_reuse'\nat = 3.5\nservice = 'writer'\ncount = 1\nhow = 'dark'",
    &[
      "fault 1 begins replace_with_reuse",
      "crashes",
      "is given to office",
      "(office, v1) starts",
    ],
  ),
  (
    "kind = 'replace_with_reuse'\nat = 2.0\nservice = 'office'\ncount = 1\nhow = 'drain'",
    &[
      "fault 2 begins replace_with_reuse",
      "has left",
      "is given to writer",
      "(writer, v1) starts",
    ],
  ),
];

/// Plays impairments in a day of a length, with a closing or none, and gives the timeline.
fn play_impairments(
  expected: Expected,
  length_s: f64,
  closing: Option<Closing>,
  directory: &Path,
) -> String {
  let text = SITE.replacen("length_s = 14.0", &format!("length_s = {length_s:.1}"), 1);
  let site = Site::parse(&text).unwrap();
  let mut day = site.day("quiet").cloned().unwrap();
  let faults = expected.iter().map(|(fault, _)| toml::from_str(fault));
  day.faults = faults.collect::<Result<_, _>>().unwrap();
  day.length_s = closing.is_some().then_some(length_s + RECOVERY_S);
  day.closing = closing;
  assert!(unplayable_kinds(&day).is_empty());
  let report = run_alone(play_day(
    &site,
    &day,
    &repository(),
    directory,
    ServedVersions::One,
  ));
  assert_eq!(report.findings_text(), "");
  let [sent, begun, _] = streams(&report.to_string());
  assert!(sent > 5 && begun > 0, "{report}");
  fs::read_to_string(directory.join("timeline.txt")).unwrap()
}

/// Checks that a timeline holds these lines, in this order.
fn assert_holds(timeline: &str, lines: &[&str]) {
  let mut rest = timeline;
  for line in lines {
    let Some((_, after)) = rest.split_once(line) else {
      panic!("{line}: {timeline}");
    };
    rest = after;
  }
}

#[rstest]
#[case::holds(HOLDS, 7.0)]
#[case::cuts(CUTS, 10.0)]
fn impairments_are_played_without_findings(#[case] expected: Expected, #[case] length_s: f64) {
  let directory = tempfile::tempdir().unwrap();
  let timeline = play_impairments(expected, length_s, None, directory.path());
  for (_, lines) in expected {
    assert_holds(&timeline, lines);
  }
}

/// Guards against addresses that nobody is given, and a closing from which all boxes come back as they were.
#[test]
fn reused_addresses_and_a_lost_box_are_played_without_findings() {
  let directory = tempfile::tempdir().unwrap();
  let closing = Closing {
    down_s: 0.5,
    how: "".into(),
    kind: "wipe_after_ack".into(),
  };
  let timeline = play_impairments(REUSES, 8.0, Some(closing), directory.path());
  for (_, lines) in REUSES {
    assert_holds(&timeline, lines);
  }
  let closing = [
    "closing begins wipe_after_ack",
    "closing ends wipe_after_ack",
  ];
  assert_holds(&timeline, &closing);
  let replaced = BOXES.iter().filter(|name| {
    let settings = directory.path().join(format!("{name}.toml"));
    let settings = fs::read_to_string(settings).unwrap();
    settings.contains(&format!("{name}-1"))
  });
  assert_eq!(replaced.count(), 1);
}

#[test]
fn added_impairments_leave_a_day_as_it_is() {
  let site = Site::parse(SITE).unwrap();
  let day = site.day("eventful").unwrap();
  let kinds = ["late_links".into(), "node_kill".into(), "late_links".into()];
  let mut moments = BTreeSet::new();
  for seed in 0..50 {
    let (mut first, mut second) = (day.clone(), day.clone());
    add_impairments(&mut first, &site, &kinds, seed).unwrap();
    add_impairments(&mut second, &site, &kinds, seed).unwrap();
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
    let added: Vec<Impairment> = first.faults.split_off(day.faults.len());
    assert_eq!(format!("{first:?}"), format!("{day:?}"));
    let names: Vec<&str> = added.iter().map(|of| &*of.kind).collect();
    assert_eq!(names, ["late_links", "node_kill", "late_links"]);
    for impairment in added {
      assert!((0.0..site.length_s * 0.8).contains(&impairment.at_s));
      moments.insert(impairment.at_s.to_bits());
    }
  }
  assert_eq!(moments.len(), 150);
}

#[test]
fn impairment_that_can_not_be_played_is_not_added() {
  let site = Site::parse(SITE).unwrap();
  let mut day = site.day("quiet").cloned().unwrap();
  let error = add_impairments(&mut day, &site, &["tilt".into()], 1).unwrap_err();
  assert!(matches!(error, Error::Impairment(_)), "{error}");
  assert!(error.to_string().contains("tilt"), "{error}");
}
