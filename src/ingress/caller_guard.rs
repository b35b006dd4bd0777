//! Noticing that a caller has gone, wherever its request stands.

use {
  super::Desk,
  crate::{decide::Event, ids::RequestId},
  std::sync::Arc,
};

/// Lives as long as the caller waits; its end before the request's tells `decide`.
pub(super) struct CallerGuard {
  desk: Arc<Desk>,
  request: RequestId,
  ended: bool,
}

impl CallerGuard {
  pub(super) fn new(desk: Arc<Desk>, request: RequestId) -> Self {
    Self {
      desk,
      ended: false,
      request,
    }
  }

  pub(super) fn request(&self) -> RequestId {
    self.request
  }

  /// The request has ended: the caller may go.
  pub(super) fn ended(&mut self) {
    self.ended = true;
  }
}

impl Drop for CallerGuard {
  fn drop(&mut self) {
    self.desk.forget(self.request);
    if !self.ended {
      // Room for one such event per request is kept free by the desk.
      let _ = self
        .desk
        .to_decide
        .push(Event::CallerDisconnected(self.request));
    }
  }
}
