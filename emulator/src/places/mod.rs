//! Simulation of an endpoint that advertises a rate limit for all boxes together: hundreds of boxes run the gateway's
//! decision code in virtual time, without processes or sockets. A place is a permit to send one request to the endpoint.
//!
//! A [`PlacePattern`] sets the faults, a [`PlaceFleet`] the number of boxes, the limit and the load, a [`PlaceWay`] the
//! strategy by which boxes enforce the limit. [`replay_places`] runs them with a seed and returns [`PlaceFigures`].

mod event;
mod figures;
mod fleet;
mod pattern;
mod place_box;
mod replay;
mod report;
mod way;

pub use self::{
  figures::PlaceFigures,
  fleet::PlaceFleet,
  pattern::PlacePattern,
  replay::replay_places,
  report::{PlaceReport, place_report, print_places},
  way::PlaceWay,
};
