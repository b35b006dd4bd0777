//! Simulation of endpoints whose responses carry a notice that they leave or ask for a backoff: hundreds of boxes run the
//! gateway's endpoint registry and retry budget in virtual time, without processes or sockets.
//!
//! A [`NoticePattern`] sets what endpoints do, a [`NoticeFleet`] the number of boxes and endpoints, a [`NoticeWay`] the
//! strategy by which boxes apply notices. [`replay_notices`] runs them with a seed and returns [`NoticeFigures`].

mod endpoint;
mod event;
mod figures;
mod fleet;
mod pattern;
mod replay;
mod report;
mod way;

pub use self::{
  figures::NoticeFigures,
  fleet::NoticeFleet,
  pattern::NoticePattern,
  replay::replay_notices,
  report::{NoticeReport, notice_report, print_notices},
  way::NoticeWay,
};
