//! The command line: help, exit codes and error messages.

use {
  crate::{Test, test::Running},
  emulator::ADMIN_KEY,
  rillford::decide::EventKind,
  rstest::rstest,
  std::{
    fs,
    path::Path,
    process::{Command, Output},
  },
};

fn rillford(arguments: &[&str]) -> Output {
  Command::new(env!("CARGO_BIN_EXE_rillford"))
    .args(arguments)
    .output()
    .unwrap()
}

fn output_text(output: &Output) -> String {
  format!(
    "{}{}",
    String::from_utf8_lossy(&output.stdout),
    String::from_utf8_lossy(&output.stderr)
  )
}

#[rstest]
#[case(&["--help"], "serve")]
#[case(&["serve", "--help"], "settings file")]
#[case(&["check", "--help"], "--policy")]
#[case(&["policy", "try", "--help"], "--hour")]
#[case(&["config", "put", "--help"], "--if-match")]
#[case(&["status", "--help"], "--json")]
#[case(&["drain", "--help"], "--undo")]
#[case(&["timeline", "--help"], "--trace")]
fn help_names_commands_and_options(#[case] arguments: &[&str], #[case] wanted: &str) {
  let output = rillford(arguments);
  assert!(output.status.success());
  assert!(
    output_text(&output).contains(wanted),
    "{}",
    output_text(&output)
  );
}

#[rstest]
#[case(&["check"], 2, "nothing to check")]
#[case(&["check", "--settings", "/nowhere.toml"], 3, "reading /nowhere.toml")]
#[case(&["serve", "--settings", "/nowhere.toml"], 3, "reading /nowhere.toml")]
#[case(&["status", "--server", "http://127.0.0.1:1", "--key", "k"], 4, "reading status at http://127.0.0.1:1")]
#[case(&["policy", "try", "--policy", "examples/oslo/policy.rhai", "--hour", "25", "quiz"], 2, "between 0 and 23")]
fn errors_have_a_message_and_an_exit_code(
  #[case] arguments: &[&str],
  #[case] code: i32,
  #[case] wanted: &str,
) {
  let output = rillford(arguments);
  assert_eq!(output.status.code(), Some(code), "{}", output_text(&output));
  assert!(
    output_text(&output).contains(wanted),
    "{}",
    output_text(&output)
  );
  assert!(!output_text(&output).contains("panicked"));
}

#[test]
fn invalid_policy_is_reported_with_file_line_and_column() {
  let folder = tempfile::tempdir().unwrap();
  let file = folder.path().join("policy.rhai");
  fs::write(&file, "fn rank(request, now) {\n  #{ class: }\n}\n").unwrap();
  let output = rillford(&["check", "--policy", file.to_str().unwrap()]);
  assert_eq!(output.status.code(), Some(3));
  assert!(
    output_text(&output).contains("policy.rhai:2: policy: line 2, column"),
    "{}",
    output_text(&output)
  );
}

#[rstest]
#[case("oslo")]
#[case("sariwa")]
fn examples_are_valid(#[case] site: &str) {
  let file = |name: &str| format!("examples/{site}/{name}");
  let output = rillford(&[
    "check",
    "--settings",
    &file("box.toml"),
    "--policy",
    &file("policy.rhai"),
    "--platform",
    &file("platform.json"),
    "--organisation",
    &file("organisation.json"),
  ]);
  assert!(output.status.success(), "{}", output_text(&output));
  let document = fs::read_to_string(file("platform.json")).unwrap();
  let document = serde_json::from_str::<serde_json::Value>(&document).unwrap();
  let policy = fs::read_to_string(file("policy.rhai")).unwrap();
  assert_eq!(
    document["policy"], policy,
    "the policy in the document differs from the file"
  );
}

#[rstest]
#[case("oslo", "question", "model", "priority 20")]
#[case("oslo", "lookup", "service", "priority 0")]
#[case("sariwa", "checkout", "service", "priority 100")]
#[case("sariwa", "basket", "model", "may wait true")]
fn example_policies_rank_tasks(
  #[case] site: &str,
  #[case] task: &str,
  #[case] kind: &str,
  #[case] wanted: &str,
) {
  let policy = format!("examples/{site}/policy.rhai");
  let output = rillford(&["policy", "try", "--policy", &policy, "--kind", kind, task]);
  assert!(
    output_text(&output).contains(wanted),
    "{}",
    output_text(&output)
  );
}

fn run_on_box(test: &Running, arguments: &[&str]) -> String {
  let server = test.deployment.boxes["north-1"].admin_url();
  let mut all_arguments = arguments.to_vec();
  let at = arguments
    .len()
    .min(if arguments[0] == "config" { 2 } else { 1 });
  for (index, argument) in ["--server", &server, "--key", ADMIN_KEY]
    .into_iter()
    .enumerate()
  {
    all_arguments.insert(at + index, argument);
  }
  let output = rillford(&all_arguments);
  assert!(output.status.success(), "{}", output_text(&output));
  output_text(&output)
}

#[tokio::test(flavor = "multi_thread")]
async fn subcommands_work_on_a_running_box() {
  let test = Test::new().start().await;
  assert!(run_on_box(&test, &["status"]).contains("north-decode-1"));
  assert!(run_on_box(&test, &["config", "get", "platform"]).contains("hold_ms"));
  let folder = tempfile::tempdir().unwrap();
  let file = folder.path().join("platform.json");
  fs::write(&file, "{}").unwrap();
  let file = file.to_str().unwrap();
  let put = run_on_box(
    &test,
    &[
      "config",
      "put",
      "--if-match",
      "1",
      "--file",
      file,
      "platform",
    ],
  );
  assert!(put.contains("platform is at revision"), "{put}");
  let history = run_on_box(&test, &["config", "history", "platform"]);
  assert!(history.contains("revision 1\n"), "{history}");
  assert!(run_on_box(&test, &["drain", "north-decode-1"]).contains("no new work"));
  assert!(run_on_box(&test, &["drain", "--undo", "north-decode-1"]).contains("again"));
  assert!(run_on_box(&test, &["timeline"]).contains("RequestAnswered"));
  let trace = folder.path().join("trace.json");
  run_on_box(&test, &["timeline", "--trace", trace.to_str().unwrap()]);
  assert!(fs::read_to_string(trace).unwrap().contains("traceEvents"));
}

#[test]
fn event_catalogue_lists_every_event_with_its_number_and_text() {
  let catalogue = fs::read_to_string(Path::new("docs/EVENTS.md")).unwrap();
  for kind in EventKind::ALL {
    let row = format!("| {} | `{kind:?}` | {} |", kind.number(), kind.text());
    assert!(catalogue.contains(&row), "missing: {row}");
  }
  let rows = catalogue
    .lines()
    .filter(|line| line.contains("| `"))
    .count();
  assert_eq!(
    rows,
    EventKind::ALL.len(),
    "the catalogue lists events that do not exist"
  );
}
