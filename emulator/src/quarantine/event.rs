//! What happens in a replay of crashes.

use rillford::gateway::{Fingerprint, QuarantineKey};

/// What happens at a moment.
pub(super) enum Event {
  /// An innocent request comes.
  Arrives,
  /// A body that ends engines comes, and is due so many times more.
  Crashing { body: u64, left: u32 },
  /// A new body begins to come.
  NewBody { body: u64 },
  /// A request is sent, or sent once more.
  Sent { request: usize },
  /// A run comes to its end.
  RunEnds { request: usize, run: u64 },
  /// A run ends its engine.
  RunCrashes { request: usize, run: u64 },
  /// An engine is back.
  EngineBack { engine: usize },
  /// A third of the engines goes.
  RackGoes,
  /// A box hears of a mark.
  Hears { at: usize, key: QuarantineKey },
  /// A box hears that a request is free.
  HearsClear { at: usize, fingerprint: Fingerprint },
  /// All boxes start anew, with what the store has.
  AllNew,
}
