//! The software versions that endpoints start with.

use super::plan::FaultSelection;

/// The software versions of endpoints.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// How endpoints get their versions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Versioning {
  /// By turns, but that of the release during one: both versions serve most of the time.
  Alternating,
  /// That of the last release.
  Released,
  /// The first one, or that of the engine that it replaces, unless it is released.
  Kept,
}

impl Versioning {
  /// The versions in runs with a selection of faults.
  pub(crate) fn of(faults: FaultSelection) -> Self {
    match faults {
      FaultSelection::Day(_) => Self::Kept,
      FaultSelection::Crashes
      | FaultSelection::GarbledAnswers
      | FaultSelection::Releases
      | FaultSelection::ReusedAddresses
      | FaultSelection::Troubles => Self::Released,
      FaultSelection::All
      | FaultSelection::Interruptions
      | FaultSelection::Restarts
      | FaultSelection::Silences
      | FaultSelection::Partitions
      | FaultSelection::Stops
      | FaultSelection::StopsWithoutStore => Self::Alternating,
    }
  }

  /// The version of the endpoint that starts as a given one, after a number of releases or during the last of them.
  pub(crate) fn version(
    self,
    start_number: u64,
    releases: u64,
    is_releasing: bool,
  ) -> &'static str {
    let number = match self {
      Self::Alternating if !is_releasing => start_number + 1,
      Self::Alternating | Self::Released => releases,
      Self::Kept => 0,
    };
    VERSIONS[usize::from(!number.is_multiple_of(2))]
  }
}

/// The other one of the two versions.
pub(crate) fn other_version(version: &str) -> &'static str {
  let [first, second] = VERSIONS;
  if version == first { second } else { first }
}
