//! The log's way to standard output: a bounded queue and a thread, so that no request waits for a reader.

use std::{
  io::{self, Write},
  mem,
  sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
    mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
  },
  thread,
};

/// Lines that wait for a slow reader; more are dropped and counted.
const MOST_WAITING_LINES: usize = 1_024;
/// The thread only copies lines.
const STACK_BYTES: usize = 64 * 1024;

/// Takes whole lines without ever waiting.
pub(crate) struct LogWriter {
  lines: SyncSender<Vec<u8>>,
  dropped: Arc<AtomicU64>,
  line: Vec<u8>,
}

impl LogWriter {
  /// Starts the thread that writes.
  pub(crate) fn start() -> io::Result<Self> {
    let (lines, waiting) = sync_channel(MOST_WAITING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = dropped.clone();
    thread::Builder::new()
      .name("log".into())
      .stack_size(STACK_BYTES)
      .spawn(move || write_lines(&waiting, &counted))?;
    Ok(Self {
      dropped,
      line: Vec::new(),
      lines,
    })
  }
}

impl Write for LogWriter {
  fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    self.line.extend_from_slice(bytes);
    if self.line.ends_with(b"\n") {
      let line = mem::take(&mut self.line);
      if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
      }
    }
    Ok(bytes.len())
  }

  fn flush(&mut self) -> io::Result<()> {
    Ok(())
  }
}

fn write_lines(waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
  let mut output = io::stdout();
  while let Ok(mut lines) = waiting.recv() {
    for line in waiting.try_iter() {
      lines.extend_from_slice(&line);
    }
    let lost = dropped.swap(0, Ordering::Relaxed);
    if lost > 0 {
      let _ = writeln!(
        lines,
        "E603 {lost} log lines dropped: the reader is too slow"
      );
    }
    // Nobody is left to be told when the output itself is gone.
    let _ = output.write_all(&lines);
  }
}
