//! What boxes make of the limit that an endpoint names: which part of it one box gives out for all, and which part a few give out
//! by themselves while they don't reach that one. Free of I/O.
//!
//! In any time T all boxes together send no more than `KEPT_SHARE` x (1 + `ALONE_SHARE`) x limit x T, and the two bursts besides,
//! whichever messages between them are late or lost: the box that counts is one, and those that go on alone are the
//! same few for all.

use crate::gateway::edge::UsageLimit;

/// Part of a limit that is given out. The rest is for permits that are used later than they were given.
const KEPT_SHARE: f64 = 0.94;
/// The least that is given out, in requests a second: an endpoint that gets nothing says nothing, and one that named 0 by mistake
/// would never be asked again.
const LEAST_PER_S: f64 = 0.2;
/// Permits that may be there at once: one for the request at hand, one kept for an urgent one, one for what comes unevenly.
const BURST: f64 = 3.0;
/// The same for high limits: one, and what comes in so long.
const BURST_S: f64 = 0.1;
/// Part of a limit that boxes give out together that don't reach the one that counts.
const ALONE_SHARE: f64 = 0.5;
/// Boxes that do: the next ones in the endpoint's order after the one that counts.
pub const ALONE_BOXES: usize = 2;

/// What the box gives out that counts an endpoint's requests for all.
///
/// ```
/// use rillford::gateway::counted_limit;
/// assert_eq!(counted_limit(100.0).rate_per_s, 94.0);
/// assert_eq!(counted_limit(0.0).rate_per_s, counted_limit(0.2).rate_per_s);
/// ```
pub fn counted_limit(per_s: f64) -> UsageLimit {
  let kept_per_s = per_s.max(LEAST_PER_S);
  // Who names less is given more than that already: nothing comes on top.
  let least_burst = if per_s < LEAST_PER_S { 1.0 } else { BURST };
  UsageLimit {
    burst: least_burst.max(1.0 + kept_per_s * BURST_S),
    rate_per_s: kept_per_s * KEPT_SHARE,
  }
}

/// What one of the boxes gives out that don't reach that one.
///
/// ```
/// use rillford::gateway::{counted_limit, lone_limit};
/// assert_eq!(lone_limit(100.0).rate_per_s, counted_limit(100.0).rate_per_s / 4.0);
/// assert_eq!(lone_limit(100.0).burst, 1.0);
/// ```
pub fn lone_limit(per_s: f64) -> UsageLimit {
  UsageLimit {
    burst: 1.0,
    rate_per_s: counted_limit(per_s).rate_per_s * ALONE_SHARE / ALONE_BOXES as f64,
  }
}
