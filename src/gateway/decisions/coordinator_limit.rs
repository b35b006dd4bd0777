//! The shares of an endpoint's limit that its coordinator and isolated boxes grant. Free of I/O.
//!
//! In any time T all boxes together send no more than `GRANTED_SHARE` x (1 + `ISOLATED_SHARE`) x limit x T, and the two
//! bursts besides, whichever messages between them are late or lost: there is one coordinator, and the boxes that grant
//! permits in isolation from it are the same few for all.

use crate::gateway::edge::UsageLimit;

/// Share of a limit that is granted. The rest is for permits that are used later than they were granted.
const GRANTED_SHARE: f64 = 0.94;
/// Lowest granted rate in requests per second: an endpoint without requests sends no responses, so one that advertised 0 by
/// mistake would never be asked again.
const MIN_PER_S: f64 = 0.2;
/// Burst of permits: one for the current request, one reserved for an urgent one, one for uneven arrivals.
const BURST: f64 = 3.0;
/// Burst at high limits, in addition to one permit: what accrues in this time.
const BURST_INTERVAL_S: f64 = 0.1;
/// Share of a limit that isolated boxes grant together.
const ISOLATED_SHARE: f64 = 0.5;
/// Number of isolated boxes that grant permits: the next ones in the endpoint's order after the coordinator.
pub const ISOLATED_BOXES: usize = 2;

/// The limit that an endpoint's coordinator enforces for all boxes.
///
/// ```
/// use rillford::gateway::coordinator_limit;
/// assert_eq!(coordinator_limit(100.0).rate_per_s, 94.0);
/// assert_eq!(coordinator_limit(0.0).rate_per_s, coordinator_limit(0.2).rate_per_s);
/// ```
pub fn coordinator_limit(per_s: f64) -> UsageLimit {
  let effective_per_s = per_s.max(MIN_PER_S);
  // The minimum rate exceeds a lower limit already, so it gets no extra burst.
  let min_burst = if per_s < MIN_PER_S { 1.0 } else { BURST };
  UsageLimit {
    burst: min_burst.max(1.0 + effective_per_s * BURST_INTERVAL_S),
    rate_per_s: effective_per_s * GRANTED_SHARE,
  }
}

/// The limit that each of `boxes` boxes enforces while none of them is listed.
///
/// ```
/// use rillford::gateway::{isolated_limit, unlisted_limit};
/// assert_eq!(unlisted_limit(100.0, 2), isolated_limit(100.0));
/// assert_eq!(unlisted_limit(100.0, 20).rate_per_s, isolated_limit(100.0).rate_per_s / 10.0);
/// ```
pub fn unlisted_limit(per_s: f64, boxes: usize) -> UsageLimit {
  UsageLimit {
    burst: 1.0,
    rate_per_s: coordinator_limit(per_s).rate_per_s * ISOLATED_SHARE / boxes.max(1) as f64,
  }
}

/// The limit that each isolated box enforces.
///
/// ```
/// use rillford::gateway::{coordinator_limit, isolated_limit};
/// assert_eq!(isolated_limit(100.0).rate_per_s, coordinator_limit(100.0).rate_per_s / 4.0);
/// assert_eq!(isolated_limit(100.0).burst, 1.0);
/// ```
pub fn isolated_limit(per_s: f64) -> UsageLimit {
  unlisted_limit(per_s, ISOLATED_BOXES)
}
