//! Writes the log to standard output through a bounded queue and a thread, so that no request blocks on a slow reader.

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

/// Capacity of the queue; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 1_024;
/// Stack of the thread, which only copies lines.
const STACK_BYTES: usize = 64 * 1024;

/// How long a stopping process waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Entry {
  /// A complete line.
  Line(Vec<u8>),
  /// Signals the sender once all lines before it are written.
  Flush(SyncSender<()>),
}

/// Queues complete lines without blocking.
pub(crate) struct LogWriter {
  lines: SyncSender<Entry>,
  dropped: Arc<AtomicU64>,
  line: Vec<u8>,
}

impl LogWriter {
  /// Starts the writing thread.
  pub(crate) fn start() -> io::Result<Self> {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = dropped.clone();
    thread::Builder::new()
      .name("log".into())
      .stack_size(STACK_BYTES)
      .spawn(move || write_lines(&queue, &counter))?;
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

  /// Waits until all queued lines are written; called only at shutdown.
  fn flush(&mut self) -> io::Result<()> {
    let (written, wait) = sync_channel(1);
    if self.lines.try_send(Entry::Flush(written)).is_ok() {
      // A slow reader must not delay the shutdown.
      let _ = wait.recv_timeout(FLUSH_TIMEOUT);
    }
    Ok(())
  }
}

fn write_lines(queue: &Receiver<Entry>, dropped: &AtomicU64) {
  let mut output = io::stdout();
  while let Ok(first) = queue.recv() {
    let mut text = Vec::new();
    let mut flushed = Vec::new();
    for entry in std::iter::once(first).chain(queue.try_iter()) {
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
    // An error can't be logged when the output is closed.
    let _ = output.write_all(&text);
    let _ = output.flush();
    for written in flushed {
      let _ = written.send(());
    }
  }
}
