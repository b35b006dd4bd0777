//! A replay of a small deployment with the real program: a sound program on a day with faults, and breaches that are planted between
//! boxes and callers.

mod added_impairments;
mod planting_proxy;

use {
  self::planting_proxy::{Planted, Plants},
  judge::Clause,
  replay::{Day, PlayOptions, Report, ServedVersions, Site, StartNaming, box_host, play},
  std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    sync::{Mutex, PoisonError},
  },
  tokio::{runtime::Builder, task::JoinSet},
};

pub(crate) const SITE: &str = include_str!("data/two_halls.toml");
const SEED: u64 = 3;
/// Boxes of the site.
const BOXES: usize = 3;
/// The port at which a box listens for callers by its settings, and the one at which it does behind a proxy.
const CALLERS_PORT: u16 = 7_001;
const COVERED_PORT: u16 = 9_001;

/// Replays of one process use the same addresses.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs a replay on a runtime of its own. The next one begins when all sockets of this one are closed.
pub(crate) fn run_alone<T>(replay: impl Future<Output = T>) -> T {
  let _one = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
  let runtime = Builder::new_multi_thread().enable_all().build().unwrap();
  let result = runtime.block_on(replay);
  drop(runtime);
  result
}

pub(crate) fn repository() -> PathBuf {
  env!("CARGO_MANIFEST_DIR").into()
}

pub(crate) async fn play_day(
  site: &Site,
  day: &Day,
  repository: &Path,
  directory: &Path,
  versions: ServedVersions,
) -> Report {
  let options = PlayOptions {
    directory: directory.into(),
    has_cpu_quota: false,
    names_streams: true,
    program: env!("CARGO_BIN_EXE_rillford").into(),
    repository: repository.into(),
    seed: SEED,
    starts: StartNaming::Nowhere,
    versions,
  };
  play(site, day, &options).await.unwrap()
}

/// Streams of a summary line: sent, begun and complete.
fn streams(summary: &str) -> [u64; 3] {
  ["sent", "begun", "complete"].map(|what| {
    let words: Vec<&str> = summary.split([' ', ',', ';']).collect();
    let at = words.iter().position(|word| *word == what).unwrap();
    let numbers = words[..at].iter().rev();
    numbers.flat_map(|word| word.parse()).next().unwrap()
  })
}

/// Guards against a player that finds breaches where there are none, or plays no traffic.
#[test]
fn eventful_day_of_a_small_site_has_no_findings() {
  let site = Site::parse(SITE).unwrap();
  let day = site.day("eventful").unwrap();
  let directory = tempfile::tempdir().unwrap();
  let versions = ServedVersions::One;
  let report = run_alone(play_day(
    &site,
    day,
    &repository(),
    directory.path(),
    versions,
  ));
  assert_eq!(report.findings_text(), "");
  assert!(report.is_clean());
  let [sent, begun, complete] = streams(&report.to_string());
  assert!(sent > 20 && begun <= sent, "{report}");
  assert!(complete * 2 > sent, "{report}");
  let read = |name: &str| fs::read_to_string(directory.path().join(name)).unwrap();
  assert_eq!(read("findings.txt"), "");
  assert!(read("requests.csv").lines().count() as u64 > sent);
  let timeline = read("timeline.txt");
  let kinds = day.plan.iter().chain(&day.faults).map(|of| &*of.kind);
  let kinds: Vec<&str> = kinds.chain(["kill_all"]).collect();
  for kind in kinds {
    for event in ["begins", "ends"] {
      let lines = timeline.lines();
      let mut lines = lines.filter(|line| line.contains(&format!("{event} {kind}")));
      assert!(lines.next().is_some(), "{event} {kind}: {timeline}");
    }
  }
  for index in 0..BOXES {
    let zone = if index < 2 { "north" } else { "south" };
    assert!(!read(&format!("front-{zone}-{index}.log")).is_empty());
  }
}

/// A deploy file with which boxes listen for callers at the covered port.
fn cover_boxes(directory: &Path) {
  let deploy = directory.join("deploy");
  fs::create_dir(&deploy).unwrap();
  let original = repository().join("deploy");
  fs::copy(original.join("system.toml"), deploy.join("system.toml")).unwrap();
  let template = fs::read_to_string(original.join("box.toml.template")).unwrap();
  let covered = template.replace("{{listen.front}}", &format!("{{{{ip}}}}:{COVERED_PORT}"));
  assert_ne!(covered, template);
  fs::write(deploy.join("box.toml.template"), covered).unwrap();
}

/// Guards against breaches that the whole player doesn't find, or reports without their circumstances.
#[test]
fn planted_breaches_are_found_with_their_circumstances() {
  let site = Site::parse(&SITE.replacen("length_s = 14.0", "length_s = 5.0", 1)).unwrap();
  let mut day = site.day("quiet").unwrap().clone();
  let eventful = site.day("eventful").unwrap();
  let mut lost = eventful.faults[1].clone();
  // In force for the whole day, and without effect.
  (lost.at_s, lost.for_s, lost.x) = (0.0, Some(8.0), Some(0.0));
  day.faults.push(lost);
  let directory = tempfile::tempdir().unwrap();
  cover_boxes(directory.path());
  let plants = Plants::default();
  let output = directory.path().join("output");
  let report = run_alone(async {
    let mut proxies = JoinSet::new();
    for index in 0..BOXES {
      let host = box_host(index);
      let (at, to) = ((host, CALLERS_PORT), (host, COVERED_PORT));
      planting_proxy::start(at.into(), to.into(), plants.clone(), &mut proxies).await;
    }
    play_day(&site, &day, directory.path(), &output, ServedVersions::One).await
  });
  assert!(!report.is_clean());
  let read = |name: &str| fs::read_to_string(output.join(name)).unwrap();
  let (text, requests) = (read("findings.txt"), read("requests.csv"));
  let findings: Vec<&str> = text.split("\n\n").filter(|text| !text.is_empty()).collect();
  let planted = plants.list();
  let is_about = |planted: &Planted, finding: &str| finding.contains(&planted.request);
  for finding in &findings {
    assert!(
      planted.iter().any(|planted| is_about(planted, finding)),
      "{finding}"
    );
  }
  let mut clauses = BTreeSet::new();
  for planted in planted.iter().filter(|planted| planted.is_whole) {
    let mut of_planted = findings.iter().filter(|of| is_about(planted, of));
    let Some(finding) = of_planted.next() else {
      panic!("{planted:?} is not found: {text}");
    };
    let clause = planted.breach.clause();
    clauses.insert(clause);
    let row = requests
      .lines()
      .find(|row| row.starts_with(&planted.request));
    let row: Vec<&str> = row.unwrap().split(',').collect();
    let [id, class, box_index, _, sent_ms, ..] = row[..] else {
      panic!("{row:?}");
    };
    for expected in [
      format!("{clause:?}: {class} {id}, ended at "),
      format!("try {id} after None at box {box_index}, sent at {sent_ms} ms"),
      "run at i-".into(),
      " version v1 ".into(),
      "in force: fault 0 answer_lost reset (".into(),
    ] {
      assert!(finding.contains(&expected), "{expected}: {finding}");
    }
    assert!(read("raw.txt").contains(id));
  }
  let expected = [Clause::Absent, Clause::Twice, Clause::EndsEarly];
  assert_eq!(clauses, BTreeSet::from(expected));
}
