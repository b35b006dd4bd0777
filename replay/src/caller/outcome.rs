//! What came of the requests of a replay.

use std::{collections::BTreeMap, fmt, sync::Arc};

/// What came of the requests of a kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClassOutcome {
  /// Requests, each of one or more tries.
  pub requests: u64,
  /// Tries that were sent.
  pub tries: u64,
  /// Requests that were answered whole with a success.
  pub served: u64,
  /// Streams of which an event came.
  pub begun: u64,
  /// Streams that were taken up again.
  pub resumed: u64,
  /// Of these, those that brought a further event or their end.
  pub gone_on: u64,
}

impl ClassOutcome {
  pub(super) fn add(&mut self, other: &Self) {
    self.requests += other.requests;
    self.tries += other.tries;
    self.served += other.served;
    self.begun += other.begun;
    self.resumed += other.resumed;
    self.gone_on += other.gone_on;
  }
}

impl fmt::Display for ClassOutcome {
  fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
    let Self {
      requests,
      tries,
      served,
      begun,
      resumed,
      gone_on,
    } = self;
    write!(
      formatter,
      "{requests} sent in {tries} tries, {begun} begun, {served} complete, {resumed} resumed, {gone_on} gone on"
    )
  }
}

/// What came of the requests of a replay.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
  /// Of each kind of request.
  pub classes: BTreeMap<Arc<str>, ClassOutcome>,
  /// The kinds of requests that are answered by a stream.
  pub stream_classes: Vec<Arc<str>>,
}

impl Outcome {
  /// The sum over all kinds that are answered by a stream.
  pub fn streams(&self) -> ClassOutcome {
    let mut sum = ClassOutcome::default();
    for class in &self.stream_classes {
      if let Some(outcome) = self.classes.get(class) {
        sum.add(outcome);
      }
    }
    sum
  }

  /// The sum over all kinds.
  pub fn all(&self) -> ClassOutcome {
    let mut sum = ClassOutcome::default();
    for outcome in self.classes.values() {
      sum.add(outcome);
    }
    sum
  }
}
