//! `emulator regress`, with a shell script in place of the users' bench.

use {
  rstest::rstest,
  std::{
    fs,
    os::unix::fs::PermissionsExt,
    path::Path,
    process::{Command, Output},
  },
  tempfile::TempDir,
};

/// Prints the site file. If that contains `killed`, the bench kills itself after its first line of output.
const BENCH: &str = r#"#!/usr/bin/env bash
echo "7 days, 6 at a time"
grep -q killed "$2" && kill -9 $$
cat "$2"
"#;

const GOOD: &str =
  "quiet-1 9/9 0.9 0.99 0.99\ntrouble-1 9/9 0.7 0.70 0.9\nscale-1 9/9 0.7 0.60 0.9\nGATE passed\n";
const REGRESSED: &str = "trouble-1 9/9 0.7 0.60 0.9\nGATE passed\n";
const GATE_FAILED: &str = "trouble-1 9/9 0.7 0.70 0.9\nGATE failed\n";

struct Setup(TempDir);

impl Setup {
  /// Two sites with a baseline of 0.65.
  fn new(one: &str, other: &str) -> Self {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| fs::write(folder.path().join(name), text).unwrap();
    write("one.toml", one);
    write("other.toml", other);
    write("bench", BENCH);
    write(
      "list.toml",
      "[[sites]]\nname = \"one\"\nfile = \"one.toml\"\nmean = 0.65\n\
       [[sites]]\nname = \"other\"\nfile = \"other.toml\"\nmean = 0.65\n",
    );
    let mode = fs::Permissions::from_mode(0o755);
    fs::set_permissions(folder.path().join("bench"), mode).unwrap();
    Self(folder)
  }

  fn run(&self, bench: &str) -> Output {
    Command::new(Path::new(env!("CARGO_BIN_EXE_rillford")).with_file_name("emulator"))
      .current_dir(self.0.path())
      .args([
        "regress",
        "--sites",
        ".",
        "--list",
        "list.toml",
        "--why",
        "a test",
      ])
      .args(["--output", "printed", "--bench", bench])
      .output()
      .unwrap()
  }
}

fn text(bytes: &[u8]) -> String {
  String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn table_compares_each_mean_with_its_baseline() {
  let output = Setup::new(GOOD, GOOD).run("./bench");
  assert!(output.status.success(), "{output:?}");
  let printed = text(&output.stdout);
  assert!(
    printed.contains("| other | 0.650 | 0.650 | +0.000 | passed |"),
    "{printed}"
  );
}

#[rstest]
#[case::regressed(REGRESSED)]
#[case::gate_failed(GATE_FAILED)]
fn regressed_site_is_reported_after_all_sites_were_scored(#[case] one: &str) {
  let output = Setup::new(one, GOOD).run("./bench");
  assert!(!output.status.success());
  assert!(text(&output.stdout).contains("| other |"));
  assert!(
    text(&output.stderr).contains("worse than the last landing, or with a gate that failed: one")
  );
}

#[test]
fn output_before_a_killed_bench_is_kept() {
  let setup = Setup::new(GOOD, "killed");
  let output = setup.run("./bench");
  assert!(!output.status.success());
  assert!(text(&output.stdout).contains("| one | 0.650 |"));
  let error = text(&output.stderr);
  assert!(
    error.contains("signal: 9") && error.contains("other.txt"),
    "{error}"
  );
  let printed = fs::read_to_string(setup.0.path().join("printed/other.txt")).unwrap();
  assert_eq!(printed, "7 days, 6 at a time\n");
}

#[rstest]
#[case::no_score("./bench", "nothing", "no score of other")]
#[case::no_bench("./none", GOOD, "./none does not exist")]
fn failed_run_reports_the_cause(#[case] bench: &str, #[case] other: &str, #[case] message: &str) {
  let output = Setup::new(GOOD, other).run(bench);
  assert!(!output.status.success());
  assert!(text(&output.stderr).contains(message), "{output:?}");
}

#[test]
fn missing_site_file_is_reported_before_any_site_is_scored() {
  let setup = Setup::new(GOOD, GOOD);
  fs::remove_file(setup.0.path().join("other.toml")).unwrap();
  let output = setup.run("./bench");
  assert!(!output.status.success());
  assert!(text(&output.stderr).contains("other.toml does not exist"));
  assert!(output.stdout.is_empty());
}
