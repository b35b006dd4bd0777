//! Replays a day of a deployment, as its site file describes it, with real gateway processes on one machine: engines, plain services,
//! callers and the store are played, and what callers read is judged by the rules of streams. Not part of a release.

mod added_impairments;
mod balancer;
mod box_process;
mod box_quota;
mod box_settings;
mod box_stores;
mod caller;
mod closing_kind;
mod connection_resets;
mod cpu_quota;
mod deploy_file;
mod drawn_day;
mod error;
mod held_process;
mod host;
mod impairment_kind;
mod injector;
mod late_links;
mod name_draws;
mod operator;
mod play;
mod recorder;
mod report;
mod reused_addresses;
mod routes;
mod selection;
mod server;
mod server_cut;
mod server_place;
mod server_versions;
mod settings_template;
mod site;
mod standstill;
mod store_faults;
mod store_view;
mod subcommand;
mod world;

pub use self::{
  added_impairments::add_impairments,
  balancer::{Balancer, BoxTarget},
  box_process::{BoxPlan, BoxProcess},
  box_quota::SlowdownGuard,
  box_settings::{BoxAddresses, BoxPlace, box_values},
  box_stores::BoxStores,
  caller::{
    AnswerHead, AnswerProgress, AnswerReader, CallerPlan, ClassOutcome, Habit, HabitGuard, Habits,
    Outcome, run_callers,
  },
  closing_kind::ClosingKind,
  cpu_quota::CpuQuota,
  deploy_file::DeployFile,
  drawn_day::{drawn_day, undrawn_kinds},
  error::{Error, Result},
  host::{box_host, server_host},
  impairment_kind::ImpairmentKind,
  operator::Operator,
  play::{PlayOptions, play, unplayable_kinds},
  recorder::{Recorder, RequestNote},
  report::{Report, ReportTitle},
  routes::{RoutePlace, Routes},
  server::{
    ClassLookup, Condition, ConditionCell, ConditionGuard, Exports, GarbleKind, GreyKind, Server,
    ServerSpec, ServerWorld, Stage, StartNaming, sample, stream_events,
  },
  server_versions::{ServedVersions, ServerVersions, SoftwareVersion},
  settings_template::SettingsTemplate,
  site::{
    Bounds, Chain, Closing, Configuration, Day, Discovery, Distribution, EngineModel, Impairment,
    Machines, Network, Platform, RequestClass, RequestKind, Servers, Service, Shape, Site,
    StreamShape, Timing, Tolerate, Traffic, Zone,
  },
  standstill::stand_still,
  store_faults::{StoreFaultPlay, play_store_fault, struck_boxes},
  subcommand::run,
};
