//! What boxes do about requests that crash engines, in the crash simulation.

use rillford::gateway::QuarantineStrategy;

/// What boxes do. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashWay {
  /// Nothing.
  Off,
  /// Each box quarantines by itself.
  OwnBox,
  /// Boxes share marks of whole requests.
  Requests,
  /// The same, and marks of all segments of prompts that were at the beginning of an answer.
  AllSegments,
  /// The same, but for segments on which engines answered lately.
  Shared,
  /// The same, of the first 32 segments of a prompt alone.
  FirstSegments,
  /// The same, and requests that were at the beginning of an answer are not sent to another engine.
  SharedWithoutRetry,
}

impl CrashWay {
  /// All ways, in the order of reports.
  pub const ALL: [Self; 7] = [
    Self::Off,
    Self::OwnBox,
    Self::Requests,
    Self::AllSegments,
    Self::Shared,
    Self::FirstSegments,
    Self::SharedWithoutRetry,
  ];

  pub(super) fn strategy(self) -> QuarantineStrategy {
    match self {
      Self::Off => QuarantineStrategy::Off,
      Self::OwnBox => QuarantineStrategy::OwnBox,
      Self::Requests
      | Self::AllSegments
      | Self::Shared
      | Self::FirstSegments
      | Self::SharedWithoutRetry => QuarantineStrategy::Shared,
    }
  }

  /// Whether segments are marked.
  pub(super) fn marks_segments(self) -> bool {
    !matches!(self, Self::Off | Self::Requests)
  }

  /// The number of segments of a prompt that are marked at most.
  pub(super) fn max_segments(self) -> usize {
    if self == Self::FirstSegments {
      32
    } else {
      usize::MAX
    }
  }

  /// Whether segments on which engines answered are not marked.
  pub(super) fn spares_sound_segments(self) -> bool {
    self != Self::AllSegments
  }
}

impl From<QuarantineStrategy> for CrashWay {
  fn from(strategy: QuarantineStrategy) -> Self {
    match strategy {
      QuarantineStrategy::Off => Self::Off,
      QuarantineStrategy::OwnBox => Self::OwnBox,
      QuarantineStrategy::Shared => Self::Shared,
    }
  }
}
