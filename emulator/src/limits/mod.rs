//! Organisations' limits at their worst, replayed in virtual time against the gateway's own decisions: hundreds of boxes that
//! count, tell and ask, without a process, a socket or a wait.
//!
//! A [`LimitPattern`] says what goes wrong and when, a [`LimitFleet`] how many boxes and organisations there are;
//! [`replay_limits`] plays them with a seed and answers with [`LimitFigures`].

mod event;
mod figures;
mod fleet;
mod limit_box;
mod pattern;
mod replay;
mod report;

pub use self::{
  figures::LimitFigures,
  fleet::LimitFleet,
  pattern::LimitPattern,
  replay::replay_limits,
  report::{LimitReport, limit_report, print_limits},
};
