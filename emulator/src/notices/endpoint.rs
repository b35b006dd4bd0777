//! A simulated plain endpoint of the notice simulation.

use std::collections::{HashMap, VecDeque};

/// Requests that an endpoint processes at once.
const SLOTS: usize = 6;
const MAX_WAITING: usize = 12;

/// Notices that an endpoint sent to a box, and the requests that the box sent in spite of them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SentNotices {
  /// When the endpoint last asked that box for a backoff, and the end of the backoff.
  pub(super) backoff_ms: Option<(u64, u64)>,
  /// Requests received from that box in the backoff, not counting its first half second.
  pub(super) in_backoff: u32,
  /// When that box first received the notice that the endpoint leaves.
  pub(super) leaving_ms: Option<u64>,
}

#[derive(Debug, Default)]
pub(super) struct Endpoint {
  pub(super) running: Vec<usize>,
  pub(super) waiting: VecDeque<usize>,
  pub(super) is_terminated: bool,
  /// Notices by the box that they were sent to.
  pub(super) notices: HashMap<usize, SentNotices>,
}

impl Endpoint {
  pub(super) fn has_free_slot(&self) -> bool {
    self.running.len() < SLOTS
  }

  pub(super) fn is_full(&self) -> bool {
    !self.has_free_slot() && self.waiting.len() >= MAX_WAITING
  }
}
