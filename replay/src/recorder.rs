//! What happens in a replay.

use {
  judge::RawRecorder,
  std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
  },
};

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct RequestNote {
  /// Its kind.
  pub class: Arc<str>,
  /// The box that it was sent to.
  pub box_index: usize,
  /// The stream that it resumes: the id of its first request.
  pub resumes: Option<String>,
  /// When it was sent.
  pub sent_ms: u64,
  /// When its answer ended, and how: a status, or why there is none.
  pub ended: Option<(u64, String)>,
  /// Whether it was answered whole.
  pub is_served: bool,
  /// When the first event arrived.
  pub first_event_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Notes {
  lines: Vec<(u64, String)>,
  requests: BTreeMap<String, RequestNote>,
}

/// What happens in a replay, shared by its tasks. Times are in milliseconds since its start.
#[derive(Clone)]
pub struct Recorder {
  started: Instant,
  /// What engines make and callers read.
  pub raw: RawRecorder,
  notes: Arc<Mutex<Notes>>,
}

impl Default for Recorder {
  fn default() -> Self {
    Self {
      notes: Arc::default(),
      raw: RawRecorder::default(),
      started: Instant::now(),
    }
  }
}

impl Recorder {
  /// Milliseconds since the start.
  pub fn now_ms(&self) -> u64 {
    u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
  }

  /// Notes what happens now in the timeline.
  pub fn note(&self, line: impl Into<String>) {
    let now_ms = self.now_ms();
    self.notes().lines.push((now_ms, line.into()));
  }

  /// The timeline so far.
  pub fn timeline(&self) -> Vec<(u64, String)> {
    self.notes().lines.clone()
  }

  /// Notes that a request is sent.
  pub fn begin_request(&self, id: &str, note: RequestNote) {
    self.notes().requests.insert(id.into(), note);
  }

  /// Changes the note of a request.
  pub fn update_request(&self, id: &str, change: impl FnOnce(&mut RequestNote)) {
    if let Some(note) = self.notes().requests.get_mut(id) {
      change(note);
    }
  }

  /// All requests, by their ids.
  pub fn requests(&self) -> BTreeMap<String, RequestNote> {
    self.notes().requests.clone()
  }

  fn notes(&self) -> MutexGuard<'_, Notes> {
    // Each change is one assignment.
    self.notes.lock().unwrap_or_else(PoisonError::into_inner)
  }
}
