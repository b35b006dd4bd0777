//! What the judge finds.

use std::fmt;

/// A sentence of the rules that a stream breaks.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Clause {
  /// "A piece is absent from a stream."
  Absent,
  /// A piece "arrives twice".
  Twice,
  /// "Pieces from two runs are joined."
  Joined,
  /// "The stream ends as complete before its last piece."
  EndsEarly,
  /// "Streams hold events from servers of two software versions of one service, in one answer or over a client's tries."
  TwoVersions,
  /// "A client receives a success lacking the server's `X-Response-Seal`", or "any answer belonging to another request".
  ForeignHead,
  /// "A body other than the server's whole body": bytes that no run made.
  ForeignBytes,
  /// "A success on a channel where no request is waiting; or bytes that are no answer".
  NoAnswer,
}

/// A breach of a clause.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
  /// The clause.
  pub clause: Clause,
  /// The stream: the id of its first request.
  pub stream: String,
  /// What was observed.
  pub observed: String,
}

impl fmt::Display for Finding {
  fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
    let Self {
      clause,
      stream,
      observed,
    } = self;
    write!(formatter, "{clause:?}: {stream}: {observed}")
  }
}
