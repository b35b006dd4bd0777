//! The administration API, on its own listener with its own keys.

mod configuration;
mod desk;
mod duty;
mod problem;
mod router;

pub(crate) use self::{
  desk::Desk,
  duty::{AdminSetup, run},
};

pub use self::{
  configuration::{ConfigurationBody, HistoryBody, Revision},
  problem::ProblemBody,
};
