//! The decisions about a stream's answers: which of their ends count, and how the ids of their events rise.

mod answer_end;
mod check_denial;
mod checked_ends;
mod id_steps;

pub use self::{
  answer_end::{AnswerEnd, EndEvidence, EndVerdict},
  check_denial::CheckDenial,
  checked_ends::{CheckedEnds, EarlyEnds},
  id_steps::{IdSteps, Numbering, StreamIds, VersionIdSteps},
};
