//! Which process an endpoint's entry describes. One that restarts under its id may have another version, and its entry lags.

mod connection_state;
mod endpoint_processes;
mod observed_process;
mod reported_start;
mod version_evidence;

pub use self::{
  connection_state::ConnectionState,
  endpoint_processes::{EndpointProcesses, VIEW_DELAY_MS},
  observed_process::ObservedProcess,
  reported_start::ReportedStart,
  version_evidence::VersionEvidence,
};
