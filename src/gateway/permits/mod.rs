//! Permits at endpoints that name a limit for all boxes together: a request is sent there only with one.
//!
//! Imports the folders up to `state`. What is decided stands in `decisions`: `limit_book` for what endpoints name, `permit_account`
//! for the box that counts, `permit_ledger` for the others, `coordinator_order` for which box that is.

mod cold_span_message;
mod figures;
mod messages;
mod taking;
mod telling;
mod told_limit;

pub(crate) use self::{
  figures::permit_figures,
  messages::{PERMITS_PATH, answer_permits},
  taking::{Permit, PermitCaller, return_permit, take_permit},
  telling::{LIMITS_PATH, answer_limit, tell_limit},
};
