//! An endpoint that names a limit for all boxes together, replayed in virtual time against the gateway's own decisions: hundreds of
//! boxes without a process, a socket or a wait.
//!
//! A [`PlacePattern`] says what happens and when, a [`PlaceFleet`] how many boxes there are, which limit is named and how many
//! requests come, a [`PlaceWay`] what boxes make of it; [`replay_places`] plays them with a seed and answers with [`PlaceFigures`].

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
