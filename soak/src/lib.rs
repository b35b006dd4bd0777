//! A randomized soak: real gateway processes, stand-ins that speak the platform's published protocol, faults
//! from outside, and the users' promises checked against what callers and endpoints saw. Never shipped.

mod box_process;
mod breach;
mod caller;
mod caller_key;
mod calm;
mod cold_check;
mod conductor;
mod configuration;
mod content;
mod disturbance;
mod endpoint;
mod endpoint_state;
mod engine_news;
mod error;
mod event_stream;
mod exports;
mod fault;
mod fleet;
mod hall;
mod hall_check;
mod ledger;
mod limit_check;
mod link;
mod notice_check;
mod organisation_check;
mod part;
mod place;
mod plan;
mod play;
mod promise;
mod promises;
mod question;
mod records;
mod reply;
mod request_check;
mod request_kind;
mod serving;
mod subcommand;

pub use self::{
  breach::Breach,
  caller_key::CallerKey,
  disturbance::{Disturbance, Target},
  error::{Error, Result},
  fault::{EndpointFault, Fault, LinkFault, StoreFault},
  hall::Hall,
  ledger::Ledger,
  plan::{Size, Step, draw_plan},
  play::{Options, Report, play},
  promise::Promise,
  promises::breaches,
  records::{
    HallDrain, NamedLimit, OrderRecord, Outcome, PlannedStop, Probe, Records, RequestRecord, Run,
    Start, ToldLeaving, ToldLimit, TurnedAway,
  },
  request_kind::RequestKind,
  subcommand::run,
};
