//! The permits at one endpoint that advertises a limit, as its coordinator grants them. Free of I/O.
//!
//! Load pattern: hundreds of boxes ask for a few permits a second. Each box that gets none is told when to ask again, spaced
//! so that neither all ask at once nor permits stay unused.

use {
  super::token_bucket::TokenBucket,
  crate::{gateway::edge::UsageLimit, ids::Name},
  serde::{Deserialize, Serialize},
  std::collections::HashMap,
};

/// Boxes that got no permit are invited back this much more often than permits accrue while some invitations are not
/// followed: some boxes have no request by then.
const MAX_INVITATIONS_PER_PERMIT: f64 = 1.2;
/// Permits in the bucket that show that an invitation was not followed.
const SURPLUS_PERMITS: f64 = 2.0;
/// A box that wants many permits gets at least what accrues in this time, or none yet: else it would ask for each one.
const MIN_GRANT_S: f64 = 0.1;
/// Longest time until a box may ask again: one permit of the lowest limit accrues in it.
const MAX_WAIT_MS: u64 = 6_000;
/// Shortest time until a box may ask again: a permit may be returned early.
const MIN_WAIT_MS: u64 = 10;
/// Permits that are reserved for more urgent requests.
const RESERVED_FOR_URGENT: f64 = 1.0;
/// The reservation holds for this long after the most urgent request.
const URGENT_RESERVE_MS: u64 = 2_000;

/// A request for permits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitRequest {
  pub box_name: Name,
  /// Permits that it could use soon; at least one.
  pub permits: u32,
  /// Permits that were granted before and expired unused.
  pub unused: u32,
  /// 0 goes first.
  pub priority: u8,
}

/// The verdict on a request for permits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitVerdict {
  /// This many are granted, at least one.
  Granted(u32),
  /// None is available.
  Rejected {
    /// Time until the box may ask again.
    wait_ms: u64,
  },
}

/// The permits at one endpoint.
///
/// ```
/// use rillford::gateway::{PermitAccount, PermitVerdict, PermitRequest, UsageLimit};
/// let limit = UsageLimit { burst: 3.0, rate_per_s: 2.0 };
/// let mut account = PermitAccount::new(limit, 0);
/// let permit_request = PermitRequest { box_name: "north-1".into(), permits: 1, priority: 4, unused: 0 };
/// // The account starts empty: requests sent before the limit was received may still be in flight.
/// assert_eq!(account.request(&permit_request, 0), PermitVerdict::Rejected { wait_ms: 500 });
/// assert_eq!(account.request(&permit_request, 500), PermitVerdict::Granted(1));
/// assert_eq!(account.request(&PermitRequest { permits: 9, ..permit_request }, 60_000), PermitVerdict::Granted(3));
/// ```
#[derive(Clone, Debug)]
pub struct PermitAccount {
  limit: UsageLimit,
  bucket: TokenBucket,
  /// The last time slot that was assigned to a box without a permit.
  last_slot_ms: u64,
  /// The time slot of each of these boxes.
  slots_ms: HashMap<Name, u64>,
  /// Time slots that are assigned for each permit that accrues.
  invitations_per_permit: f64,
  /// The most urgent priority of a recent request, and its time.
  urgent: Option<(u8, u64)>,
  last_request_ms: u64,
}

impl PermitAccount {
  pub fn new(limit: UsageLimit, now_ms: u64) -> Self {
    Self {
      last_request_ms: now_ms,
      bucket: TokenBucket::empty(now_ms),
      invitations_per_permit: MAX_INVITATIONS_PER_PERMIT,
      limit,
      last_slot_ms: now_ms,
      slots_ms: HashMap::new(),
      urgent: None,
    }
  }

  /// Applies a changed limit: permits accrue at its rate from now on. A limit that goes up and down with each response
  /// grants no extra permits.
  pub fn set_limit(&mut self, limit: UsageLimit, now_ms: u64) {
    self.bucket.level(self.limit, now_ms);
    self.limit = limit;
  }

  /// Grants permits, or assigns the time to ask again.
  pub fn request(&mut self, permit_request: &PermitRequest, now_ms: u64) -> PermitVerdict {
    self.last_request_ms = now_ms;
    self.bucket.level(self.limit, now_ms);
    self
      .bucket
      .charge(self.limit, -f64::from(permit_request.unused));
    // A box in its time slot takes what is available: postponed again, it would leave permits unused.
    let claims_slot = self.claims_slot(&permit_request.box_name, now_ms);
    let min_grant = if claims_slot {
      1.0
    } else {
      self.min_grant(permit_request.permits)
    };
    let wanted = min_grant + self.reserved_for_urgent(permit_request.priority, now_ms);
    let remaining = self.bucket.level(self.limit, now_ms);
    if remaining >= SURPLUS_PERMITS {
      self.invitations_per_permit = MAX_INVITATIONS_PER_PERMIT;
    }
    if remaining < wanted {
      if claims_slot {
        // All invitations are followed: more than one for each permit would only be rejected.
        self.invitations_per_permit = 1.0;
      }
      let slot_ms = self.slot_ms(&permit_request.box_name, min_grant, now_ms);
      let until_available_ms = self.bucket.wait_ms(self.limit, wanted, now_ms);
      let wait_ms = slot_ms.max(until_available_ms);
      return PermitVerdict::Rejected {
        wait_ms: wait_ms.clamp(MIN_WAIT_MS, MAX_WAIT_MS),
      };
    }
    let surplus = (remaining - wanted) as u32;
    let granted = permit_request.permits.min(min_grant as u32 + surplus);
    self.bucket.charge(self.limit, f64::from(granted));
    PermitVerdict::Granted(granted)
  }

  pub fn remaining(&mut self, now_ms: u64) -> f64 {
    self.bucket.level(self.limit, now_ms)
  }

  pub fn last_request_ms(&self) -> u64 {
    self.last_request_ms
  }

  /// The smallest grant to a box that wants this many permits; at least one.
  fn min_grant(&self, permits: u32) -> f64 {
    let min_grant = (self.limit.rate_per_s * MIN_GRANT_S).floor();
    let max = (self.limit.burst - RESERVED_FOR_URGENT).max(1.0);
    min_grant.min(f64::from(permits)).clamp(1.0, max)
  }

  /// Permits that a request of a priority has to leave for more urgent ones.
  fn reserved_for_urgent(&mut self, priority: u8, now_ms: u64) -> f64 {
    let urgent = self
      .urgent
      .filter(|(_, urgent_ms)| now_ms < urgent_ms + URGENT_RESERVE_MS);
    match urgent {
      Some((most_urgent, _))
        if most_urgent < priority && self.limit.burst > RESERVED_FOR_URGENT =>
      {
        RESERVED_FOR_URGENT
      }
      _ => {
        self.urgent = Some((priority, now_ms));
        0.0
      }
    }
  }

  /// Whether the time slot of a box has come and is unused; uses it.
  fn claims_slot(&mut self, box_name: &Name, now_ms: u64) -> bool {
    let had_slot = self
      .slots_ms
      .get(box_name)
      .is_some_and(|slot_ms| *slot_ms <= now_ms);
    if had_slot {
      self.slots_ms.remove(box_name);
    }
    had_slot
  }

  /// Time until the slot of a box that got no permit; concurrent requests of a box share its slot.
  fn slot_ms(&mut self, box_name: &Name, permits: f64, now_ms: u64) -> u64 {
    self
      .slots_ms
      .retain(|_, slot_ms| now_ms < *slot_ms + MAX_WAIT_MS);
    if let Some(slot_ms) = self.slots_ms.get(box_name) {
      return slot_ms.saturating_sub(now_ms);
    }
    let gap_ms = permits * 1_000.0 / (self.limit.rate_per_s * self.invitations_per_permit);
    let slot_ms = self.last_slot_ms.max(now_ms) + gap_ms as u64;
    self.last_slot_ms = slot_ms.min(now_ms + MAX_WAIT_MS);
    self.slots_ms.insert(box_name.clone(), self.last_slot_ms);
    self.last_slot_ms - now_ms
  }
}
