//! Replays a day of a deployment, as its site file describes it, with real gateway processes on one machine: engines, plain services,
//! callers and the store are played, and what callers read is judged by the rules of streams. Not part of a release.

mod balancer;
mod caller;
mod error;
mod recorder;
mod report;
mod routes;
mod site;

pub use self::{
  balancer::{Balancer, BoxTarget},
  caller::{
    AnswerHead, AnswerProgress, AnswerReader, CallerPlan, ClassOutcome, Habit, HabitGuard, Habits,
    Outcome, run_callers,
  },
  error::{Error, Result},
  recorder::{Recorder, RequestNote},
  report::{Report, ReportTitle},
  routes::{RoutePlace, Routes},
  site::{
    Bounds, Closing, Configuration, Day, Discovery, Distribution, EngineModel, Impairment,
    Machines, Platform, RequestClass, RequestKind, Servers, Service, Shape, Site, StreamShape,
    Tolerate, Traffic, Zone,
  },
};

/// Runs the command line.
pub fn run() -> std::process::ExitCode {
  std::process::ExitCode::SUCCESS
}
