//! The regression run, against a small stand-in of the users' bench.

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

/// Prints what the site file holds; a site that holds `killed` ends the bench by a signal after its first lines.
const BENCH: &str = r#"#!/usr/bin/env bash
echo "7 days, 6 at a time"
grep -q killed "$2" && kill -9 $$
cat "$2"
"#;

const GOOD: &str =
  "quiet-1 9/9 0.9 0.99 0.99\ntrouble-1 9/9 0.7 0.70 0.9\nscale-1 9/9 0.7 0.60 0.9\nGATE passed\n";
const FALLEN: &str = "trouble-1 9/9 0.7 0.60 0.9\nGATE passed\n";
const GATE_FAILED: &str = "trouble-1 9/9 0.7 0.70 0.9\nGATE failed\n";

struct Setup(TempDir);

impl Setup {
  /// Two sites that stood at 0.65 when they landed.
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
fn means_stand_beside_those_of_the_last_landing() {
  let output = Setup::new(GOOD, GOOD).run("./bench");
  assert!(output.status.success(), "{output:?}");
  let printed = text(&output.stdout);
  assert!(
    printed.contains("| other | 0.650 | 0.650 | +0.000 | passed |"),
    "{printed}"
  );
}

#[rstest]
#[case::fallen(FALLEN)]
#[case::gate_failed(GATE_FAILED)]
fn site_that_stands_worse_is_named_when_all_were_played(#[case] one: &str) {
  let output = Setup::new(one, GOOD).run("./bench");
  assert!(!output.status.success());
  assert!(text(&output.stdout).contains("| other |"));
  assert!(
    text(&output.stderr).contains("worse than the last landing, or with a gate that failed: one")
  );
}

#[test]
fn what_was_played_before_a_killed_bench_is_kept() {
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
fn run_that_can_not_go_on_says_why(#[case] bench: &str, #[case] other: &str, #[case] told: &str) {
  let output = Setup::new(GOOD, other).run(bench);
  assert!(!output.status.success());
  assert!(text(&output.stderr).contains(told), "{output:?}");
}

#[test]
fn site_file_that_is_not_there_is_named_before_anything_is_played() {
  let setup = Setup::new(GOOD, GOOD);
  fs::remove_file(setup.0.path().join("other.toml")).unwrap();
  let output = setup.run("./bench");
  assert!(!output.status.success());
  assert!(text(&output.stderr).contains("other.toml does not exist"));
  assert!(output.stdout.is_empty());
}
