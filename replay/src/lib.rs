//! Replays a day of a deployment, as its site file describes it, with real gateway processes on one machine: engines, plain services,
//! callers and the store are played, and what callers read is judged by the rules of streams. Not part of a release.

mod error;
mod name_draws;
mod operator;
mod recorder;
mod routes;
mod site;
mod store_faults;

pub use self::{
  error::{Error, Result},
  operator::Operator,
  recorder::{Recorder, RequestNote},
  routes::{RoutePlace, Routes},
  site::{
    Bounds, Closing, Configuration, Day, Discovery, Distribution, EngineModel, Impairment,
    Machines, Platform, RequestClass, RequestKind, Servers, Service, Shape, Site, StreamShape,
    Tolerate, Traffic, Zone,
  },
  store_faults::{BoxStores, play_store_fault},
};

/// Runs the command line.
pub fn run() -> std::process::ExitCode {
  std::process::ExitCode::SUCCESS
}
