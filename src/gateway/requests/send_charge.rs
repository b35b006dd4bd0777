//! A send of a request that is charged to the retry budget.

use {
  crate::gateway::{
    decisions::RetryNeed,
    retries::{RetryCharge, take_own_retry, take_retry},
    stages::RoutedRequest,
    state::Gateway,
  },
  std::{
    cell::{Cell, RefCell},
    rc::Rc,
  },
};

/// A request's sends that reached an endpoint, or are to; all but the first are charged to the retry budget.
#[derive(Debug, Default)]
pub(super) struct Sends {
  count: Cell<u32>,
  charges: RefCell<Vec<RetryCharge>>,
}

/// A send of a request, charged to its service's retry budget unless it is the request's first one. Returned on drop unless the
/// request was sent.
pub(super) struct SendCharge {
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
  /// The request's sends, with this one.
  sends: Rc<Sends>,
  is_sent: bool,
}

impl SendCharge {
  /// Charges a send, if need be to another box's share of the budget; `None` when no retry is left.
  pub(super) async fn take(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    sends: &Rc<Sends>,
    need: RetryNeed,
  ) -> Option<Self> {
    if sends.count.get() > 0 {
      let charge = take_retry(gateway, request, need).await?;
      sends.add_charge(gateway, charge);
    }
    Some(Self::new(gateway, request, sends))
  }

  /// Charges a send that can be left out; `None` when this box's share of the budget is spent.
  pub(super) fn take_own(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    sends: &Rc<Sends>,
  ) -> Option<Self> {
    if sends.count.get() > 0 {
      let charge = take_own_retry(gateway, request)?;
      sends.add_charge(gateway, charge);
    }
    Some(Self::new(gateway, request, sends))
  }

  fn new(gateway: &Rc<Gateway>, request: &Rc<RoutedRequest>, sends: &Rc<Sends>) -> Self {
    sends.count.set(sends.count.get() + 1);
    Self {
      gateway: gateway.clone(),
      is_sent: false,
      request: request.clone(),
      sends: sends.clone(),
    }
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
    self.sends.count.set(self.sends.count.get() - 1);
    let charge = self.sends.charges.borrow_mut().pop();
    if let Some(charge) = charge {
      charge.give_back(&self.gateway, &self.request.service);
    }
  }
}

impl Sends {
  fn add_charge(&self, gateway: &Gateway, charge: RetryCharge) {
    gateway.counters.retries.inc();
    self.charges.borrow_mut().push(charge);
  }
}
