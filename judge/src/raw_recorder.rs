//! The shared recorder of raw records.

use {
  super::raw_records::{RawConnection, RawRecords, RawRequest, RawRun, ReadEnd},
  std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Raw records of a run, shared by its tasks.
#[derive(Clone, Default)]
pub struct RawRecorder(Arc<Mutex<RawRecords>>);

impl RawRecorder {
  /// The records, locked.
  pub fn records(&self) -> MutexGuard<'_, RawRecords> {
    // Each write is one push or assignment.
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Records that an engine begins to run a stream.
  pub fn begin_run(&self, run: RawRun) -> RawRunRecorder {
    let mut records = self.records();
    records.runs.push(run);
    RawRunRecorder {
      index: records.runs.len() - 1,
      recorder: self.clone(),
    }
  }

  /// Records that a caller sends a request.
  pub fn record_request(&self, request: RawRequest) -> usize {
    let mut records = self.records();
    records.requests.push(request);
    records.requests.len() - 1
  }

  /// Records that a caller opens a connection.
  pub fn open_connection(&self) -> RawConnectionRecorder {
    let mut records = self.records();
    records.connections.push(RawConnection::default());
    RawConnectionRecorder {
      index: records.connections.len() - 1,
      recorder: self.clone(),
    }
  }
}

/// Records a run.
pub struct RawRunRecorder {
  index: usize,
  recorder: RawRecorder,
}

impl RawRunRecorder {
  /// Records a piece that the run has made.
  pub fn record_piece(&self, number: u64, piece: &str) {
    let mut records = self.recorder.records();
    let run = &mut records.runs[self.index];
    run.pieces.push((number, piece.into()));
  }
}

/// Records a connection of a caller.
#[derive(Clone)]
pub struct RawConnectionRecorder {
  index: usize,
  recorder: RawRecorder,
}

impl RawConnectionRecorder {
  /// Records that a request is written to it.
  pub fn record_request(&self, request: usize) {
    let mut records = self.recorder.records();
    records.connections[self.index].requests.push(request);
  }

  /// Records what was read.
  pub fn record_read(&self, bytes: &[u8]) {
    let mut records = self.recorder.records();
    records.connections[self.index]
      .bytes
      .extend_from_slice(bytes);
  }

  /// Records how it ended.
  pub fn record_end(&self, end: ReadEnd) {
    self.recorder.records().connections[self.index].end = end;
  }
}
