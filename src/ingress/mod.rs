//! The ingress filter: callers' requests become arrivals, and answers go back to their callers.

mod answer;
mod caller_guard;
mod caller_headers;
mod completion_api;
mod completions;
mod desk;
mod duty;
mod outcome;
mod router;
mod services;

pub(crate) use self::{
  desk::{Desk, Phase, SharedPhase},
  duty::{IngressSetup, run},
};
