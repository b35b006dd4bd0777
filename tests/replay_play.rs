//! A replay of a small deployment with the real program.

use {
  replay::{Day, PlayOptions, Report, Site, StartNaming, play},
  std::{
    fs,
    path::{Path, PathBuf},
  },
  tokio::sync::Mutex,
};

const SITE: &str = include_str!("data/two_halls.toml");
const SEED: u64 = 3;
/// Boxes of the site.
const BOXES: usize = 3;

/// Replays of one process use the same addresses.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

fn repository() -> PathBuf {
  env!("CARGO_MANIFEST_DIR").into()
}

async fn play_day(site: &Site, day: &Day, repository: &Path, directory: &Path) -> Report {
  let options = PlayOptions {
    directory: directory.into(),
    has_cpu_quota: false,
    names_streams: true,
    program: env!("CARGO_BIN_EXE_rillford").into(),
    repository: repository.into(),
    seed: SEED,
    starts: StartNaming::Nowhere,
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
#[tokio::test(flavor = "multi_thread")]
async fn eventful_day_of_a_small_site_has_no_findings() {
  let _one = ONE_AT_A_TIME.lock().await;
  let site = Site::parse(SITE).unwrap();
  let day = site.day("eventful").unwrap();
  let directory = tempfile::tempdir().unwrap();
  let report = play_day(&site, day, &repository(), directory.path()).await;
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
