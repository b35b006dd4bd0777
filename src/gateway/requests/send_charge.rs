//! A send of a request that is charged to the retry budget.

use {
  crate::gateway::{stages::RoutedRequest, state::Gateway},
  std::{cell::Cell, rc::Rc},
};

/// A send of a request, charged to its service's retry budget unless it is the request's first one. Returned on drop unless the
/// request was sent.
pub(super) struct SendCharge {
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
  /// The request's sends, with this one.
  sends: Rc<Cell<u32>>,
  taken_ms: u64,
  is_sent: bool,
}

impl SendCharge {
  /// Charges a send; `None` when the budget is spent.
  pub(super) fn take(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    sends: &Rc<Cell<u32>>,
  ) -> Option<Self> {
    let taken_ms = gateway.now_ms();
    if sends.get() > 0 {
      if !gateway.take_retry(request.id(), &request.service) {
        return None;
      }
      gateway.counters.retries.inc();
    }
    sends.set(sends.get() + 1);
    Some(Self {
      gateway: gateway.clone(),
      is_sent: false,
      request: request.clone(),
      sends: sends.clone(),
      taken_ms,
    })
  }

  /// Sets whether the request was sent, or is being sent.
  pub(super) fn set_sent(&mut self, is_sent: bool) {
    self.is_sent = is_sent;
  }
}

impl Drop for SendCharge {
  fn drop(&mut self) {
    if self.is_sent {
      return;
    }
    let sends = self.sends.get() - 1;
    self.sends.set(sends);
    if sends > 0 {
      let service = &self.request.service;
      self.gateway.return_retry(service, self.taken_ms);
    }
  }
}
