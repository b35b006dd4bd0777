//! Two rings in which a value of one may follow from a value of the other.
//!
//! A plain service turned a call away and wanted three seconds without any; the caller asked again a millisecond later and
//! reached it once more, now and then beside load. The pause came to the decide thread over the ring of answers, the next call over
//! that of callers; the rings were read in turn, and the call was read in the moment between the two. What settled it (a trace
//! of one of 23 runs beside ten busy loops, milliseconds of the clock):
//!
//! ```text
//! 1704 egress hears the pause
//! 1705 decide Arrived(request 5)
//! 1705 decide EndpointBackoff("north-portal-1", 3000)
//! 1705 egress sends request 5
//! ```

use {
  rillford::{
    CauseFirst,
    ring::{Waker, ring},
  },
  std::thread,
};

const SLOTS: usize = 16;
/// Enough that a reader of two rings in turn is caught between them.
const PAIRS: u64 = 200_000;

#[derive(Debug, PartialEq)]
enum Read {
  Answer(u64),
  NextCall(u64),
}

#[test]
fn call_is_never_read_before_the_answer_that_it_follows() {
  let waker = Waker::Thread(thread::current());
  let (answers, answers_read) = ring(SLOTS, waker.clone());
  let (calls, calls_read) = ring(SLOTS, waker);
  let mut both = CauseFirst::new(answers_read, calls_read);
  let writer = thread::spawn(move || {
    for number in 0..PAIRS {
      answers.send_blocking(Read::Answer(number));
      calls.send_blocking(Read::NextCall(number));
    }
  });
  let mut answers_until = 0;
  let mut calls_until = 0;
  while calls_until < PAIRS {
    match both.pop() {
      Some(Read::Answer(number)) => answers_until = number + 1,
      Some(Read::NextCall(number)) => {
        assert!(
          answers_until > number,
          "call {number} came before answer {number}"
        );
        calls_until = number + 1;
      }
      None => thread::yield_now(),
    }
  }
  writer.join().unwrap();
}

#[test]
fn calls_are_read_while_answers_keep_coming() {
  let waker = Waker::Thread(thread::current());
  let (answers, answers_read) = ring(SLOTS, waker.clone());
  let (calls, calls_read) = ring(SLOTS, waker);
  let mut both = CauseFirst::new(answers_read, calls_read);
  assert!(calls.push(Read::NextCall(0)).is_ok());
  for number in 0..4 {
    assert!(answers.push(Read::Answer(number)).is_ok());
  }
  let mut read = Vec::new();
  for number in 4..12 {
    read.extend(both.pop());
    assert!(answers.push(Read::Answer(number)).is_ok());
  }
  assert_eq!(read[4], Read::NextCall(0), "{read:?}");
}
