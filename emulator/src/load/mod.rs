//! Simulation of overload and failures: hundreds of boxes run the gateway's endpoint registry in virtual time against
//! engines with batch slots, without processes or sockets.
//!
//! A [`Pattern`] sets the load and the faults, a [`Variant`] the decisions that boxes use. [`replay`] runs them with a seed
//! and returns [`Figures`].

mod figures;
mod pattern;
mod replay;
mod report;
mod returns;
mod variant;

pub use self::{
  figures::Figures,
  pattern::{EngineState, Pattern},
  replay::replay,
  report::{LoadReport, load_report, print_report},
  returns::{ReturnFigures, ReturnPattern, ReturnVariant, replay_returns},
  variant::Variant,
};
