//! State shared by the ingress handlers: numbers requests, admits them, and tracks those without an outcome.

use {
  super::{caller_guard::CallerGuard, outcome::outcome_response},
  crate::{
    chunk::{Body, CHUNKS_IN_FLIGHT, Chunk, Payload},
    configuration::KeyTable,
    decide::{Arrival, Event, NotRunReason, RequestOutcome, Work},
    egress::EgressInput,
    ids::{Name, RequestId},
    ring::Sender,
    settings::Limits,
  },
  arc_swap::ArcSwap,
  axum::response::Response,
  std::{
    collections::HashMap,
    sync::{
      Arc, Mutex, PoisonError,
      atomic::{AtomicU8, AtomicU64, Ordering},
    },
  },
  tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
  },
};

const BUSY_RETRY_MS: u64 = 500;
const STOPPING_RETRY_MS: u64 = 100;

/// The lifecycle of a box; it only advances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
  /// No configuration is in force yet; requests are rejected.
  Unready,
  /// Accepts requests.
  Ready,
  /// The health check fails but requests are still accepted, until the load balancer has noticed.
  Leaving,
  /// Rejects all requests.
  Closed,
}

/// The phase, shared between workers.
#[derive(Debug, Default)]
pub(crate) struct SharedPhase(AtomicU8);

impl SharedPhase {
  pub(crate) fn get(&self) -> Phase {
    match self.0.load(Ordering::SeqCst) {
      0 => Phase::Unready,
      1 => Phase::Ready,
      2 => Phase::Leaving,
      _ => Phase::Closed,
    }
  }

  /// Advances to a phase; an earlier phase than the current one is ignored.
  pub(crate) fn advance(&self, phase: Phase) {
    let number = match phase {
      Phase::Unready => 0,
      Phase::Ready => 1,
      Phase::Leaving => 2,
      Phase::Closed => 3,
    };
    self.0.fetch_max(number, Ordering::SeqCst);
  }
}

/// State shared by the handlers.
pub(crate) struct IngressState {
  pub(crate) keys: Arc<ArcSwap<KeyTable>>,
  pub(crate) limits: Limits,
  pub(crate) models: Vec<Name>,
  pub(crate) phase: Arc<SharedPhase>,
  pub(crate) to_decide: Sender<Event>,
  pub(crate) to_egress: Sender<EgressInput>,
  pub(crate) next_request: AtomicU64,
  /// Requests without an outcome yet.
  pub(crate) pending: Mutex<HashMap<RequestId, oneshot::Sender<RequestOutcome>>>,
}

/// An admitted request whose response is pending, as its handler holds it.
pub(super) struct PendingResponse {
  pub(super) guard: CallerGuard,
  pub(super) chunks: mpsc::Receiver<Chunk>,
  pub(super) outcome: oneshot::Receiver<RequestOutcome>,
}

/// The attributes of a request, without its body.
pub(super) struct RequestAttributes {
  pub(super) organisation: Name,
  pub(super) work: Work,
  pub(super) task: Name,
  pub(super) not_repeatable: bool,
  pub(super) idempotency_key: Option<Name>,
  pub(super) deadline_ms: Option<u64>,
}

impl IngressState {
  /// Hands a request to egress and `decide`. If a queue is full, it fails at once with the response to send.
  pub(super) fn admit(
    self: &Arc<Self>,
    attributes: RequestAttributes,
    body: Body,
  ) -> Result<PendingResponse, Box<Response>> {
    match self.phase.get() {
      Phase::Unready => return Err(rejection(NotRunReason::NotReady, BUSY_RETRY_MS)),
      Phase::Closed => return Err(rejection(NotRunReason::Stopping, STOPPING_RETRY_MS)),
      Phase::Ready | Phase::Leaving => {}
    }
    let request = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
    let (chunk_sender, chunks) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let (outcome_sender, outcome) = oneshot::channel();
    {
      let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
      if pending.len() >= self.limits.requests {
        return Err(rejection(NotRunReason::Busy, BUSY_RETRY_MS));
      }
      pending.insert(request, outcome_sender);
    }
    let payload = Payload {
      arrived: Instant::now(),
      body,
      chunks: chunk_sender,
      request,
    };
    if self.to_egress.push(EgressInput::Payload(payload)).is_err() {
      self.remove_pending(request);
      return Err(rejection(NotRunReason::Busy, BUSY_RETRY_MS));
    }
    let arrival = Arrival {
      deadline_ms: attributes.deadline_ms,
      idempotency_key: attributes.idempotency_key,
      not_repeatable: attributes.not_repeatable,
      organisation: attributes.organisation,
      request,
      task: attributes.task,
      work: attributes.work,
    };
    // Keeps a ring slot free for the disconnect event of each request.
    let reserved = self.limits.requests;
    if self
      .to_decide
      .push_with_reserve(reserved, Event::Arrived(arrival))
      .is_err()
    {
      self.remove_pending(request);
      return Err(rejection(NotRunReason::Busy, BUSY_RETRY_MS));
    }
    Ok(PendingResponse {
      chunks,
      guard: CallerGuard::new(self.clone(), request),
      outcome,
    })
  }

  pub(super) fn remove_pending(&self, request: RequestId) {
    self
      .pending
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .remove(&request);
  }

  /// Passes the outcome of a request to its handler, if the caller is still connected.
  pub(super) fn finish_pending(&self, request: RequestId, outcome: RequestOutcome) {
    let waiting = self
      .pending
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .remove(&request);
    if let Some(sender) = waiting {
      let _ = sender.send(outcome);
    }
  }
}

fn rejection(reason: NotRunReason, retry_after_ms: u64) -> Box<Response> {
  Box::new(outcome_response(RequestOutcome::NotRun {
    reason,
    retry_after_ms,
  }))
}
