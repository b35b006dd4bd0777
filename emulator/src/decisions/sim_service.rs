//! A fake of a plain service: a fixed time a call, as many at once as it has seats.

use std::collections::VecDeque;

/// A plain service in virtual time.
#[derive(Default)]
pub(super) struct SimService {
  pub(super) busy: u32,
  pub(super) waiting: VecDeque<usize>,
}

/// Time of one call.
pub(super) const CALL_US: u64 = 30_000;
