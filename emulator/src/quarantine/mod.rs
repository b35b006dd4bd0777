//! Simulation of requests that crash engines: hundreds of boxes run the gateway's quarantine registry in virtual time,
//! without processes or sockets. An engine that crashes also loses the streams of innocent requests.
//!
//! A [`CrashPattern`] sets the load and the faults, a [`CrashFleet`] the number of boxes and engines. [`replay_crashes`]
//! runs them with a seed and returns [`CrashFigures`].

mod announcements;
mod engine;
mod event;
mod figures;
mod fleet;
mod pattern;
mod replay;
mod report;
mod request;
mod way;

pub use self::{
  figures::CrashFigures,
  fleet::CrashFleet,
  pattern::CrashPattern,
  replay::replay_crashes,
  report::{CrashReport, crash_report, print_crashes},
  way::CrashWay,
};
