//! Which boxes are asked for a retry when this box's share of the retry budget is spent. Free of I/O.

use {
  crate::ids::Name,
  std::{collections::HashMap, net::SocketAddr},
};

/// Boxes that are asked for a retry, one after the other.
const MAX_ASKED: usize = 2;
/// Rounds of questions at the same time.
const MAX_ROUNDS: usize = 8;
/// How long a box is not asked again after an answer without a loan. A share that is spent recovers within the budget's window.
const REFUSED_MS: u64 = 1_000;
const UNANSWERED_MS: u64 = 1_000;
/// The same for a box of an older build: a release takes minutes, and a restarted box is noticed within seconds.
const UNSUPPORTED_MS: u64 = 5_000;
/// The pause after a round without a loan. It doubles with each further one: all boxes may lack retries at once.
const FIRST_PAUSE_MS: u64 = 250;
const LONGEST_PAUSE_MS: u64 = 2_000;

/// A box's answer to a request for a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoanAnswer {
  Granted,
  /// It has no retry to spare.
  Refused,
  /// It did not answer in time.
  Unanswered,
  /// It does not know loans.
  Unsupported,
}

/// A pause of the questions for one service.
#[derive(Clone, Copy, Debug)]
struct Pause {
  until_ms: u64,
  length_ms: u64,
}

/// The boxes that may lend a retry, as far as their answers show.
///
/// ```
/// use rillford::gateway::{LoanAnswer, RetryLenders};
/// let boxes = [([127, 0, 0, 1], 7_001).into()];
/// let mut lenders = RetryLenders::default();
/// let asked = lenders.begin_round(&"llm".into(), &boxes, 0, || 0.5).unwrap();
/// assert_eq!(asked, boxes);
/// lenders.record_answer(&"llm".into(), asked[0], LoanAnswer::Refused, 5);
/// lenders.end_round(&"llm".into(), false, 5);
/// assert!(!lenders.may_lend(&"llm".into(), &boxes, 500));
/// assert!(lenders.may_lend(&"llm".into(), &boxes, 1_005));
/// ```
#[derive(Debug, Default)]
pub struct RetryLenders {
  /// Rounds that have begun and not ended.
  rounds: usize,
  pauses: HashMap<Name, Pause>,
  /// When boxes may be asked again that had no retry of a service to spare.
  refused_until_ms: HashMap<(Name, SocketAddr), u64>,
  /// When boxes may be asked again that did not answer, or do not know loans.
  avoided_until_ms: HashMap<SocketAddr, u64>,
}

impl RetryLenders {
  /// Whether one of some boxes may be asked now.
  pub fn may_lend(&self, service: &Name, boxes: &[SocketAddr], now_ms: u64) -> bool {
    let may_be_asked = |address: &SocketAddr| self.may_be_asked(service, *address, now_ms);
    self.may_begin(service, now_ms) && boxes.iter().any(may_be_asked)
  }

  /// Begins a round: the boxes to ask, drawn from `boxes` by numbers in `[0, 1)`. `None` when asking is pointless.
  pub fn begin_round(
    &mut self,
    service: &Name,
    boxes: &[SocketAddr],
    now_ms: u64,
    mut draw: impl FnMut() -> f64,
  ) -> Option<Vec<SocketAddr>> {
    if !self.may_begin(service, now_ms) {
      return None;
    }
    let boxes = boxes.iter().copied();
    let mut left: Vec<_> = boxes
      .filter(|address| self.may_be_asked(service, *address, now_ms))
      .collect();
    if left.is_empty() {
      return None;
    }
    self.rounds += 1;
    let count = left.len().min(MAX_ASKED);
    let drawn = (0..count).map(|_| left.swap_remove((draw() * left.len() as f64) as usize));
    Some(drawn.collect())
  }

  /// Records the answer of a box that was asked.
  pub fn record_answer(
    &mut self,
    service: &Name,
    address: SocketAddr,
    answer: LoanAnswer,
    now_ms: u64,
  ) {
    self
      .refused_until_ms
      .retain(|_, until_ms| now_ms < *until_ms);
    self
      .avoided_until_ms
      .retain(|_, until_ms| now_ms < *until_ms);
    let avoided_ms = match answer {
      LoanAnswer::Granted => return,
      LoanAnswer::Refused => {
        let key = (service.clone(), address);
        self.refused_until_ms.insert(key, now_ms + REFUSED_MS);
        return;
      }
      LoanAnswer::Unanswered => UNANSWERED_MS,
      LoanAnswer::Unsupported => UNSUPPORTED_MS,
    };
    self.avoided_until_ms.insert(address, now_ms + avoided_ms);
  }

  /// Ends a round.
  pub fn end_round(&mut self, service: &Name, is_granted: bool, now_ms: u64) {
    self.rounds -= 1;
    if is_granted {
      self.pauses.remove(service);
      return;
    }
    let last = self.pauses.get(service);
    // Rounds that ran at the same time count once.
    if last.is_some_and(|pause| now_ms < pause.until_ms) {
      return;
    }
    let length_ms = last.map_or(FIRST_PAUSE_MS, |pause| {
      (2 * pause.length_ms).min(LONGEST_PAUSE_MS)
    });
    let pause = Pause {
      until_ms: now_ms + length_ms,
      length_ms,
    };
    self.pauses.insert(service.clone(), pause);
  }

  fn may_begin(&self, service: &Name, now_ms: u64) -> bool {
    let pause = self.pauses.get(service);
    self.rounds < MAX_ROUNDS && pause.is_none_or(|pause| now_ms >= pause.until_ms)
  }

  fn may_be_asked(&self, service: &Name, address: SocketAddr, now_ms: u64) -> bool {
    let refused = self.refused_until_ms.get(&(service.clone(), address));
    let avoided = self.avoided_until_ms.get(&address);
    let is_over = |until_ms: Option<&u64>| until_ms.is_none_or(|until_ms| now_ms >= *until_ms);
    is_over(refused) && is_over(avoided)
  }
}
