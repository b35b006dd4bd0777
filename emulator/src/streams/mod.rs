//! Simulation of streams that callers resume while two versions serve: boxes run the gateway's decision code in virtual time,
//! without processes or sockets.
//!
//! A [`StreamPattern`] sets which boxes fail, a [`StreamFleet`] their number and load, a [`StreamWay`] how a box learns where a
//! stream began. [`replay_streams`] runs them with a seed and returns [`StreamFigures`].

mod figures;
mod fleet;
mod pattern;
mod replay;
mod report;
mod way;

pub use self::{
  figures::StreamFigures,
  fleet::StreamFleet,
  pattern::StreamPattern,
  replay::replay_streams,
  report::{StreamReport, print_streams, stream_report},
  way::StreamWay,
};
