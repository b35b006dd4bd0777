//! What the judge reads: bytes that engines made, and bytes that callers read.

use std::fmt;

/// A run of a stream at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawRun {
  /// The engine, as in its `X-Response-Seal`.
  pub incarnation: String,
  /// The `Last-Event-Id` that the engine was given.
  pub last_event_id: Option<u64>,
  /// Number of the stream's last piece.
  pub last_piece: u64,
  /// The pieces that it made, by number.
  pub pieces: Vec<(u64, Vec<u8>)>,
  /// The `X-Request-Id` that the engine was given.
  pub request: String,
  /// Version of the engine's software.
  pub version: String,
}

/// A request of a caller. Requests are recorded in the order in which they were sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawRequest {
  /// Its `X-Request-Id`.
  pub id: String,
  /// Its `Last-Event-Id`.
  pub last_event_id: Option<u64>,
  /// Whether its kind may be resumed.
  pub may_resume: bool,
  /// The id of the stream's first request; `None` if it is not for a stream.
  pub stream: Option<String>,
}

/// How a caller's connection ended for its reader.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReadEnd {
  /// The caller stopped reading first.
  #[default]
  Open,
  /// The box closed it.
  Closed,
  /// It was reset.
  Reset,
}

/// A connection of a caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RawConnection {
  /// All bytes that were read.
  pub bytes: Vec<u8>,
  /// How it ended.
  pub end: ReadEnd,
  /// Requests that were written to it, in order, as indices into those of the records.
  pub requests: Vec<usize>,
}

/// What engines made and callers read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RawRecords {
  /// Connections of callers.
  pub connections: Vec<RawConnection>,
  /// Requests of callers, in the order in which they were sent.
  pub requests: Vec<RawRequest>,
  /// Runs of engines, in the order of their start.
  pub runs: Vec<RawRun>,
}

impl fmt::Display for RawRecords {
  fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
    for run in &self.runs {
      let RawRun {
        incarnation,
        last_event_id,
        last_piece,
        pieces,
        request,
        version,
      } = run;
      let made = pieces.len();
      writeln!(
        formatter,
        "run of {request} at {incarnation} version {version} after {last_event_id:?} to {last_piece}, {made} pieces made"
      )?;
    }
    for connection in &self.connections {
      let requests = connection.requests.iter();
      let requests: Vec<&RawRequest> = requests.map(|index| &self.requests[*index]).collect();
      let read = String::from_utf8_lossy(&connection.bytes);
      writeln!(formatter, "{requests:?}\n{read:?}\n{:?}", connection.end)?;
    }
    Ok(())
  }
}
