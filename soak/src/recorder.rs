//! The shared recorder of a run.

use {
  super::{
    caller_key::CallerKey,
    disturbance::{Disturbance, Target},
    garble::GarbledAnswer,
    records::{
      AdvertisedLimit, LeavingReceived, LimitReceived, Outcome, Records, Rejection, RequestRecord,
      ResumedStream, Run, Start,
    },
    request_kind::RequestKind,
    work::{RequestContent, Work},
  },
  judge::RawRecorder,
  std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
  },
};

/// Records of a run, shared by its tasks, with the run's clock.
#[derive(Clone)]
pub struct Recorder {
  started: Instant,
  records: Arc<Mutex<Records>>,
  /// What engines made and callers read.
  pub(crate) raw: RawRecorder,
}

impl Default for Recorder {
  fn default() -> Self {
    Self {
      raw: RawRecorder::default(),
      records: Arc::default(),
      started: Instant::now(),
    }
  }
}

impl Recorder {
  /// Time since the start of the run.
  pub fn now_ms(&self) -> u64 {
    u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
  }

  /// The records, locked.
  pub fn records(&self) -> MutexGuard<'_, Records> {
    // Each write is one assignment or push, so that a panic leaves no partial record.
    self.records.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Records that a caller sends a request.
  pub(crate) fn record_request(
    &self,
    id: &str,
    kind: RequestKind,
    key: CallerKey,
    box_index: usize,
    resumes: Option<ResumedStream>,
  ) {
    let record = RequestRecord {
      box_index,
      ended_ms: None,
      key,
      kind,
      outcome: None,
      resumes,
      runs: Vec::new(),
      sent_ms: self.now_ms(),
    };
    self.records().requests.insert(id.into(), record);
  }

  /// Records the outcome of a request for its caller.
  pub(crate) fn record_outcome(&self, id: &str, outcome: Outcome) {
    if let Some(record) = self.records().requests.get_mut(id) {
      record.outcome = Some(outcome);
    }
  }

  /// Records that a request has ended for its caller, or that a caller closes the connection that it had left.
  pub(crate) fn record_end(&self, id: &str) {
    let now_ms = self.now_ms();
    if let Some(record) = self.records().requests.get_mut(id) {
      record.ended_ms = Some(now_ms);
    }
  }

  /// Records that a caller received a leaving signal.
  pub(crate) fn record_leaving_received(&self, box_index: usize, incarnation: &str) {
    let received = LeavingReceived {
      at_ms: self.now_ms(),
      box_index,
      incarnation: incarnation.into(),
    };
    self.records().leaving_received.push(received);
  }

  /// Records that a caller received an advertised limit.
  pub(crate) fn record_limit_received(&self, box_index: usize, incarnation: &str) {
    let received = LimitReceived {
      at_ms: self.now_ms(),
      box_index,
      incarnation: incarnation.into(),
    };
    self.records().limits_received.push(received);
  }

  /// Records that an endpoint advertises a limit from now on, in place of an earlier one.
  pub(crate) fn begin_limit(&self, incarnation: &str, per_s: u32) {
    self.end_limit(incarnation);
    let limit = AdvertisedLimit {
      from_ms: self.now_ms(),
      incarnation: incarnation.into(),
      per_s,
      until_ms: None,
    };
    self.records().advertised_limits.push(limit);
  }

  /// Records that an endpoint no longer advertises a limit.
  pub(crate) fn end_limit(&self, incarnation: &str) {
    let now_ms = self.now_ms();
    let mut records = self.records();
    let limits = records.advertised_limits.iter_mut();
    for limit in limits.filter(|limit| limit.incarnation == incarnation) {
      limit.until_ms.get_or_insert(now_ms);
    }
  }

  /// Records that an endpoint rejects a request and asks the box to back off.
  pub(crate) fn record_rejection(&self, id: &str, incarnation: &str, retry_after_ms: u64) {
    let rejection = Rejection {
      at_ms: self.now_ms(),
      id: id.into(),
      incarnation: incarnation.into(),
      retry_after_ms,
    };
    self.records().rejections.push(rejection);
  }

  /// Records that an endpoint garbles an answer to a request.
  pub(crate) fn record_garbled(&self, id: &str, answer: GarbledAnswer) {
    let mut records = self.records();
    records.garbled.entry(id.into()).or_default().push(answer);
  }

  /// Records the start of an endpoint.
  pub(crate) fn record_start(&self, incarnation: &str) {
    let start = Start {
      at_ms: self.now_ms(),
      incarnation: incarnation.into(),
    };
    self.records().starts.push(start);
  }

  /// Records what is sent under an id.
  pub(crate) fn record_sent(&self, id: &str, content: RequestContent) {
    self.records().sent.insert(id.into(), content);
  }

  /// Records what an endpoint works on from now on.
  pub(crate) fn record_work(&self, id: &str, incarnation: &str, request: RequestContent) {
    let work = Work {
      began_ms: self.now_ms(),
      id: id.into(),
      incarnation: incarnation.into(),
      request,
    };
    self.records().work.push(work);
  }

  /// Records the start of a run of a caller's request at an endpoint, which ends when the guard is dropped.
  pub(crate) fn begin_run(&self, id: &str, run: Run) -> RunGuard {
    let mut records = self.records();
    let Some(record) = records.requests.get_mut(id) else {
      return RunGuard(None);
    };
    record.runs.push(run);
    RunGuard(Some((self.clone(), id.into(), record.runs.len() - 1)))
  }

  /// Records the start of a disturbance, which ends when the guard is dropped.
  pub(crate) fn begin_disturbance(&self, target: Target) -> DisturbanceGuard {
    let from_ms = self.now_ms();
    let mut records = self.records();
    records.disturbances.push(Disturbance {
      from_ms,
      target,
      until_ms: None,
    });
    DisturbanceGuard(self.clone(), records.disturbances.len() - 1)
  }
}

/// A run in progress.
pub(crate) struct RunGuard(Option<(Recorder, String, usize)>);

impl RunGuard {
  /// Records that the engine sends an event of the stream.
  pub(crate) fn record_event(&self) {
    let Some((recorder, id, number)) = &self.0 else {
      return;
    };
    let now_ms = recorder.now_ms();
    if let Some(record) = recorder.records().requests.get_mut(id) {
      record.runs[*number].first_event_ms.get_or_insert(now_ms);
    }
  }
}

impl Drop for RunGuard {
  fn drop(&mut self) {
    let Some((recorder, id, number)) = self.0.take() else {
      return;
    };
    let now_ms = recorder.now_ms();
    if let Some(record) = recorder.records().requests.get_mut(&id) {
      record.runs[number].ended_ms = Some(now_ms);
    }
  }
}

/// A disturbance in progress.
pub(crate) struct DisturbanceGuard(Recorder, usize);

impl DisturbanceGuard {
  /// Start of the disturbance.
  pub(crate) fn began_ms(&self) -> u64 {
    self.0.records().disturbances[self.1].from_ms
  }
}

impl Drop for DisturbanceGuard {
  fn drop(&mut self) {
    let now_ms = self.0.now_ms();
    self.0.records().disturbances[self.1].until_ms = Some(now_ms);
  }
}
