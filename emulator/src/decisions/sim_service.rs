//! A simulated plain service with a fixed processing time and a number of slots.

use std::collections::VecDeque;

#[derive(Default)]
pub(super) struct SimService {
  pub(super) busy: u32,
  pub(super) waiting: VecDeque<usize>,
}

/// Processing time of a call.
pub(super) const CALL_US: u64 = 30_000;
