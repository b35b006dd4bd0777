//! Permits at endpoints that name a limit for all boxes together: a request is sent there only with one.
//!
//! Imports the folders up to `state`. What is decided stands in `decisions`: `limit_book` for what endpoints name, `permit_account`
//! for the box that counts, `permit_ledger` for the others, `endpoint_order` for which box that is.

mod acquisition;
mod announcement;
mod cold_span_message;
mod messages;
mod metrics;
mod relayed_limit;

pub(crate) use self::{
  acquisition::{Permit, PermitCaller, acquire_permit, return_permit},
  announcement::{LIMITS_PATH, announce_limit, handle_limit},
  messages::{PERMITS_PATH, handle_permits},
  metrics::permit_metrics,
};
