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
  time::Duration,
};

/// Lines that wait for a slow reader; more are dropped and counted.
const MOST_WAITING_LINES: usize = 1_024;
/// The thread only copies lines.
const STACK_BYTES: usize = 64 * 1024;

/// How long a stopping process waits for its last lines to be written.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

enum Entry {
  /// A whole line.
  Line(Vec<u8>),
  /// All lines before it have been written: tell so.
  Flush(SyncSender<()>),
}

/// Takes whole lines without ever waiting.
pub(crate) struct LogWriter {
  lines: SyncSender<Entry>,
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
      if let Err(TrySendError::Full(_)) = self.lines.try_send(Entry::Line(line)) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
      }
    }
    Ok(bytes.len())
  }

  /// Waits until the lines so far are written; only a process that stops calls this.
  fn flush(&mut self) -> io::Result<()> {
    let (written, wait) = sync_channel(1);
    if self.lines.try_send(Entry::Flush(written)).is_ok() {
      // A reader that is too slow must not hold up the stop.
      let _ = wait.recv_timeout(FLUSH_LIMIT);
    }
    Ok(())
  }
}

fn write_lines(waiting: &Receiver<Entry>, dropped: &AtomicU64) {
  let mut output = io::stdout();
  while let Ok(first) = waiting.recv() {
    let mut text = Vec::new();
    let mut flushed = Vec::new();
    for entry in std::iter::once(first).chain(waiting.try_iter()) {
      match entry {
        Entry::Line(line) => text.extend_from_slice(&line),
        Entry::Flush(written) => flushed.push(written),
      }
    }
    let lost = dropped.swap(0, Ordering::Relaxed);
    if lost > 0 {
      let line = format!("E603 {lost} log lines dropped: the reader is too slow\n");
      text.extend_from_slice(line.as_bytes());
    }
    // Nobody is left to be told when the output itself is gone, or who waited for it.
    let _ = output.write_all(&text);
    let _ = output.flush();
    for written in flushed {
      let _ = written.send(());
    }
  }
}
