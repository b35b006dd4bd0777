//! Events of the limits simulation.

use rillford::{
  gateway::{BandDemand, RequestedUnits, UsageTotals},
  ids::Name,
};

pub(super) enum Event {
  /// A request of an organisation arrives.
  RequestArrives { organisation: usize },
  /// The periodic usage sync of a box: a coordinator announces its totals, other boxes report to a coordinator.
  SyncUsage { from: usize },
  /// A coordinator receives another's totals.
  TotalsReceived { at: usize, totals: UsageTotals },
  /// A coordinator receives a usage report.
  ReportReceived {
    at: usize,
    from: usize,
    used: Vec<(Name, i64)>,
    requested: RequestedUnits,
  },
  /// A coordinator receives another's demand.
  DemandReceived {
    at: usize,
    from: Name,
    demand: Vec<(Name, BandDemand)>,
  },
  /// A box receives the response to its report: the organisations near their limits, with their remaining units.
  NearLimitReceived { at: usize, near: Vec<(Name, f64)> },
  /// All boxes restart.
  BoxesRestart,
  /// The limits of the pattern are applied again.
  LimitsChange,
}
