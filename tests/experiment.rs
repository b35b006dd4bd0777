//! `emulator experiment`, with a shell script in place of the users' bench.

use {
  rstest::rstest,
  std::{
    fs,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
    process::{Command, Output},
  },
  tempfile::TempDir,
};

/// Reports the seed in thousandths as worth, plus 0.1 with `role_orders = false`. The day `broken` fails, and a day given as a file
/// violates rules, in the report format of newer benches.
const BENCH: &str = r#"#!/usr/bin/env bash
[ "$1" = build ] && exit 0
echo "played $3"
[ "$3" = broken ] && exit 3
day="$3"
seed="$5"
while [ $# -gt 0 ]; do [ "$1" = --report ] && report="$2"; shift; done
more=0
grep -q 'role_orders = false' deploy/box.toml.template && more=100
touch "journal/$more-$seed.json"
breaks='[]'
[ "${day##*.}" = toml ] && breaks='{"DRAIN": {"count": 2}}'
printf '{"G": %s, "served": 0.9, "prices": [["calls", 3, 0.02], ["orders", 1, 0.01]], "breaks": %s}' \
  "0.$((seed + more))" "$breaks" > "$report"
"#;

struct Setup {
  folder: TempDir,
}

impl Setup {
  fn new() -> Self {
    let folder = tempfile::tempdir().unwrap();
    let root = folder.path();
    fs::create_dir_all(root.join("checkout/deploy")).unwrap();
    fs::write(
      root.join("checkout/deploy/box.toml.template"),
      "[engines]\n",
    )
    .unwrap();
    fs::write(root.join("site.toml"), "").unwrap();
    fs::write(root.join("bench"), BENCH).unwrap();
    fs::set_permissions(root.join("bench"), fs::Permissions::from_mode(0o755)).unwrap();
    Self { folder }
  }

  fn path(&self, name: &str) -> PathBuf {
    self.folder.path().join(name)
  }

  fn run(&self, arguments: &[&str]) -> Output {
    Command::new(Path::new(env!("CARGO_BIN_EXE_rillford")).with_file_name("emulator"))
      .current_dir(self.folder.path())
      .args(["experiment", "--checkout", "checkout", "--why", "a test"])
      .args(arguments)
      .output()
      .unwrap()
  }
}

const DEFAULT_ARGUMENTS: [&str; 6] = ["--bench", "./bench", "--site", "site.toml", "--day", "calm"];

fn with_defaults<'a>(arguments: &[&'a str]) -> Vec<&'a str> {
  [&DEFAULT_ARGUMENTS, arguments].concat()
}

/// Guards against a day's path ending up in the report's file name, and against counting no violations in the map of newer benches.
#[test]
fn day_from_a_file_runs_and_its_rule_violations_are_counted() {
  let setup = Setup::new();
  fs::create_dir(setup.path("days")).unwrap();
  fs::write(setup.path("days/shed.toml"), "").unwrap();
  let output = setup.run(&[
    "--bench",
    "./bench",
    "--site",
    "site.toml",
    "--day",
    "days/shed.toml",
    "--seeds",
    "2",
  ]);
  let text = String::from_utf8(output.stdout).unwrap();
  assert!(output.status.success(), "{text}");
  let row = text
    .lines()
    .find(|line| line.starts_with("| site |") && !line.contains("variant"));
  assert!(row.is_some_and(|row| row.ends_with("| 2 |")), "{text}");
}

#[test]
fn variants_are_compared_by_seed() {
  let setup = Setup::new();
  let output = setup.run(&with_defaults(&[
    "--variant",
    "as it is",
    "--variant",
    "no orders:mechanisms.role_orders=false",
    "--seeds",
    "3",
    "--first-seed",
    "500",
    "--json",
    "all.json",
    "--plot",
    "plot.svg",
  ]));
  let text = String::from_utf8_lossy(&output.stdout);
  assert!(output.status.success(), "{output:?}");
  assert!(
    text.contains("| site | as it is | 3 | 0.501 | 0.030 | +0.0000 | 0.0000 | 0 |"),
    "{text}"
  );
  assert!(
    text.contains("| site | no orders | 3 | 0.601 | 0.030 | +0.1000 | 0.0000 | 0 |"),
    "{text}"
  );
  let json: serde_json::Value =
    serde_json::from_slice(&fs::read(setup.path("all.json")).unwrap()).unwrap();
  assert_eq!(json.as_array().unwrap().len(), 6);
  let plot = fs::read_to_string(setup.path("plot.svg")).unwrap();
  assert!(plot.contains("<svg") && plot.contains("no orders"));
  // The journal entries of all variants are copied back, and the settings of the original checkout are unchanged.
  for entry in ["0-500.json", "100-502.json"] {
    assert!(
      setup.path("checkout/journal").join(entry).exists(),
      "{entry}"
    );
  }
  let settings = fs::read_to_string(setup.path("checkout/deploy/box.toml.template")).unwrap();
  assert_eq!(settings, "[engines]\n");
}

#[test]
fn measurements_before_a_failure_are_kept() {
  let setup = Setup::new();
  let arguments = [
    "--day", "broken", "--jobs", "1", "--seeds", "1", "--json", "all.json",
  ];
  let output = setup.run(&with_defaults(&arguments));
  let errors = String::from_utf8_lossy(&output.stderr);
  assert!(!output.status.success());
  assert!(
    errors.contains("the bench failed on site broken with seed 1000"),
    "{errors}"
  );
  assert!(
    errors.contains("exit status: 3") && errors.contains("played broken"),
    "{errors}"
  );
  assert!(String::from_utf8_lossy(&output.stdout).contains("| site | as it is | 1 |"));
  assert!(
    fs::read_to_string(setup.path("all.json"))
      .unwrap()
      .contains("\"day\": \"calm\"")
  );
}

#[rstest]
#[case(&["--bench", "nowhere", "--site", "site.toml", "--day", "calm"], "--bench: nowhere does not exist")]
#[case(&["--bench", "./bench", "--site", "other.toml", "--day", "calm"], "--site: other.toml does not exist")]
#[case(&["--bench", "./bench", "--site", "site.toml"], "at least one --day is required")]
#[case(&with_defaults(&["--seeds", "0"]), "--seeds: must be 1 or more")]
#[case(&with_defaults(&["--variant", "x:no_section=1"]), "is not NAME or NAME:section.key=value")]
#[case(&with_defaults(&["--variant", "x", "--variant", "x"]), "x is given twice")]
fn invalid_option_is_rejected(#[case] arguments: &[&str], #[case] message: &str) {
  let output = Setup::new().run(arguments);
  let errors = String::from_utf8_lossy(&output.stderr);
  assert!(!output.status.success());
  assert!(errors.contains(message), "{errors}");
}
