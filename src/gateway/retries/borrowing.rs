//! Borrows a retry of another box.

use {
  super::messages::{Loan, LoanMessage, ask_for_retry, send_back},
  crate::{
    gateway::{
      decisions::{LoanAnswer, RetryNeed},
      stages::RoutedRequest,
      state::Gateway,
    },
    ids::Name,
  },
  std::{fmt, net::SocketAddr, rc::Rc},
  tokio::{sync::oneshot, task::spawn_local},
};

/// A request with less time left is not held for a loan.
const MIN_REMAINING_MS: u64 = 500;

/// Why no box lends a retry.
#[derive(Clone, Copy, Debug)]
pub(super) enum NoLoan {
  /// The settings disable loans.
  Disabled,
  /// The request's deadline is near.
  NoTime,
  /// No box may be asked now.
  NobodyToAsk,
  /// So many boxes were asked, and none lent one.
  Refused(usize),
}

impl fmt::Display for NoLoan {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    match self {
      Self::Disabled => formatter.write_str("loans are disabled"),
      Self::NoTime => formatter.write_str("deadline is near"),
      Self::NobodyToAsk => formatter.write_str("no box to ask"),
      Self::Refused(boxes) => write!(formatter, "{boxes} boxes asked"),
    }
  }
}

/// A retry of another box, which counts it.
#[derive(Debug)]
pub(crate) struct BorrowedRetry {
  lender: SocketAddr,
  loan: Loan,
}

impl BorrowedRetry {
  /// Tells the lender that the retry was not sent. It stays used up if the message is lost.
  pub(super) fn give_back(self, gateway: &Rc<Gateway>, service: &Name) {
    gateway.counters.loans_returned.inc();
    spawn_local(send_back(
      gateway.box_client.clone(),
      self.lender,
      service.clone(),
      self.loan,
    ));
  }
}

/// Whether another box may have a retry of a service to lend.
pub(crate) fn may_borrow_retry(gateway: &Gateway, service: &Name) -> bool {
  let lenders = gateway.retry_lenders.borrow();
  gateway.settings.mechanisms.retry_loans
    && lenders.may_lend(service, &other_boxes(gateway), gateway.now_ms())
}

/// Borrows a retry for a request. One that arrives after the request was given up goes back.
pub(super) async fn borrow_retry(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  need: RetryNeed,
) -> Result<BorrowedRetry, NoLoan> {
  if !gateway.settings.mechanisms.retry_loans {
    return Err(NoLoan::Disabled);
  }
  let now_ms = gateway.now_ms();
  if request.remaining_ms(now_ms) < MIN_REMAINING_MS {
    return Err(NoLoan::NoTime);
  }
  let service = &request.service;
  let boxes = other_boxes(gateway);
  let round = gateway
    .retry_lenders
    .borrow_mut()
    .begin_round(service, &boxes, now_ms, || gateway.draw());
  let Some(asked) = round else {
    return Err(NoLoan::NobodyToAsk);
  };
  let asked_count = asked.len();
  let (sender, receiver) = oneshot::channel();
  let message = LoanMessage {
    service: service.clone(),
    need,
  };
  spawn_local(run_round(gateway.clone(), asked, message, sender));
  let borrowed = receiver.await.ok().flatten();
  let borrowed = borrowed.ok_or(NoLoan::Refused(asked_count))?;
  log::info!(
    "E611 retry borrowed: {} {service} from {}, after {} ms",
    request.id(),
    borrowed.lender,
    gateway.now_ms() - now_ms
  );
  Ok(borrowed)
}

/// Asks boxes in turn until one lends a retry.
async fn run_round(
  gateway: Rc<Gateway>,
  asked: Vec<SocketAddr>,
  message: LoanMessage,
  sender: oneshot::Sender<Option<BorrowedRetry>>,
) {
  let mut borrowed = None;
  for lender in asked {
    borrowed = ask(&gateway, lender, &message).await;
    if borrowed.is_some() || sender.is_closed() {
      break;
    }
  }
  let service = &message.service;
  let now_ms = gateway.now_ms();
  gateway
    .retry_lenders
    .borrow_mut()
    .end_round(service, borrowed.is_some(), now_ms);
  if let Err(Some(unwanted)) = sender.send(borrowed) {
    unwanted.give_back(&gateway, service);
  }
}

async fn ask(
  gateway: &Gateway,
  lender: SocketAddr,
  message: &LoanMessage,
) -> Option<BorrowedRetry> {
  let counters = &gateway.counters;
  counters.loans_asked.inc();
  let (answer, loan) = ask_for_retry(&gateway.box_client, lender, message).await;
  match answer {
    LoanAnswer::Granted => counters.loans_granted.inc(),
    LoanAnswer::Refused | LoanAnswer::Unanswered | LoanAnswer::Unsupported => {
      counters.loans_refused.inc();
    }
  }
  let now_ms = gateway.now_ms();
  gateway
    .retry_lenders
    .borrow_mut()
    .record_answer(&message.service, lender, answer, now_ms);
  loan.map(|loan| BorrowedRetry { lender, loan })
}

/// The addresses of the other boxes that are listed.
fn other_boxes(gateway: &Gateway) -> Vec<SocketAddr> {
  let boxes = gateway.boxes.borrow();
  let own_name = &gateway.settings.identity.name;
  let others = boxes.entries().filter(|(name, _)| *name != own_name);
  others.map(|(_, entry)| entry.address).collect()
}
