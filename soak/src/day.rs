//! Scripted days: fixed faults at times that vary a little by seed.

use {
  super::{
    day_plan::{
      release_beside_crashes, release_beside_partitions, release_beside_store_outages,
      shift_beside_crashes,
    },
    draw::{ScheduledFault, Size},
  },
  std::str::FromStr,
};

/// A scripted day. At its end, a hall is cut off and all boxes stop at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Day {
  /// A release follows partial outages of the store and lost responses; the power is lost while the store is silent or
  /// soon after.
  StoreOutages,
  /// A release follows crashes, garbled answers and restarts of boxes, and is still in progress when the power is lost.
  Crashes,
  /// Halls are cut from each other by resets, beside slow boxes and crashes. All boxes are killed during a release, shortly
  /// after the last cut.
  Partitions,
  /// Callers of a hall go to another one, after crashes and late role orders. There is no release, and all boxes are killed.
  Shifts,
}

impl Day {
  /// The faults of the day, sorted by time.
  ///
  /// ```
  /// use soak::{Day, Size};
  /// let size = Size { boxes: 6, places: 21, faults_ms: 0, more_troubles: &[] };
  /// assert_eq!(Day::Crashes.faults(7, size), Day::Crashes.faults(7, size));
  /// assert_ne!(Day::Crashes.faults(7, size), Day::Crashes.faults(8, size));
  /// ```
  pub fn faults(self, seed: u64, size: Size) -> Vec<ScheduledFault> {
    match self {
      Self::Crashes => release_beside_crashes(seed, size),
      Self::Partitions => release_beside_partitions(seed, size),
      Self::Shifts => shift_beside_crashes(seed, size),
      Self::StoreOutages => release_beside_store_outages(seed, size),
    }
  }
}

impl FromStr for Day {
  type Err = String;

  fn from_str(name: &str) -> Result<Self, String> {
    match name {
      "crashes" => Ok(Self::Crashes),
      "partitions" => Ok(Self::Partitions),
      "shifts" => Ok(Self::Shifts),
      "store-outages" => Ok(Self::StoreOutages),
      _ => Err(format!(
        "no day is named {name:?}, expected crashes, partitions, shifts or store-outages"
      )),
    }
  }
}
