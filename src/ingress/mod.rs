//! The ingress worker: accepts callers' requests, hands them to `decide`, and returns responses.

mod caller_guard;
mod caller_headers;
mod completion_api;
mod completions;
mod outcome;
mod response;
mod router;
mod services;
mod state;
mod worker;

pub(crate) use self::{
  state::{IngressState, Phase, SharedPhase},
  worker::{IngressSetup, run},
};
