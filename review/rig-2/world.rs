//! What a run records: a log of what was sent, answered and run, and the arrivals that the checks count.

use std::{
  fs,
  sync::Mutex,
  time::{Duration, Instant},
};

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
  pub at_ms: u64,
  pub server: String,
  pub request: String,
  /// Whether the server is to run it, not only to read its prompt.
  pub runs: bool,
  /// Whether it holds the part that crashes servers.
  pub is_deadly: bool,
}

pub struct World {
  started: Instant,
  lines: Mutex<Vec<(u64, String)>>,
  pub arrivals: Mutex<Vec<Arrival>>,
  /// When servers crashed.
  pub crashes: Mutex<Vec<u64>>,
}

impl World {
  pub fn new() -> World {
    World {
      started: Instant::now(),
      lines: Mutex::default(),
      arrivals: Mutex::default(),
      crashes: Mutex::default(),
    }
  }

  pub fn now_ms(&self) -> u64 {
    self.started.elapsed().as_millis() as u64
  }

  pub fn sleep_until(&self, at_ms: u64) {
    let left_ms = at_ms.saturating_sub(self.now_ms());
    std::thread::sleep(Duration::from_millis(left_ms));
  }

  pub fn log(&self, line: impl Into<String>) {
    let line = line.into();
    self.lines.lock().unwrap().push((self.now_ms(), line));
  }

  /// Prints a line too.
  pub fn say(&self, line: impl Into<String>) {
    let line = line.into();
    println!("{line}");
    self.log(line);
  }

  pub fn write(&self, path: &str) {
    let lines = self.lines.lock().unwrap();
    let text: String = lines
      .iter()
      .map(|(at_ms, line)| format!("{:9.3} {line}\n", *at_ms as f64 / 1_000.0))
      .collect();
    if let Err(error) = fs::write(path, text) {
      eprintln!("record not written: {error}");
    }
  }
}
