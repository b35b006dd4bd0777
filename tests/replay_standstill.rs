//! A standstill of what the replay plays itself: no task goes on, and other processes do.

use {
  super::test::PATIENCE,
  replay::stand_still,
  std::{
    fs,
    sync::{
      Arc,
      atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::{
    process::Command,
    task::{JoinSet, yield_now},
    time::timeout,
  },
};

const LENGTH: Duration = Duration::from_millis(400);
/// More than the runtime has threads.
const TASKS: usize = 40;

/// Notes the moment of the last step, and the longest time between two steps of any of the tasks, in microseconds.
async fn run_steps(started: Instant, last: Arc<AtomicU64>, longest: Arc<AtomicU64>) {
  loop {
    let now = started.elapsed().as_micros() as u64;
    let before = last.fetch_max(now, Ordering::Relaxed);
    longest.fetch_max(now.saturating_sub(before), Ordering::Relaxed);
    yield_now().await;
  }
}

/// Guards against busy threads that go on while the others stand still.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_task_goes_on_during_a_standstill() {
  let (last, longest) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
  let started = Instant::now();
  let mut tasks = JoinSet::new();
  for _ in 0..TASKS {
    tasks.spawn(run_steps(started, last.clone(), longest.clone()));
  }
  timeout(PATIENCE, stand_still(LENGTH)).await.unwrap();
  let ended_us = started.elapsed().as_micros() as u64;
  let goes_on = async {
    while last.load(Ordering::Relaxed) < ended_us {
      yield_now().await;
    }
  };
  timeout(PATIENCE, goes_on).await.unwrap();
  let longest = Duration::from_micros(longest.load(Ordering::Relaxed));
  assert!(longest > LENGTH / 2, "{longest:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_processes_go_on_during_a_standstill() {
  let directory = tempfile::tempdir().unwrap();
  let file = directory.path().join("steps");
  let script = "while :; do echo step >> \"$0\"; sleep 0.01; done";
  let mut process = Command::new("sh")
    .args(["-c", script])
    .arg(&file)
    .kill_on_drop(true)
    .spawn()
    .unwrap();
  let steps = || {
    fs::read_to_string(&file)
      .unwrap_or_default()
      .lines()
      .count()
  };
  let goes_on = async {
    let mut before = steps();
    stand_still(LENGTH).await;
    // The shell may have begun only now.
    while steps() <= before {
      before = steps();
      stand_still(LENGTH).await;
    }
  };
  timeout(PATIENCE, goes_on).await.unwrap();
  process.kill().await.unwrap();
}
