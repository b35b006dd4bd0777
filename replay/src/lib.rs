//! Replays a day of a deployment, as its site file describes it, with real gateway processes on one machine: engines, plain services,
//! callers and the store are played, and what callers read is judged by the rules of streams. Not part of a release.

mod box_process;
mod box_settings;
mod cpu_quota;
mod deploy_file;
mod drawn_day;
mod balancer;
mod caller;
mod error;
mod held_process;
mod host;
mod recorder;
mod settings_template;
mod server;
mod site;

pub use self::{
  box_process::{BoxPlan, BoxProcess},
  box_settings::{BoxAddresses, BoxPlace, box_values},
  cpu_quota::CpuQuota,
  deploy_file::DeployFile,
  drawn_day::drawn_day,
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
  host::{box_host, server_host},
  recorder::{Recorder, RequestNote},
  settings_template::SettingsTemplate,
  server::{
    ClassLookup, Condition, ConditionCell, ConditionGuard, Exports, GarbleKind, GreyKind, Server,
    ServerSpec, ServerWorld, Stage, StartNaming, sample, stream_events,
  },
  report::{Report, ReportTitle},
  routes::{RoutePlace, Routes},
  site::{
    Bounds, Chain, Closing, Configuration, Day, Discovery, Distribution, EngineModel, Impairment,
    Machines, Network, Platform, RequestClass, RequestKind, Servers, Service, Shape, Site,
    StreamShape, Timing, Tolerate, Traffic, Zone,
  },
};

/// Runs the command line.
pub fn run() -> std::process::ExitCode {
  std::process::ExitCode::SUCCESS
}
