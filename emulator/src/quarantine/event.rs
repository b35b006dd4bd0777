//! Events of the crash simulation.

use rillford::gateway::{Fingerprint, QuarantineKey};

pub(super) enum Event {
  /// An innocent caller sends a request.
  InnocentArrives,
  /// A request with a crashing body arrives; `left` counts it and the further ones with this body.
  CrashingArrives { body: u64, left: u32 },
  /// A new crashing body begins to arrive.
  NewBody { body: u64 },
  /// A box sends a request to an engine, at first or as a retry.
  Send { request: usize },
  /// An engine has answered a request for a while.
  RunAnswers { request: usize, run: u64 },
  /// A run completes.
  RunCompletes { request: usize, run: u64 },
  /// A run crashes its engine.
  RunCrashes { request: usize, run: u64 },
  /// An engine has restarted.
  EngineRestarted { engine: usize },
  /// A third of the engines fails.
  RackFails,
  /// A box receives a quarantine mark.
  MarkReceived { at: usize, key: QuarantineKey },
  /// A box receives the notice that a request's marks are cleared.
  ClearReceived { at: usize, fingerprint: Fingerprint },
  /// All boxes restart and load the marks in the store.
  BoxesRestart,
}
