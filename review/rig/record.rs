//! The record of a run: what was sent, answered and run, with the time since the start of the run.

use std::{
  fs::File,
  io::{self, BufWriter, Write},
  path::Path,
  sync::{Mutex, MutexGuard, PoisonError},
  time::Instant,
};

/// A file of lines, each with its time.
pub struct Record {
  started: Instant,
  file: Mutex<BufWriter<File>>,
}

impl Record {
  /// Creates the file.
  pub fn create(path: &Path) -> io::Result<Self> {
    Ok(Self {
      file: Mutex::new(BufWriter::new(File::create(path)?)),
      started: Instant::now(),
    })
  }

  /// Milliseconds since the run started.
  pub fn now_ms(&self) -> u64 {
    self.started.elapsed().as_millis() as u64
  }

  /// Writes a line.
  pub fn line(&self, text: &str) {
    let now_ms = self.now_ms();
    // A record that can't be written shows as a file that ends early.
    let _ = writeln!(lock(&self.file), "{now_ms:>6} {text}");
  }

  /// Writes a line to the record and to standard output.
  pub fn result(&self, text: &str) {
    self.line(text);
    println!("{text}");
  }

  /// Writes out what is buffered.
  pub fn flush(&self) {
    let _ = lock(&self.file).flush();
  }
}

/// Locks a mutex whose contents stay consistent when a thread panics.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
