//! The ingress filter: callers' requests become arrivals, and answers go back to their callers.

mod answer;
mod caller_guard;
mod completion_api;
mod completions;
mod desk;
mod outcome;
mod router;
mod services;

pub(crate) use self::desk::{Desk, IngressSetup, Phase, SharedPhase, run};
