//! Simulation of the decision code: the `decide` machines of several boxes run in virtual time against simulated engines,
//! links and delayed load reports.

mod experiments;
mod figures;
mod plots;
mod runs;
mod schedule;
mod sim_engine;
mod sim_service;
mod variant;
mod workload;
mod world;

pub use self::{
  experiments::{Report, run_report},
  figures::Figures,
  variant::{Fault, Knowledge, Variant},
  workload::{Day, Site},
  world::simulate,
};
