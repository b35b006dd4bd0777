//! The administration API, on its own listener with its own keys.

mod configuration;
mod problem;
mod router;
mod state;
mod worker;

pub(crate) use self::{
  state::AdminState,
  worker::{AdminSetup, run},
};

pub use self::{
  configuration::{ConfigurationBody, HistoryBody, Revision},
  problem::ProblemBody,
};
