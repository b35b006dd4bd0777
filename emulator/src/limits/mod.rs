//! Simulation of organisations' limits: hundreds of boxes run the gateway's decision code in virtual time, without processes
//! or sockets.
//!
//! A [`LimitPattern`] sets the load and the faults, a [`LimitFleet`] the number of boxes and organisations.
//! [`replay_limits`] runs them with a seed and returns [`LimitFigures`].

mod event;
mod figures;
mod fleet;
mod limit_box;
mod pattern;
mod replay;
mod report;
mod request_kind;

pub use self::{
  figures::LimitFigures,
  fleet::LimitFleet,
  pattern::LimitPattern,
  replay::{replay_fair_shares, replay_limits},
  report::{LimitReport, limit_report, print_limits},
  request_kind::{KindCounts, RequestKind},
};
