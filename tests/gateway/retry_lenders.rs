//! Which boxes are asked for a loan of a retry, and when that is pointless.

use {
  rillford::gateway::{LoanAnswer, RetryAllowance, RetryLenders, RetryNeed, RetryWindow},
  rillford::ids::Name,
  rstest::rstest,
  std::net::SocketAddr,
};

const MAX_ASKED: usize = 2;

fn boxes(count: u16) -> Vec<SocketAddr> {
  (0..count)
    .map(|number| SocketAddr::from(([127, 0, 0, 1], 7_000 + number)))
    .collect()
}

fn service() -> Name {
  "llm".into()
}

/// A round in which all boxes that are asked give an answer; returns which were asked.
fn ask_all(
  lenders: &mut RetryLenders,
  boxes: &[SocketAddr],
  answer: LoanAnswer,
  now_ms: u64,
) -> Vec<SocketAddr> {
  let Some(asked) = lenders.begin_round(&service(), boxes, now_ms, || 0.0) else {
    return Vec::new();
  };
  for address in &asked {
    lenders.record_answer(&service(), *address, answer, now_ms);
  }
  lenders.end_round(&service(), answer == LoanAnswer::Granted, now_ms);
  asked
}

/// Guards against a storm of messages while all boxes lack retries.
#[rstest]
#[case(6)]
#[case(985)]
#[case(1_970)]
fn boxes_that_lack_retries_ask_seldom(#[case] count: u16) {
  let boxes = boxes(count);
  let mut lenders = RetryLenders::default();
  let asked_from = |lenders: &mut RetryLenders, times: std::ops::Range<u64>| -> usize {
    let times = times.step_by(10);
    times
      .map(|now_ms| ask_all(lenders, &boxes, LoanAnswer::Refused, now_ms).len())
      .sum()
  };
  assert!(asked_from(&mut lenders, 0..4_000) <= 5 * MAX_ASKED);
  assert!(asked_from(&mut lenders, 4_000..24_000) <= 10 * MAX_ASKED);
}

/// Guards against a box that goes on being asked although it has nothing to lend, or does not answer.
#[rstest]
#[case::refused(LoanAnswer::Refused, 1_000)]
#[case::did_not_answer(LoanAnswer::Unanswered, 1_000)]
#[case::does_not_know_loans(LoanAnswer::Unsupported, 5_000)]
fn box_is_not_asked_again_at_once_that(#[case] answer: LoanAnswer, #[case] until_ms: u64) {
  let boxes = boxes(1);
  let mut lenders = RetryLenders::default();
  assert_eq!(ask_all(&mut lenders, &boxes, answer, 0), boxes);
  for now_ms in (0..until_ms).step_by(50) {
    assert!(ask_all(&mut lenders, &boxes, answer, now_ms).is_empty());
    assert!(!lenders.may_lend(&service(), &boxes, now_ms));
  }
  // A round that found nobody to ask is no round: it lengthens no pause.
  assert!(lenders.may_lend(&service(), &boxes, until_ms));
  assert_eq!(ask_all(&mut lenders, &boxes, answer, until_ms), boxes);
}

/// Guards against retries of one service that are denied since another service's were.
#[test]
fn refusals_count_for_their_service() {
  let boxes = boxes(2);
  let mut lenders = RetryLenders::default();
  ask_all(&mut lenders, &boxes, LoanAnswer::Refused, 0);
  assert!(!lenders.may_lend(&service(), &boxes, 0));
  assert!(lenders.may_lend(&"portal".into(), &boxes, 0));
}

/// Guards against a burst of denied retries that asks for more than can be lent.
#[test]
fn rounds_at_the_same_time_are_bounded() {
  let boxes = boxes(30);
  let mut lenders = RetryLenders::default();
  let begun = (0..100).filter(|_| lenders.begin_round(&service(), &boxes, 0, || 0.5).is_some());
  assert_eq!(begun.count(), 8);
  lenders.end_round(&service(), true, 0);
  assert!(lenders.may_lend(&service(), &boxes, 0));
}

/// Guards against loans after which a box has no retry for its own failed requests, and against loans for checks that failed
/// requests of the lender need.
#[rstest]
#[case::for_a_failed_request(RetryNeed::Required, 6)]
#[case::for_a_check(RetryNeed::Optional, 4)]
fn lender_keeps_retries(#[case] need: RetryNeed, #[case] lent: u32) {
  let allowance = RetryAllowance {
    ratio: 0.2,
    slack: 16.0,
    window_ms: 10_000,
  };
  let mut window = RetryWindow::default();
  let loans = (0..100).filter(|_| window.lend(allowance, 1, need, 20_000));
  assert_eq!(loans.count(), lent as usize);
  let own = (0..100).filter(|_| window.take(allowance, 1, 20_000));
  assert_eq!(own.count(), 8 - lent as usize);
}

/// Guards against loans of a box that may have used its share before it was restarted.
#[test]
fn first_window_after_a_start_has_no_loans() {
  let allowance = RetryAllowance {
    ratio: 0.2,
    slack: 1_000.0,
    window_ms: 10_000,
  };
  let mut window = RetryWindow::default();
  assert!(!window.lend(allowance, 1, RetryNeed::Required, 9_999));
  assert!(window.lend(allowance, 1, RetryNeed::Required, 10_000));
}
