//! The bytes that this box holds, with guards that free them on drop.

use {
  crate::gateway::decisions::{HeldBytes, HeldKind, ResponseTicket},
  bytes::Bytes,
  std::{
    fmt::Write,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
  },
  tokio::sync::{Notify, futures::Notified},
};

/// Size of the kernel's buffers of a connection where held bytes are bounded: its own bound is several megabytes for each. Enough
/// for 200 Mbit/s at a round trip of 6 ms.
const SOCKET_BUFFER_BYTES: usize = 128 * 1024;

/// The bytes that all requests of this box hold. Guards are owned by bytes that the HTTP library writes, which have to be `Send`:
/// hence the lock, which is never contended.
#[derive(Clone, Debug)]
pub(crate) struct HeldMemory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
  held: Mutex<HeldBytes>,
  freed: Notify,
}

impl HeldMemory {
  /// For a box with this much memory; without it there is no bound.
  pub(crate) fn new(box_mb: Option<f64>) -> Self {
    Self(Arc::new(Shared {
      freed: Notify::new(),
      held: Mutex::new(HeldBytes::new(box_mb)),
    }))
  }

  /// Whether the held bytes are bounded.
  pub(crate) fn is_bounded(&self) -> bool {
    self.held().bound_bytes().is_some()
  }

  /// Size of the kernel's buffers for a connection whose peer may read, or be read, slowly; `None` when it decides itself.
  pub(crate) fn socket_buffer_bytes(&self) -> Option<usize> {
    self.is_bounded().then_some(SOCKET_BUFFER_BYTES)
  }

  /// The bytes held now, and their bound.
  pub(crate) fn usage(&self) -> (u64, Option<u64>) {
    let held = self.held();
    (held.total_bytes(), held.bound_bytes())
  }

  /// Whether a request with a body of this length may be accepted.
  pub(crate) fn accepts_request(&self, body_bytes: u64) -> bool {
    self.held().accepts_request(body_bytes)
  }

  /// Whether more of a stream may be read, of which `ahead_bytes` wait for the caller.
  pub(crate) fn may_read_ahead(&self, ahead_bytes: u64) -> bool {
    self.held().may_read_ahead(ahead_bytes)
  }

  /// Holds bytes, whether or not they are within the bound.
  pub(crate) fn hold(&self, kind: HeldKind, bytes: u64) -> HeldGuard {
    self.held().add(kind, bytes);
    HeldGuard {
      bytes,
      kind,
      memory: self.clone(),
    }
  }

  /// A response that is about to be buffered.
  pub(crate) fn response(&self) -> ResponseRoom {
    let ticket = self.held().issue_ticket();
    ResponseRoom {
      memory: self.clone(),
      ticket,
    }
  }

  /// Completes when bytes are freed after this call.
  pub(crate) fn freed(&self) -> Notified<'_> {
    self.0.freed.notified()
  }

  /// The held bytes by kind and their bound, as text.
  pub(crate) fn metrics(&self) -> String {
    let held = self.held();
    let mut text = String::new();
    // Writing to a `String` cannot fail.
    for kind in HeldKind::ALL {
      let bytes = held.held_bytes(kind);
      let _ = writeln!(
        text,
        "rillford_held_bytes{{kind=\"{}\"}} {bytes}",
        kind.name()
      );
    }
    if let Some(bound) = held.bound_bytes() {
      let _ = writeln!(text, "rillford_held_bytes_bound {bound}");
    }
    let waiting = held.waiting_responses();
    let _ = writeln!(text, "rillford_responses_waiting_for_memory {waiting}");
    text
  }

  fn held(&self) -> MutexGuard<'_, HeldBytes> {
    self.0.held.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn free(&self, kind: HeldKind, bytes: u64) {
    self.held().remove(kind, bytes);
    self.0.freed.notify_waiters();
  }
}

/// Bytes that are held until the guard is dropped.
#[derive(Debug)]
pub(crate) struct HeldGuard {
  memory: HeldMemory,
  kind: HeldKind,
  bytes: u64,
}

impl HeldGuard {
  /// Holds further bytes, whether or not they are within the bound.
  pub(crate) fn extend(&mut self, bytes: u64) {
    self.memory.held().add(self.kind, bytes);
    self.bytes += bytes;
  }

  /// Moves some of the bytes to a guard of their own.
  pub(crate) fn split(&mut self, bytes: u64) -> Self {
    let bytes = bytes.min(self.bytes);
    self.bytes -= bytes;
    Self {
      bytes,
      kind: self.kind,
      memory: self.memory.clone(),
    }
  }

  /// Bytes that are held until their last reference is dropped, which the HTTP library does once they are written.
  pub(crate) fn into_bytes(self, bytes: Bytes) -> Bytes {
    Bytes::from_owner(GuardedBytes {
      _guard: self,
      bytes,
    })
  }
}

impl Drop for HeldGuard {
  fn drop(&mut self) {
    if self.bytes > 0 {
      self.memory.free(self.kind, self.bytes);
    }
  }
}

struct GuardedBytes {
  bytes: Bytes,
  _guard: HeldGuard,
}

impl AsRef<[u8]> for GuardedBytes {
  fn as_ref(&self) -> &[u8] {
    &self.bytes
  }
}

/// A response that is being buffered, until it is dropped.
#[derive(Debug)]
pub(crate) struct ResponseRoom {
  memory: HeldMemory,
  ticket: ResponseTicket,
}

impl ResponseRoom {
  /// Holds the first bytes, if there is room and it is this response's turn.
  pub(crate) fn try_begin(&self, bytes: u64) -> Option<HeldGuard> {
    let is_granted = self.memory.held().begin_response(self.ticket, bytes);
    is_granted.then(|| self.guard(bytes))
  }

  /// Holds further bytes, if there is room.
  pub(crate) fn try_continue(&self, bytes: u64) -> Option<HeldGuard> {
    let is_granted = self.memory.held().continue_response(self.ticket, bytes);
    is_granted.then(|| self.guard(bytes))
  }

  fn guard(&self, bytes: u64) -> HeldGuard {
    HeldGuard {
      bytes,
      kind: HeldKind::Responses,
      memory: self.memory.clone(),
    }
  }
}

impl Drop for ResponseRoom {
  fn drop(&mut self) {
    self.memory.held().end_response(self.ticket);
    self.memory.0.freed.notify_waiters();
  }
}
