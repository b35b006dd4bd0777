//! The decision bench: the real `decide` of several boxes, in virtual time, over small fakes of
//! engines, links and lagging reports.

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
