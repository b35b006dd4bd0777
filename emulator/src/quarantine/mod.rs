//! Requests that end engines, replayed in virtual time against the gateway's own book: hundreds of boxes, engines that end with all
//! that runs on them, and innocent streams beside, without a process, a socket or a wait.
//!
//! A [`CrashPattern`] says what goes wrong and when, a [`CrashFleet`] how many boxes and engines there are; [`replay_crashes`]
//! plays them with a seed and answers with [`CrashFigures`].

mod engine;
mod event;
mod figures;
mod fleet;
mod pattern;
mod replay;
mod report;
mod request;
mod words;

pub use self::{
  figures::CrashFigures,
  fleet::CrashFleet,
  pattern::CrashPattern,
  replay::replay_crashes,
  report::{CrashReport, crash_report, print_crashes},
};
