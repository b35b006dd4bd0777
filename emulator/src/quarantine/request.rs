//! A request of a replay of crashes.

use rillford::gateway::Fingerprint;

/// One try of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
  pub(super) fingerprint: Fingerprint,
  /// The number of its body, if it ends engines.
  pub(super) crashing: Option<usize>,
  /// The box that it came to.
  pub(super) at: usize,
  /// Engines that it may still be sent to.
  pub(super) attempts_left: u32,
  /// Whether it is a trial.
  pub(super) is_probe: bool,
  /// Tries that its caller has left.
  pub(super) tries_left: u32,
  /// When its caller gives up.
  pub(super) until_ms: u64,
  /// The number of its present run, and its engine.
  pub(super) run: u64,
  pub(super) engine: Option<usize>,
}
