//! The replay's boxes as processes: starts, ends and holds.

use {
  super::{replay_site::SITE, test::PATIENCE},
  replay::{BoxPlace, BoxPlan, BoxProcess, DeployFile, Recorder, Site},
  std::{
    fs,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
  },
  tempfile::TempDir,
  tokio::time::{sleep, timeout},
};

const POLL: Duration = Duration::from_millis(20);
/// Uses all the time that it gets.
const BUSY: &str = "while :; do :; done";
const IDLE: &str = "while :; do sleep 0.02; done";
/// Tells that it takes no notice of SIGTERM.
const STUBBORN: &str = "trap '' TERM; echo deaf; while :; do sleep 0.02; done";
/// Tells of each SIGTERM and ends at the second one.
const TWICE: &str =
  "n=0; trap 'n=$((n + 1)); echo term' TERM; echo up; while [ $n -lt 2 ]; do sleep 0.02; done";
const SYSTEM: &str = "[roles.traffic]\nrun = \"program\"\non = \"front\"\nserves = [\"front\"]\n";

/// A box whose program is a shell script.
struct ScriptBox {
  directory: TempDir,
  process: Arc<BoxProcess>,
  recorder: Recorder,
}

impl ScriptBox {
  async fn start(script: &str) -> Self {
    let directory = tempfile::tempdir().unwrap();
    let program = write_program(directory.path(), script);
    let deploy = directory.path().join("deploy");
    fs::create_dir(&deploy).unwrap();
    fs::write(deploy.join("system.toml"), SYSTEM).unwrap();
    let recorder = Recorder::default();
    let plan = BoxPlan {
      program: &program,
      deploy: &DeployFile::read(directory.path()).unwrap(),
      directory: &directory.path().join("logs"),
      site: &Site::parse(SITE).unwrap(),
      recorder: &recorder,
    };
    let place = BoxPlace {
      index: 0,
      name: "east-0".into(),
      zone: "east".into(),
      region: "here".into(),
    };
    let process = BoxProcess::new(&plan, place, ([127, 0, 0, 1], 9).into()).unwrap();
    process.start().await.unwrap();
    Self {
      directory,
      process: Arc::new(process),
      recorder,
    }
  }

  fn read(&self, file: &str) -> String {
    fs::read_to_string(self.directory.path().join("logs").join(file)).unwrap()
  }

  fn settings(&self) -> serde_json::Value {
    serde_json::from_str(&self.read("east-0.toml")).unwrap()
  }

  /// The state of the process: `T` while it is stopped.
  async fn state(&self) -> char {
    let id = self.process.process_id().await.unwrap();
    let status = fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let (_, state) = status.rsplit_once(") ").unwrap();
    state.chars().next().unwrap()
  }

  async fn wait_until_stopped(&self, is_stopped: bool) {
    let waited = async {
      while (self.state().await == 'T') != is_stopped {
        sleep(POLL).await;
      }
    };
    timeout(PATIENCE, waited).await.unwrap();
  }

  async fn wait_for_output(&self, text: &str) {
    let waited = async {
      while !self.read("east-0.log").contains(text) {
        sleep(POLL).await;
      }
    };
    timeout(PATIENCE, waited).await.unwrap();
  }

  fn has_note(&self, text: &str) -> bool {
    let timeline = self.recorder.timeline();
    timeline.iter().any(|(_, line)| line.contains(text))
  }
}

fn write_program(directory: &Path, script: &str) -> PathBuf {
  let program = directory.join("program");
  fs::write(&program, format!("#!/bin/sh\n{script}\n")).unwrap();
  fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).unwrap();
  program
}

#[tokio::test]
async fn quota_does_not_resume_a_suspended_box() {
  let script = ScriptBox::start(BUSY).await;
  script.process.set_slow(Some(1_000.0));
  script.wait_until_stopped(true).await;
  script.process.suspend().await;
  script.process.set_slow(None);
  // Some ticks of the quota.
  sleep(Duration::from_millis(100)).await;
  assert_eq!(script.state().await, 'T');
  script.process.resume().await;
  script.wait_until_stopped(false).await;
}

#[tokio::test]
async fn end_of_a_suspension_does_not_end_the_quota() {
  let script = ScriptBox::start(BUSY).await;
  script.process.suspend().await;
  script.process.set_slow(Some(1_000.0));
  script.process.resume().await;
  script.wait_until_stopped(true).await;
  script.process.set_slow(None);
  script.wait_until_stopped(false).await;
}

#[tokio::test]
async fn quota_holds_the_next_process_too() {
  let script = ScriptBox::start(BUSY).await;
  script.process.set_slow(Some(1_000.0));
  script.wait_until_stopped(true).await;
  script.process.kill().await.unwrap();
  script.process.start().await.unwrap();
  script.wait_until_stopped(true).await;
  script.process.set_slow(None);
  script.wait_until_stopped(false).await;
}

#[tokio::test]
async fn suspended_box_can_be_killed_and_starts_running() {
  let script = ScriptBox::start(IDLE).await;
  script.process.suspend().await;
  script.process.kill().await.unwrap();
  assert!(!script.process.is_up().await);
  script.process.start().await.unwrap();
  script.wait_until_stopped(false).await;
}

#[tokio::test]
async fn box_that_ends_by_itself_is_noted_and_started_again() {
  let script = ScriptBox::start("exit 3").await;
  let watched = Arc::clone(&script.process);
  let watch = tokio::spawn(async move { watched.watch().await });
  let restarted = async {
    while script.process.process_number() < 2 {
      sleep(POLL).await;
    }
  };
  timeout(PATIENCE, restarted).await.unwrap();
  assert!(script.has_note("ended by itself: exit status: 3"));
  watch.abort();
}

#[tokio::test]
async fn killed_box_stays_down() {
  let script = ScriptBox::start(IDLE).await;
  let watched = Arc::clone(&script.process);
  let watch = tokio::spawn(async move { watched.watch().await });
  script.process.kill().await.unwrap();
  // Longer than the delay of a restart.
  sleep(Duration::from_millis(500)).await;
  assert!(!script.process.is_up().await);
  assert!(!script.has_note("by itself"));
  script.process.kill().await.unwrap();
  watch.abort();
}

#[tokio::test]
async fn box_that_has_ended_can_be_killed() {
  let script = ScriptBox::start("exit 0").await;
  let ended = async {
    while script.process.is_up().await {
      sleep(POLL).await;
    }
  };
  timeout(PATIENCE, ended).await.unwrap();
  script.process.kill().await.unwrap();
}

#[tokio::test]
async fn box_that_does_not_stop_is_killed_after_the_grace() {
  let script = ScriptBox::start(STUBBORN).await;
  script.wait_for_output("deaf").await;
  let grace = Duration::from_millis(300);
  script.process.terminate(grace).await.unwrap();
  assert!(!script.process.is_up().await);
  assert!(script.has_note("has not ended in 300 ms and is killed"));
}

#[tokio::test]
async fn second_signal_reaches_a_box_that_is_stopping() {
  let script = ScriptBox::start(TWICE).await;
  script.wait_for_output("up").await;
  let stopping = Arc::clone(&script.process);
  let first = tokio::spawn(async move { stopping.terminate(PATIENCE).await });
  script.wait_for_output("term").await;
  script.process.terminate(PATIENCE).await.unwrap();
  first.await.unwrap().unwrap();
  assert!(!script.process.is_up().await);
  assert!(script.has_note("ended: exit status: 0"));
  assert!(!script.has_note("by itself"));
}

#[tokio::test]
async fn grace_of_a_stopped_box_does_not_end_the_next_one() {
  let script = ScriptBox::start(STUBBORN).await;
  script.wait_for_output("deaf").await;
  let stopping = Arc::clone(&script.process);
  let grace = Duration::from_millis(300);
  let stop = tokio::spawn(async move { stopping.terminate(grace).await });
  let signalled = async {
    while !script.has_note("gets SIGTERM") {
      sleep(POLL).await;
    }
  };
  timeout(PATIENCE, signalled).await.unwrap();
  script.process.kill().await.unwrap();
  script.process.start().await.unwrap();
  stop.await.unwrap().unwrap();
  assert!(script.process.is_up().await);
}

#[tokio::test]
async fn box_that_takes_a_place_has_another_name_and_addresses() {
  let script = ScriptBox::start(IDLE).await;
  let before = script.process.addresses();
  let settings = script.settings();
  assert_eq!(settings["nodeName"], "east-0");
  assert_eq!(settings["firstStart"], true);
  script.process.kill().await.unwrap();
  script.process.move_to_new_addresses().await;
  script.process.start().await.unwrap();
  let after = script.process.addresses();
  assert_ne!(before.callers, after.callers);
  assert_ne!(before.boxes, after.boxes);
  let settings = script.settings();
  assert_eq!(settings["listen"]["front"], after.callers.to_string());
  assert_ne!(settings["nodeName"], "east-0");
  assert_eq!(settings["firstStart"], false);
}

#[tokio::test]
async fn box_sees_no_variables_of_the_caller() {
  let script = ScriptBox::start("env; echo done; sleep 60").await;
  script.wait_for_output("done").await;
  let output = script.read("east-0.log");
  assert!(!output.contains("CARGO"), "{output}");
  let line = output
    .lines()
    .find(|line| line.starts_with("RILLFORD_BOOT="));
  assert!(line.unwrap().ends_with("east-0.toml"));
}

#[tokio::test]
async fn missing_program_is_named() {
  let directory = tempfile::tempdir().unwrap();
  let deploy = directory.path().join("deploy");
  fs::create_dir(&deploy).unwrap();
  fs::write(deploy.join("system.toml"), SYSTEM).unwrap();
  let plan = BoxPlan {
    program: Path::new("/nowhere/program"),
    deploy: &DeployFile::read(directory.path()).unwrap(),
    directory: directory.path(),
    site: &Site::parse(SITE).unwrap(),
    recorder: &Recorder::default(),
  };
  let place = BoxPlace {
    index: 0,
    name: "east-0".into(),
    zone: "east".into(),
    region: "here".into(),
  };
  let error = BoxProcess::new(&plan, place, ([127, 0, 0, 1], 9).into());
  assert!(
    error
      .err()
      .unwrap()
      .to_string()
      .contains("/nowhere/program")
  );
}
