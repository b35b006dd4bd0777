//! Which answers may end with their connection, by the framing of earlier ones of the same version. Free of I/O.

use {
  crate::{gateway::edge::SoftwareVersion, ids::Name},
  std::collections::HashMap,
};

/// Answers in a row that tell their end, after one that did not, until further ones are expected to tell it too.
const MIN_FRAMED: u32 = 64;
/// Kinds of answers that are remembered.
const MAX_KINDS: usize = 512;

/// Answers that are framed alike.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AnswerKind {
  /// The service of their endpoints.
  pub service: Name,
  /// The software version of their endpoints.
  pub version: SoftwareVersion,
  /// Whether they are streams.
  pub is_stream: bool,
}

/// The framing of the latest answers of each kind.
#[derive(Clone, Debug, Default)]
pub struct UnframedAnswers {
  /// The answers that told their end since the last one that did not.
  framed: HashMap<AnswerKind, u32>,
}

impl UnframedAnswers {
  /// Whether the next answer of a kind may end with its connection.
  pub fn may_come(&self, kind: &AnswerKind) -> bool {
    let framed = self.framed.get(kind);
    framed.is_none_or(|framed| *framed < MIN_FRAMED)
  }

  /// Records an answer; `is_framed` if its chunks or its length tell its end.
  pub fn record(&mut self, kind: &AnswerKind, is_framed: bool) {
    if let Some(framed) = self.framed.get_mut(kind) {
      *framed = if is_framed {
        framed.saturating_add(1)
      } else {
        0
      };
      return;
    }
    if self.framed.len() >= MAX_KINDS {
      self.framed.clear();
    }
    let framed = if is_framed { MIN_FRAMED } else { 0 };
    self.framed.insert(kind.clone(), framed);
  }
}
