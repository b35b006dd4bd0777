//! The options of a run.

use {
  super::{
    draw::Size, early_ends::EarlyEnds, framing::Framings, plan::FaultSelection, profile::Profile,
  },
  std::path::PathBuf,
};

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
  /// Path of the gateway program.
  pub program: PathBuf,
  /// Seed of the faults and the callers' choices.
  pub seed: u64,
  /// The deployment.
  pub profile: Profile,
  /// Period in which faults start.
  pub faults_ms: u64,
  /// Additional time in the promises' bounds, for a loaded machine.
  pub slack_ms: u64,
  /// The faults that are injected.
  pub faults: FaultSelection,
  /// How the ends of endpoints' responses are marked.
  pub framings: Framings,
  /// Where engines that run on end streams early.
  pub early_ends: EarlyEnds,
  /// Directory of the settings files and logs.
  pub directory: PathBuf,
}

impl Options {
  /// The scale of the run.
  pub(crate) fn size(&self) -> Size {
    Size {
      boxes: self.profile.box_count(),
      faults_ms: self.faults_ms,
      more_troubles: self.profile.more_troubles,
      places: self.profile.place_count(),
    }
  }
}
