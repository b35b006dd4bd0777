//! What may strike at the end of a replayed day.

use std::str::FromStr;

/// What strikes at the end of a day.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClosingKind {
  /// All boxes are killed.
  KillAll,
  /// All boxes lose power.
  PowerOffAll,
  /// All boxes lose power, one of them for good.
  WipeAfterChange,
}

impl FromStr for ClosingKind {
  type Err = String;

  fn from_str(kind: &str) -> Result<Self, String> {
    match kind {
      "kill_all" => Ok(Self::KillAll),
      "power_off_all" => Ok(Self::PowerOffAll),
      "wipe_after_ack" => Ok(Self::WipeAfterChange),
      _ => Err(format!("{kind} can't be played")),
    }
  }
}
