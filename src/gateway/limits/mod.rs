//! Organisations' limits over all boxes: what boxes tell each other of use, and the admission of a request.
//!
//! Imports the folders up to `state`. What is decided stands in `decisions`: `use_book` for boxes that count, `use_ledger`
//! for the others.

mod admission;
mod messages;
mod metrics;
mod reporting;

pub(crate) use self::{
  admission::{Charge, OverLimit, admit},
  messages::{TOTALS_PATH, USAGE_PATH, handle_totals, handle_usage},
  metrics::limit_metrics,
  reporting::sync_usage,
};
