//! Where an engine that runs on ends a stream early.

/// Where an engine that runs on ends a stream early whose end is that of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlyEnds {
  /// Within an event, which shows that the stream was cut.
  WithinEvents,
  /// Between two events, as a whole stream ends.
  BetweenEvents,
}
