//! A randomized soak test: real gateway processes against simulated endpoints and a simulated store, with faults injected
//! from outside and promises checked against what callers and endpoints observed. Not part of a release.

mod box_process;
mod breach;
mod caller;
mod caller_connection;
mod caller_key;
mod cold_check;
mod configuration;
mod connection;
mod content;
mod cut_off_check;
mod cuts;
mod day;
mod day_plan;
mod departures;
mod differences;
mod disturbance;
mod draw;
mod early_ends;
mod endpoint;
mod endpoint_kind;
mod endpoint_state;
mod engine_call;
mod engine_event;
mod error;
mod event_stream;
mod exports;
mod fault;
mod fault_injector;
mod fleet;
mod framing;
mod garble;
mod garble_plan;
mod garbled_body;
mod hall;
mod hall_check;
mod limit_check;
mod notice_check;
mod options;
mod order_check;
mod organisation_check;
mod partition_plan;
mod place;
mod plan;
mod play;
mod probe_request;
mod profile;
mod promise;
mod promises;
mod recorded_stream;
mod recorder;
mod records;
mod reply;
mod request_check;
mod request_kind;
mod response_draws;
mod running_endpoint;
mod silence;
mod silence_check;
mod starts;
mod stray_response;
mod subcommand;
mod trouble;
mod trouble_plan;
mod undisturbed;
mod version_check;
mod versioning;
mod work;
mod work_check;
mod writer;

pub use self::{
  breach::Breach,
  caller_key::CallerKey,
  day::Day,
  differences::{Difference, differences},
  disturbance::{Disturbance, Target},
  draw::{ScheduledFault, Size},
  early_ends::EarlyEnds,
  endpoint_kind::EndpointKind,
  error::{Error, Result},
  fault::{
    CallerHabit, Close, EndpointFault, EngineEnd, Fault, Losses, SilentEngines, StoreFault, Strays,
  },
  framing::{Framing, Framings},
  garble::{Call, Garble, GarbledAnswer},
  hall::Hall,
  options::Options,
  plan::{FaultSelection, draw_plan},
  play::{Report, play, play_faults},
  profile::Profile,
  promise::Promise,
  promises::breaches,
  recorder::Recorder,
  records::{
    AdvertisedLimit, HallDrain, LeavingReceived, LimitReceived, Outcome, PlannedStop, Probe,
    Records, Rejection, RequestRecord, ResumedStream, RoleCommandRecord, Run, Start,
  },
  request_kind::RequestKind,
  running_endpoint::{serve_as, serve_garbled},
  starts::Starts,
  stray_response::Stray,
  subcommand::run,
  trouble::Trouble,
  work::{RequestContent, Work},
};
