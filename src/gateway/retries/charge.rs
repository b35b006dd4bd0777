//! Charges a retry to the retry budget.

use {
  super::borrowing::{BorrowedRetry, borrow_retry},
  crate::{
    gateway::{decisions::RetryNeed, stages::RoutedRequest, state::Gateway},
    ids::Name,
  },
  std::rc::Rc,
};

/// A retry that was taken from the budget.
#[derive(Debug)]
pub(crate) enum RetryCharge {
  /// From this box's share.
  Own { taken_ms: u64 },
  /// From another box's.
  Borrowed(BorrowedRetry),
}

impl RetryCharge {
  /// Returns a retry that reached no endpoint to the share that it is from.
  pub(crate) fn give_back(self, gateway: &Rc<Gateway>, service: &Name) {
    match self {
      Self::Own { taken_ms } => gateway.return_retry(service, taken_ms),
      Self::Borrowed(borrowed) => borrowed.give_back(gateway, service),
    }
  }
}

/// Takes a retry of a request from this box's share or, when that is spent, from another box's; `None` when neither has one.
pub(crate) async fn take_retry(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  need: RetryNeed,
) -> Option<RetryCharge> {
  if let Some(charge) = take_from_share(gateway, request, need) {
    return Some(charge);
  }
  match borrow_retry(gateway, request, need).await {
    Ok(borrowed) => Some(RetryCharge::Borrowed(borrowed)),
    Err(reason) => {
      let service = &request.service;
      gateway.record_retry_denied(request.id(), service, &format!("no loan: {reason}"));
      None
    }
  }
}

/// Takes a retry that can be left out from this box's share; `None` when the share is spent.
pub(crate) fn take_own_retry(gateway: &Gateway, request: &RoutedRequest) -> Option<RetryCharge> {
  let charge = take_from_share(gateway, request, RetryNeed::Required);
  if charge.is_none() {
    gateway.record_retry_denied(request.id(), &request.service, "no loan needed");
  }
  charge
}

fn take_from_share(
  gateway: &Gateway,
  request: &RoutedRequest,
  need: RetryNeed,
) -> Option<RetryCharge> {
  let taken_ms = gateway.now_ms();
  let is_taken = gateway.take_retry(request.id(), &request.service, need);
  is_taken.then_some(RetryCharge::Own { taken_ms })
}
