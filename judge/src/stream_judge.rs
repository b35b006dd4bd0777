//! Judges one stream over all requests of its caller.

use {
  super::{
    answer::{Answer, AnswerEnd, Answers},
    clause::{Clause, Finding},
    raw_records::{RawRecords, RawRequest, RawRun},
    received_piece::{Content, MadePieces, ReceivedPiece},
  },
  std::collections::BTreeSet,
};

/// Judges one stream.
pub(super) struct StreamJudge<'a> {
  records: &'a RawRecords,
  answers: &'a Answers,
  stream: &'a str,
  made: &'a MadePieces<'a>,
  /// Runs of the stream's requests.
  runs: Vec<&'a RawRun>,
}

/// What the caller has received so far.
#[derive(Debug, Default)]
struct Received {
  numbers: BTreeSet<u64>,
  /// The highest of them.
  last: u64,
  versions: BTreeSet<String>,
  findings: Vec<Finding>,
}

impl Received {
  /// The caller asks for what comes after a piece, which may not be the last one that was read off its socket.
  fn go_on_after(&mut self, last_event_id: Option<u64>) {
    let last = last_event_id.unwrap_or_default();
    self.numbers.retain(|number| *number <= last);
    self.last = self.last.min(last);
  }
}

impl<'a> StreamJudge<'a> {
  pub(super) fn new(
    records: &'a RawRecords,
    answers: &'a Answers,
    made: &'a MadePieces<'a>,
    stream: &'a str,
    requests: &[usize],
  ) -> Self {
    let ids = requests.iter().map(|index| &records.requests[*index].id);
    let ids: BTreeSet<&String> = ids.collect();
    let runs = records.runs.iter();
    Self {
      answers,
      made,
      records,
      runs: runs.filter(|run| ids.contains(&run.request)).collect(),
      stream,
    }
  }

  pub(super) fn findings(&self, requests: &[usize]) -> Vec<Finding> {
    let mut received = Received::default();
    for index in requests {
      let request = &self.records.requests[*index];
      let Some(answer) = self.answers.of(*index) else {
        continue;
      };
      received.go_on_after(request.last_event_id);
      if answer.is_success() {
        self.judge_answer(request, answer, &mut received);
      }
    }
    if received.versions.len() > 1 {
      let observed = format!("events of {:?}", received.versions);
      received
        .findings
        .push(self.finding(Clause::TwoVersions, observed));
    }
    received.findings
  }

  fn finding(&self, clause: Clause, observed: String) -> Finding {
    Finding {
      clause,
      observed,
      stream: self.stream.into(),
    }
  }

  fn judge_answer(&self, request: &RawRequest, answer: &Answer, received: &mut Received) {
    let content = self.made.in_body(&answer.body);
    let mut found = Vec::new();
    found.extend(self.foreign_head(request, answer));
    found.extend(self.foreign_bytes(request, &content));
    found.extend(self.joined(request, &content));
    for piece in &content.pieces {
      found.extend(self.place(request, *piece, received));
    }
    found.extend(self.early_end(request, answer, &content, received));
    received.findings.extend(found);
  }

  /// A head without the receipt of one of the request's runs, or of another request.
  fn foreign_head(&self, request: &RawRequest, answer: &Answer) -> Option<Finding> {
    let seal = answer.header("x-response-seal");
    let mut runs = self.runs.iter();
    let is_own =
      runs.any(|run| run.request == request.id && Some(run.incarnation.as_str()) == seal);
    let id = answer.header("x-request-id");
    if is_own && id.is_none_or(|id| id == request.id) {
      return None;
    }
    let observed = format!("{} has receipt {seal:?}, id {id:?}", request.id);
    Some(self.finding(Clause::ForeignHead, observed))
  }

  fn foreign_bytes(&self, request: &RawRequest, content: &Content) -> Option<Finding> {
    let foreign = content.foreign.first()?;
    let foreign = String::from_utf8_lossy(foreign);
    let observed = format!("{} has {foreign:?}", request.id);
    Some(self.finding(Clause::ForeignBytes, observed))
  }

  /// Pieces of another request, of a run that has ended and goes on, of two runs of a kind that may not be resumed, or of a run that
  /// does not continue after the piece before it.
  fn joined(&self, request: &RawRequest, content: &Content) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut runs: Vec<usize> = Vec::new();
    for (at, piece) in content.pieces.iter().enumerate() {
      if runs.last() == Some(&piece.run) {
        continue;
      }
      let run = &self.records.runs[piece.run];
      let before = at.checked_sub(1).map(|at| content.pieces[at].number);
      let reason = if run.request != request.id {
        Some("a run of another request")
      } else if runs.contains(&piece.run) {
        Some("a run that another one had followed")
      } else if before.is_some() && !request.may_resume {
        Some("a second run")
      } else if before.is_some_and(|before| run.last_event_id.unwrap_or_default() > before) {
        Some("a run that was to continue later")
      } else {
        None
      };
      if let Some(reason) = reason {
        let observed = format!(
          "{} has piece {} after {before:?} of {reason}: {} for {} after {:?}",
          request.id, piece.number, run.incarnation, run.request, run.last_event_id
        );
        found.push(self.finding(Clause::Joined, observed));
      }
      runs.push(piece.run);
    }
    found
  }

  fn place(
    &self,
    request: &RawRequest,
    piece: ReceivedPiece,
    received: &mut Received,
  ) -> Vec<Finding> {
    let run = &self.records.runs[piece.run];
    received.versions.insert(run.version.clone());
    let ReceivedPiece { number, .. } = piece;
    let mut found = Vec::new();
    let id = &request.id;
    if !received.numbers.insert(number) {
      found.push(self.finding(Clause::Twice, format!("{id} has piece {number} again")));
    } else if number != received.last + 1 {
      let observed = format!("{id} has piece {number} after {}", received.last);
      found.push(self.finding(Clause::Absent, observed));
    }
    received.last = received.last.max(number);
    found
  }

  fn early_end(
    &self,
    request: &RawRequest,
    answer: &Answer,
    content: &Content,
    received: &Received,
  ) -> Option<Finding> {
    let ends_within_event = !content.tail.is_empty();
    let is_complete = match answer.end {
      AnswerEnd::Framed => true,
      // One that ends inside an event has been broken off.
      AnswerEnd::Connection => !ends_within_event,
      AnswerEnd::BrokenOff | AnswerEnd::Unread => false,
    };
    let last_piece = self.runs.iter().map(|run| run.last_piece).max();
    let is_whole = last_piece.is_some_and(|last| received.last >= last) && !ends_within_event;
    if !is_complete || is_whole {
      return None;
    }
    let observed = format!(
      "{} complete by {:?} after piece {} of {last_piece:?}, {} bytes of a further one",
      request.id,
      answer.end,
      received.last,
      content.tail.len()
    );
    Some(self.finding(Clause::EndsEarly, observed))
  }
}
