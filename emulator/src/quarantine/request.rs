//! A simulated request of the crash simulation.

use {rillford::gateway::Fingerprint, std::rc::Rc};

/// A caller's request with its current attempt.
#[derive(Clone, Debug)]
pub(super) struct Request {
  pub(super) fingerprint: Fingerprint,
  /// Those of the segments of its prompt.
  pub(super) segments: Rc<[Fingerprint]>,
  /// The number of its body, if it crashes engines.
  pub(super) crashing: Option<usize>,
  /// The box that it arrived at.
  pub(super) at: usize,
  /// Engines that the box may still send it to.
  pub(super) attempts_left: u32,
  /// Whether it is a quarantine probe.
  pub(super) is_probe: bool,
  /// How often the caller may still send it again.
  pub(super) caller_retries_left: u32,
  /// Time after which the caller does not send it again.
  pub(super) deadline_ms: u64,
  /// The number of the current run, by which events of earlier runs are ignored.
  pub(super) run: u64,
  /// The engine of the current run.
  pub(super) engine: Option<usize>,
  /// When the current run began.
  pub(super) sent_ms: u64,
}
