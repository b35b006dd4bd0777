//! Judges streams from raw bytes: parses what callers read off their sockets, and compares it byte by byte with what the runs of engines
//! made. It shares no code with the router or the soak. Not part of a release.

mod answer;
mod clause;
mod raw_recorder;
mod raw_records;
mod received_piece;
mod stream_judge;

pub use self::{
  clause::{Clause, Finding},
  raw_recorder::{RawConnectionRecorder, RawRecorder, RawRunRecorder},
  raw_records::{RawConnection, RawRecords, RawRequest, RawRun, ReadEnd},
};

use {
  self::{answer::answers, received_piece::MadePieces, stream_judge::StreamJudge},
  std::collections::BTreeMap,
};

/// Judges all streams of a run.
///
/// ```
/// use judge::{Clause, RawConnection, RawRecords, RawRequest, RawRun, ReadEnd, judge};
/// let piece = |number: u64| (number, format!("id: {number}\ndata: part {number}\n\n").into_bytes());
/// let run = RawRun {
///   incarnation: "i-1".into(),
///   last_event_id: None,
///   last_piece: 2,
///   pieces: vec![piece(1), piece(2)],
///   request: "a".into(),
///   version: "v1".into(),
/// };
/// let request = RawRequest {
///   id: "a".into(),
///   last_event_id: None,
///   may_resume: false,
///   stream: Some("a".into()),
/// };
/// let head = "HTTP/1.1 200 OK\r\nx-response-seal: i-1\r\ncontent-length: 20\r\n\r\n";
/// let connection = RawConnection {
///   bytes: [head.as_bytes(), &piece(1).1].concat(),
///   end: ReadEnd::Open,
///   requests: vec![0],
/// };
/// let records = RawRecords {
///   connections: vec![connection],
///   requests: vec![request],
///   runs: vec![run],
/// };
/// assert_eq!(judge(&records)[0].clause, Clause::EndsEarly);
/// ```
pub fn judge(records: &RawRecords) -> Vec<Finding> {
  let mut answers = answers(records);
  let mut findings = std::mem::take(&mut answers.findings);
  let mut streams: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
  for (index, request) in records.requests.iter().enumerate() {
    if let Some(stream) = &request.stream {
      streams.entry(stream).or_default().push(index);
    }
  }
  let made = MadePieces::of(&records.runs);
  for (stream, requests) in streams {
    let judge = StreamJudge::new(records, &answers, &made, stream, &requests);
    findings.extend(judge.findings(&requests));
  }
  findings
}
