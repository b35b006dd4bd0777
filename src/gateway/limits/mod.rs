//! Organisations' limits over all boxes: what boxes tell each other of use, and the admission of a request.
//!
//! Imports the folders up to `state`. What is decided stands in `decisions`: `use_book` for boxes that count, `use_ledger`
//! for the others.

mod admission;
mod figures;
mod messages;
mod telling;

pub(crate) use self::{
  admission::{Beyond, Charge, admit},
  figures::limit_figures,
  messages::{TOTALS_PATH, USE_PATH, answer_totals, answer_use},
  telling::keep_counts,
};
