//! Load at its worst, replayed in virtual time against the gateway's own decisions: arrivals, seats and losses over hundreds
//! of boxes and engines, without a process, a socket or a wait.
//!
//! A [`Pattern`] says what goes wrong and when; a [`Variant`] says which decisions are in use; [`replay`] plays both with a
//! seed and answers with [`Figures`].

mod figures;
mod pattern;
mod replay;
mod report;
mod variant;

pub use self::{
  figures::Figures,
  pattern::{EngineState, Pattern},
  replay::replay,
  report::{LoadReport, load_report, print_report},
  variant::Variant,
};
