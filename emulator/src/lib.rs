//! Stand-ins for the systems that rillford talks to, a test caller, and experiments. Not part of a release.

pub mod bound;
mod box_list;
mod caller;
pub mod decisions;
mod demo;
mod deployment;
mod engine;
pub mod experiment;
mod failures;
pub mod forwarding;
mod host;
mod key_value;
mod keys;
pub mod limits;
pub mod load;
pub mod log_summary;
pub mod notices;
mod own_addresses;
mod path_bench;
pub mod places;
pub mod prefill;
pub mod quarantine;
mod queue;
pub mod regress;
mod relay;
mod service;
mod slopes;
pub mod streams;
mod subcommand;

pub use self::{
  box_list::{BoxListStandIn, ShownList},
  caller::{Ask, Caller, Stream, Told, eventually},
  deployment::{
    ADMIN_KEY, BoxProcess, CALLER_KEY, Deployment, Endpoint, EndpointPlan, HallPlan, ORGANISATION,
    Plan,
  },
  engine::{EngineFaults, EngineOptions, EngineStandIn, EngineTally, answer_text, token_text},
  host::Host,
  key_value::{DoorFaults, KeyValueFaults, KeyValueStandIn},
  keys::Authority,
  own_addresses::own_addresses,
  relay::Relay,
  service::{Echo, ServiceFaults, ServiceStandIn},
  subcommand::run,
};
