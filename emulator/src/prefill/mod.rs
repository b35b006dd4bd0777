//! Simulation of prefill engines that hundreds of boxes share: the boxes choose engines with the gateway's own decision code in
//! virtual time, without processes or sockets.
//!
//! A [`PrefillPattern`] sets the load and the faults, a [`PrefillStrategy`] how boxes choose an engine. [`replay_prefills`]
//! runs them with a number of boxes and a seed, and returns [`PrefillFigures`].

mod engine;
mod figures;
mod fleet;
mod pattern;
mod places;
mod replay;
mod report;
mod state;
mod strategy;

pub use self::{
  figures::PrefillFigures,
  pattern::PrefillPattern,
  replay::replay_prefills,
  report::{PrefillReport, prefill_report, print_prefills},
  strategy::PrefillStrategy,
};
