//! A plain endpoint in a replay of notices.

use std::collections::{HashMap, VecDeque};

/// Requests that an endpoint works on at once, and that wait there.
const SEATS: usize = 6;
const MOST_WAITING: usize = 12;

/// What a box was told, to hold its sends against.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Told {
  /// When the endpoint last asked that box for a pause, and its end.
  pub(super) pause_ms: Option<(u64, u64)>,
  /// What reached the endpoint from that box in it, from half a second after its word.
  pub(super) in_pause: u32,
  /// When it first told that box that it leaves.
  pub(super) leaving_ms: Option<u64>,
}

/// An endpoint.
#[derive(Debug, Default)]
pub(super) struct Endpoint {
  pub(super) running: Vec<usize>,
  pub(super) waiting: VecDeque<usize>,
  pub(super) has_ended: bool,
  /// What it told each box.
  pub(super) told: HashMap<usize, Told>,
}

impl Endpoint {
  pub(super) fn has_seat(&self) -> bool {
    self.running.len() < SEATS
  }

  pub(super) fn is_full(&self) -> bool {
    !self.has_seat() && self.waiting.len() >= MOST_WAITING
  }
}
