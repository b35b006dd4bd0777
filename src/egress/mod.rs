//! The egress worker: turns commands from `decide` into calls to endpoints and streams responses to ingress.

mod active_request;
mod chunk_stream;
mod context;
mod endpoint_client;
mod joiner;
mod latency_recorder;
mod response_reader;
mod service_call;
mod worker;

pub(crate) use self::{
  service_call::end_to_end_headers,
  worker::{EgressInput, EgressSetup, run},
};

pub use self::joiner::{Joined, Joiner};
