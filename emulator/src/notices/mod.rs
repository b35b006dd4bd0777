//! Endpoints that say in their answers that they leave or want no work for a while, replayed in virtual time against the gateway's
//! own book of endpoints and budget for repeats: hundreds of boxes without a process, a socket or a wait.
//!
//! A [`NoticePattern`] says what endpoints do and when, a [`NoticeFleet`] how many boxes and endpoints there are, a [`NoticeWay`] what
//! boxes make of it; [`replay_notices`] plays them with a seed and answers with [`NoticeFigures`].

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
