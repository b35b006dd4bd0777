//! Detects that a caller has disconnected before its request has finished.

use {
  super::IngressState,
  crate::{decide::Event, ids::RequestId},
  std::sync::Arc,
};

/// Dropped when the caller disconnects or the response is complete. Notifies `decide` of a disconnect.
pub(super) struct CallerGuard {
  state: Arc<IngressState>,
  request: RequestId,
  is_finished: bool,
}

impl CallerGuard {
  pub(super) fn new(state: Arc<IngressState>, request: RequestId) -> Self {
    Self {
      is_finished: false,
      request,
      state,
    }
  }

  pub(super) fn request(&self) -> RequestId {
    self.request
  }

  /// Marks the request as finished: a disconnect from now on is normal.
  pub(super) fn disarm(&mut self) {
    self.is_finished = true;
  }
}

impl Drop for CallerGuard {
  fn drop(&mut self) {
    self.state.remove_pending(self.request);
    if !self.is_finished {
      // `IngressState::admit` keeps a ring slot free for this event of each request.
      let _ = self
        .state
        .to_decide
        .push(Event::CallerDisconnected(self.request));
    }
  }
}
