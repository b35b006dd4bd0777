//! Simulation of boxes that are cut off from all endpoints and forward their requests: they run the gateway's decision code in
//! virtual time, without processes or sockets.
//!
//! A [`CutPattern`] sets which boxes are cut off, a [`ForwardingFleet`] their number and load, a [`ForwardingWay`] how a box finds
//! one that is not. [`replay_forwarding`] runs them with a seed and returns [`ForwardingFigures`].

mod figures;
mod fleet;
mod pattern;
mod replay;
mod report;
mod way;

pub use self::{
  figures::ForwardingFigures,
  fleet::ForwardingFleet,
  pattern::CutPattern,
  replay::replay_forwarding,
  report::{ForwardingReport, forwarding_report, print_forwarding},
  way::ForwardingWay,
};
