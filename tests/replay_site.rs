//! The replay's site files and the days that are drawn from them.

use {
  replay::{Day, Error, Impairment, Site, drawn_day},
  rstest::rstest,
  std::{collections::BTreeSet, fs, path::Path},
};

/// A small deployment.
pub(crate) const SITE: &str = r#"
name = "small"
contracts = ["base", "stream"]
length_s = 20.0
zones = [{ name = "east", region = "here" }, { name = "west", region = "there" }]
machines = [
  { class = "front", cpu_share = 0.25, cores = 1, memory_mb = 110, fds = 4100, link_mbps = 1000.0, zone = "east", count = 2, spare = 1 },
]
services = [
  { name = "model", servers = [{ zone = "east", count = 4 }], slots = 16, queue = 2, conn_cap = 100, llm = { step_ms = 3.4, step_ms_per_slot = 0.1, prefill_tokens_per_ms = 55.0, first_ms = 31.0, stride = 11, chunk = 2048, kv_tokens = 50000, kv_bytes = 18432.0, link_mbps = 350000.0, report_lag_ms = 900.0, prefill = 0.35, handle_s = 0.5, switch_s = 6.0, pin_ms = 4000.0, hold_ms = 2000.0 } },
  { name = "shop", servers = [{ zone = "west", count = 1 }], slots = 6, queue = 24, conn_cap = 100 },
]
classes = [
  { name = "summary", service = "model", kind = "stream", method = "POST", aim_ms = 900.0, deadline_ms = 14000, timeout_ms = 14000, attempts = 2, stream = { pieces = { mean = 71.0 }, piece_bytes = { mean = 80.0 }, gap_aim_ms = 300.0, resume = true, prompt_tokens = { mean = 5000.0 } } },
  { name = "order", service = "shop", kind = "unsafe", method = "POST", aim_ms = 300, deadline_ms = 4000, timeout_ms = 2000, attempts = 1, work_ms = { mean = 60.0 } },
]
traffic = [{ zone = "east", mix = { summary = 1.0, order = 2.0 }, per_s = 8.0, clients = 4 }]
troubles = [
  { kind = "burst", x = 1.7, for_s = 3.0 },
  { kind = "config_change", how = "timeout" },
  { kind = "garble", share = 0.35, x = 0.02, for_s = 5.5 },
  { kind = "hup", share = 0.6, gap_s = 2.0 },
  { kind = "node_kill", share = 0.16, for_s = 3.5 },
  { kind = "replace_core", x = 2.0, how = "planned" },
  { kind = "roll_term", how = "busy", gap_s = 1.0 },
  { kind = "zone_cut", for_s = 5.5, zone = "west" },
]
[discovery]
beat_ms = 1200
lag_ms = 800
[config]
body_bytes = 4194304
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
drain_ms = 2000
config_ms = 2000
touch_ms = 3000
grace_s = 8.0
recover_s = 12.0
budget_slack = 52.5
[platform]
writes_per_s = 400.0
reads_per_s = 2000.0
[[day]]
name = "one"
faults = [{ at = 1.0, kind = "burst", class = "order", x = 2.0 }]
"#;

#[test]
fn site_is_read_as_written() {
  let site = Site::parse(SITE).unwrap();
  assert!(site.class("summary").unwrap().may_resume());
  assert!(!site.class("order").unwrap().may_resume());
  assert_eq!(site.fronts_of("east").unwrap().count, 2);
  assert!(site.fronts_of("west").is_none());
  assert_eq!(&**site.region("west").unwrap(), "there");
  assert_eq!(site.day("one").unwrap().faults[0].at_s, 1.0);
}

#[rstest]
#[case::no_toml("name = \"small\"", "name = ", "TOML")]
#[case::missing_field("beat_ms = 1200\n", "", "beat_ms")]
#[case::no_fronts("class = \"front\"", "class = \"side\"", "no front machines")]
#[case::no_cpu("cpu_share = 0.25", "cpu_share = 0.0", "zone east: cpu_share is 0")]
#[case::no_length("length_s = 20.0", "length_s = -1.0", "site: length_s is -1")]
#[case::class_without_service("service = \"shop\"", "service = \"mart\"", "no service mart")]
#[case::stream_without_model("service = \"model\"", "service = \"shop\"", "shop has no model")]
#[case::stream_without_shape("kind = \"unsafe\"", "kind = \"stream\"", "without its shape")]
#[case::unknown_kind("kind = \"unsafe\"", "kind = \"risky\"", "risky")]
#[case::servers_elsewhere("zone = \"west\", count", "zone = \"north\", count", "no zone north")]
#[case::traffic_elsewhere("zone = \"east\", mix", "zone = \"north\", mix", "no zone north")]
#[case::unknown_class_of_traffic("order = 2.0", "orders = 2.0", "no class orders")]
#[case::no_traffic("per_s = 8.0", "per_s = 0.0", "no rate or no mix in east")]
#[case::trouble_elsewhere("zone = \"west\" }", "zone = \"north\" }", "zone_cut: no zone north")]
#[case::unknown_class_of_day("class = \"order\"", "class = \"orders\"", "day one, burst: no class")]
#[case::share_above_one("share = 0.35", "share = 35.0", "garble: share is not from 0 to 1")]
#[case::time_before_start("at = 1.0", "at = -1.0", "at, for_s or gap_s is no time")]
fn invalid_site_says_what_is_wrong(
  #[case] valid: &str,
  #[case] invalid: &str,
  #[case] expected: &str,
) {
  assert!(SITE.contains(valid));
  let reason = Site::parse(&SITE.replacen(valid, invalid, 1)).unwrap_err();
  assert!(reason.contains(expected), "{reason}");
}

#[test]
fn error_names_the_site_file() {
  let directory = tempfile::tempdir().unwrap();
  let path = directory.path().join("broken.toml");
  let missing = Site::read(&path).unwrap_err();
  assert!(matches!(missing, Error::File { .. }), "{missing}");
  fs::write(&path, "name = 1").unwrap();
  let invalid = Site::read(Path::new(&path)).unwrap_err();
  assert!(matches!(invalid, Error::Site { .. }), "{invalid}");
  assert!(invalid.to_string().contains("broken.toml"), "{invalid}");
}

#[test]
fn seed_gives_the_same_day_again() {
  let site = Site::parse(SITE).unwrap();
  for seed in 0..50 {
    let text = |day: &Day| format!("{day:?}");
    let (first, second) = (drawn_day(&site, seed), drawn_day(&site, seed));
    assert_eq!(text(&first), text(&second));
  }
  let days: BTreeSet<String> = (0..50)
    .map(|seed| format!("{:?}", drawn_day(&site, seed).faults))
    .collect();
  assert!(days.len() > 40, "{}", days.len());
}

#[test]
fn drawn_day_holds_different_troubles_in_its_first_four_fifths() {
  let site = Site::parse(SITE).unwrap();
  for seed in 0..200 {
    let day = drawn_day(&site, seed);
    let troubles: Vec<&Impairment> = day.plan.iter().chain(&day.faults).collect();
    assert!((3..=6).contains(&troubles.len()), "seed {seed}: {day:?}");
    let kinds: BTreeSet<&str> = troubles.iter().map(|of| &*of.kind).collect();
    assert_eq!(kinds.len(), troubles.len(), "seed {seed}: {day:?}");
    let is_early = |of: &&Impairment| (0.0..16.0).contains(&of.at_s);
    assert!(troubles.iter().all(is_early), "seed {seed}: {day:?}");
    if let Some(closing) = &day.closing {
      assert!(
        (0.5..=1.6).contains(&closing.down_s),
        "seed {seed}: {day:?}"
      );
    }
  }
}

#[test]
fn planned_work_is_told_from_faults() {
  let site = Site::parse(SITE).unwrap();
  let days: Vec<Day> = (0..200).map(|seed| drawn_day(&site, seed)).collect();
  let kinds = |of: fn(&Day) -> &Vec<Impairment>| -> BTreeSet<&str> {
    let entries = days.iter().flat_map(of);
    entries.map(|entry| &*entry.kind).collect()
  };
  let planned = ["config_change", "hup", "replace_core", "roll_term"];
  let faults = ["burst", "garble", "node_kill", "zone_cut"];
  assert_eq!(kinds(|day| &day.plan), BTreeSet::from(planned));
  assert_eq!(kinds(|day| &day.faults), BTreeSet::from(faults));
  let endings = days.iter().map(|day| {
    let closing = day.closing.as_ref();
    closing.map(|closing| &*closing.kind)
  });
  let expected = [None, Some("kill_all"), Some("power_off_all")];
  assert_eq!(endings.collect::<BTreeSet<_>>(), BTreeSet::from(expected));
}

#[test]
fn day_of_a_site_without_troubles_is_empty() {
  let (before, rest) = SITE.split_once("troubles = [").unwrap();
  let (_, after) = rest.split_once("\n]").unwrap();
  let site = Site::parse(&format!("{before}{after}")).unwrap();
  let day = drawn_day(&site, 1);
  assert!(day.plan.is_empty() && day.faults.is_empty());
}
