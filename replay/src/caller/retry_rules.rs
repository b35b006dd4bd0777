//! What a caller does after a try.

use {
  super::attempt::{AttemptEnd, Received},
  crate::site::{RequestClass, RequestKind},
};

/// Statuses that promise that the request has not run and will not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Statuses after which there is no further try.
const FINAL: [u16; 5] = [400, 401, 404, 413, 431];

/// What a caller does after a try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NextStep {
  /// It stops.
  Stop,
  /// It sends the request anew.
  TryAgain,
  /// It takes up its stream.
  Resume,
}

/// What a caller does after a try of a request. `has_begun` tells whether an event of its stream has come in any try.
pub(super) fn next_step(class: &RequestClass, received: &Received, has_begun: bool) -> NextStep {
  let may_repeat = class.kind == RequestKind::Safe || class.may_resume();
  let again = if has_begun {
    NextStep::Resume
  } else {
    NextStep::TryAgain
  };
  let is_promise = received
    .status()
    .is_some_and(|status| PROMISES.contains(&status));
  let is_final = received
    .status()
    .is_some_and(|status| FINAL.contains(&status));
  match received.end {
    AttemptEnd::Left => NextStep::Stop,
    AttemptEnd::Gap if !has_begun => NextStep::Stop,
    AttemptEnd::NoChannel => again,
    AttemptEnd::Whole if received.is_success() || is_final => NextStep::Stop,
    AttemptEnd::Whole
    | AttemptEnd::BrokenOff
    | AttemptEnd::Invalid
    | AttemptEnd::Gap
    | AttemptEnd::Unread => {
      if may_repeat || is_promise {
        again
      } else {
        NextStep::Stop
      }
    }
  }
}
