//! A request must not be read before an endpoint report that preceded it: the backoff in the report would be missed.

use {
  rillford::{
    CausalMerge,
    ring::{Waker, ring},
  },
  std::thread,
};

const SLOTS: usize = 16;
/// Enough that popping the rings in turn fails.
const PAIRS: u64 = 200_000;

#[derive(Debug, PartialEq)]
enum Popped {
  Report(u64),
  Request(u64),
}

#[test]
fn request_is_never_read_before_the_report_that_it_follows() {
  let waker = Waker::Thread(thread::current());
  let (reports, report_receiver) = ring(SLOTS, waker.clone());
  let (requests, request_receiver) = ring(SLOTS, waker);
  let mut merge = CausalMerge::new(report_receiver, request_receiver);
  let writer = thread::spawn(move || {
    for number in 0..PAIRS {
      reports.send_blocking(Popped::Report(number));
      requests.send_blocking(Popped::Request(number));
    }
  });
  let mut reports_until = 0;
  let mut requests_until = 0;
  while requests_until < PAIRS {
    match merge.pop() {
      Some(Popped::Report(number)) => reports_until = number + 1,
      Some(Popped::Request(number)) => {
        assert!(
          reports_until > number,
          "request {number} came before report {number}"
        );
        requests_until = number + 1;
      }
      None => thread::yield_now(),
    }
  }
  writer.join().unwrap();
}

#[test]
fn requests_are_read_while_reports_keep_coming() {
  let waker = Waker::Thread(thread::current());
  let (reports, report_receiver) = ring(SLOTS, waker.clone());
  let (requests, request_receiver) = ring(SLOTS, waker);
  let mut merge = CausalMerge::new(report_receiver, request_receiver);
  assert!(requests.push(Popped::Request(0)).is_ok());
  for number in 0..4 {
    assert!(reports.push(Popped::Report(number)).is_ok());
  }
  let mut popped = Vec::new();
  for number in 4..12 {
    popped.extend(merge.pop());
    assert!(reports.push(Popped::Report(number)).is_ok());
  }
  assert_eq!(popped[4], Popped::Request(0), "{popped:?}");
}
