//! What the handlers of ingress share: requests are numbered, handed on, and wait for their endings.

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

/// Room in the ring that arrivals leave free for each request's one possible farewell.
const BUSY_RETRY_MS: u64 = 500;
const STOPPING_RETRY_MS: u64 = 100;

/// How far the box is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
  /// Has no configuration yet.
  Unready,
  /// Takes requests.
  Ready,
  /// Fails its health check but goes on accepting, until the balancer has noticed.
  Leaving,
  /// Takes no more requests.
  Closed,
}

/// The phase, shared between duties.
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

  /// Moves on; a phase is never gone back to.
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

/// What the handlers share.
pub(crate) struct Desk {
  pub(crate) keys: Arc<ArcSwap<KeyTable>>,
  pub(crate) limits: Limits,
  pub(crate) models: Vec<Name>,
  pub(crate) phase: Arc<SharedPhase>,
  pub(crate) to_decide: Sender<Event>,
  pub(crate) to_egress: Sender<EgressInput>,
  pub(crate) next: AtomicU64,
  pub(crate) waiting: Mutex<HashMap<RequestId, oneshot::Sender<RequestOutcome>>>,
}

/// A request on its way, as a handler holds it.
pub(super) struct Ticket {
  pub(super) guard: CallerGuard,
  pub(super) chunks: mpsc::Receiver<Chunk>,
  pub(super) ending: oneshot::Receiver<RequestOutcome>,
}

/// What a handler knows of a request besides its body.
pub(super) struct Asked {
  pub(super) organisation: Name,
  pub(super) work: Work,
  pub(super) task: Name,
  pub(super) not_repeatable: bool,
  pub(super) idempotency_key: Option<Name>,
  pub(super) deadline_ms: Option<u64>,
}

impl Desk {
  /// Hands a request on; a full ring is an immediate refusal.
  pub(super) fn admit(self: &Arc<Self>, asked: Asked, body: Body) -> Result<Ticket, Box<Response>> {
    match self.phase.get() {
      Phase::Unready => return Err(refused(NotRunReason::NotReady, BUSY_RETRY_MS)),
      Phase::Closed => return Err(refused(NotRunReason::Stopping, STOPPING_RETRY_MS)),
      Phase::Ready | Phase::Leaving => {}
    }
    let request = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
    let (chunk_sender, chunks) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let (ending_sender, ending) = oneshot::channel();
    {
      let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
      if waiting.len() >= self.limits.requests {
        return Err(refused(NotRunReason::Busy, BUSY_RETRY_MS));
      }
      waiting.insert(request, ending_sender);
    }
    let payload = Payload {
      arrived: Instant::now(),
      body,
      chunks: chunk_sender,
      request,
    };
    if self.to_egress.push(EgressInput::Payload(payload)).is_err() {
      self.forget(request);
      return Err(refused(NotRunReason::Busy, BUSY_RETRY_MS));
    }
    let arrival = Arrival {
      deadline_ms: asked.deadline_ms,
      idempotency_key: asked.idempotency_key,
      not_repeatable: asked.not_repeatable,
      organisation: asked.organisation,
      request,
      task: asked.task,
      work: asked.work,
    };
    let spare = self.limits.requests;
    if self
      .to_decide
      .push_leaving(spare, Event::Arrived(arrival))
      .is_err()
    {
      self.forget(request);
      return Err(refused(NotRunReason::Busy, BUSY_RETRY_MS));
    }
    Ok(Ticket {
      chunks,
      ending,
      guard: CallerGuard::new(self.clone(), request),
    })
  }

  pub(super) fn forget(&self, request: RequestId) {
    self
      .waiting
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .remove(&request);
  }

  pub(super) fn end(&self, request: RequestId, ending: RequestOutcome) {
    let waiting = self
      .waiting
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .remove(&request);
    if let Some(sender) = waiting {
      let _ = sender.send(ending);
    }
  }
}

fn refused(reason: NotRunReason, retry_after_ms: u64) -> Box<Response> {
  Box::new(outcome_response(RequestOutcome::NotRun {
    reason,
    retry_after_ms,
  }))
}
