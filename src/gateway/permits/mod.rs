//! Permits for endpoints that advertise a rate limit over all boxes: a request is sent to such an endpoint only with a permit. One box
//! per endpoint, its coordinator, grants the permits of all boxes.
//!
//! Imports the folders up to `state`. The decisions are in `decisions`: `advertised_limits`, `permit_account` for the coordinator of an
//! endpoint, `local_permits` for all other boxes, `coordinator_order` for the choice of the coordinator.

mod acquisition;
mod announcement;
mod cold_period_message;
mod messages;
mod metrics;
mod relayed_limit;

pub(crate) use self::{
  acquisition::{Permit, PermitCaller, acquire_permit, return_permit},
  announcement::{LIMITS_PATH, announce_limit, handle_limit},
  messages::{PERMITS_PATH, handle_permits},
  metrics::permit_metrics,
};
