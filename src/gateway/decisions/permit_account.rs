//! The permits at one endpoint that names a limit, as the one box counts them that gives them out. Free of I/O.
//!
//! Load pattern: hundreds of boxes ask for a few permits a second. Each box that finds none is told when to ask again, one after the
//! other, so that neither all ask at once nor a permit lies idle.

use {
  super::token_bucket::TokenBucket,
  crate::{gateway::edge::UseLimit, ids::Name},
  serde::{Deserialize, Serialize},
  std::collections::HashMap,
};

/// Boxes that found no permit are called in so many times as often as permits come: some of them have no request by then.
const INVITATIONS_PER_PERMIT: f64 = 1.2;
/// Who wants many permits gets as many as come in this time, or none yet: else it would ask for each of them.
const MIN_GRANT_S: f64 = 0.1;
/// The longest time until a box may ask again: a permit of the lowest limit comes in it.
const MAX_WAIT_MS: u64 = 6_000;
/// The shortest: a permit may come back sooner than it is counted.
const MIN_WAIT_MS: u64 = 10;
/// Permits that less urgent requests leave for more urgent ones.
const RESERVED_FOR_URGENT: f64 = 1.0;
/// For so long after the most urgent request the others leave it a permit.
const URGENT_RESERVE_MS: u64 = 2_000;

/// A question for permits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitRequest {
  /// The box that asks.
  pub box_name: Name,
  /// Permits that could be used soon; one at least.
  pub permits: u32,
  /// Permits that were given before and will not be used.
  pub unused: u32,
  /// 0 goes first.
  pub priority: u8,
}

/// What becomes of a question for permits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitVerdict {
  /// So many may be used, one or more.
  Granted(u32),
  /// There is none.
  Refused {
    /// When to ask again.
    wait_ms: u64,
  },
}

/// The permits at one endpoint.
///
/// ```
/// use rillford::gateway::{PermitAccount, PermitVerdict, PermitRequest, UseLimit};
/// let limit = UseLimit { burst: 3.0, rate_per_s: 2.0 };
/// let mut account = PermitAccount::new(limit, 0);
/// let permit_request = PermitRequest { box_name: "north-1".into(), permits: 1, priority: 4, unused: 0 };
/// // Nothing is there at first: what was sent before the limit was heard is still under way.
/// assert_eq!(account.request(&permit_request, 0), PermitVerdict::Refused { wait_ms: 500 });
/// assert_eq!(account.request(&permit_request, 500), PermitVerdict::Granted(1));
/// assert_eq!(account.request(&PermitRequest { permits: 9, ..permit_request }, 60_000), PermitVerdict::Granted(3));
/// ```
#[derive(Clone, Debug)]
pub struct PermitAccount {
  limit: UseLimit,
  bucket: TokenBucket,
  /// When the last of the boxes is called in that found no permit.
  last_slot_ms: u64,
  /// When each of them is.
  slots_ms: HashMap<Name, u64>,
  /// The most urgent priority that was asked for lately, and when.
  urgent: Option<(u8, u64)>,
  last_request_ms: u64,
}

impl PermitAccount {
  /// An account without a permit.
  pub fn new(limit: UseLimit, now_ms: u64) -> Self {
    Self {
      last_request_ms: now_ms,
      bucket: TokenBucket::empty(now_ms),
      limit,
      last_slot_ms: now_ms,
      slots_ms: HashMap::new(),
      urgent: None,
    }
  }

  /// The endpoint names another figure: permits that come from now on come at that rate. A figure that goes up and down with each
  /// answer brings no permit by that.
  pub fn set_limit(&mut self, limit: UseLimit, now_ms: u64) {
    self.bucket.level(self.limit, now_ms);
    self.limit = limit;
  }

  /// Gives out permits, or says when to ask again.
  pub fn request(&mut self, permit_request: &PermitRequest, now_ms: u64) -> PermitVerdict {
    self.last_request_ms = now_ms;
    self.bucket.level(self.limit, now_ms);
    self
      .bucket
      .charge(self.limit, -f64::from(permit_request.unused));
    // Who comes at its turn takes what is there: sent behind again, it would leave permits idle.
    let min_grant = if self.claims_slot(&permit_request.box_name, now_ms) {
      1.0
    } else {
      self.min_grant(permit_request.permits)
    };
    let wanted = min_grant + self.reserved_for_urgent(permit_request.priority, now_ms);
    let left = self.bucket.level(self.limit, now_ms);
    if left < wanted {
      let slot_ms = self.slot_ms(&permit_request.box_name, min_grant, now_ms);
      let until_left_ms = self.bucket.wait_ms(self.limit, wanted, now_ms);
      let wait_ms = slot_ms.max(until_left_ms);
      return PermitVerdict::Refused {
        wait_ms: wait_ms.clamp(MIN_WAIT_MS, MAX_WAIT_MS),
      };
    }
    let spare = (left - wanted) as u32;
    let granted = permit_request.permits.min(min_grant as u32 + spare);
    self.bucket.charge(self.limit, f64::from(granted));
    PermitVerdict::Granted(granted)
  }

  /// Permits that are left.
  pub fn remaining(&mut self, now_ms: u64) -> f64 {
    self.bucket.level(self.limit, now_ms)
  }

  /// When it was last asked.
  pub fn last_request_ms(&self) -> u64 {
    self.last_request_ms
  }

  /// The least that is given out to who wants so many; one or more.
  fn min_grant(&self, permits: u32) -> f64 {
    let min_grant = (self.limit.rate_per_s * MIN_GRANT_S).floor();
    let most = (self.limit.burst - RESERVED_FOR_URGENT).max(1.0);
    min_grant.min(f64::from(permits)).clamp(1.0, most)
  }

  /// What a request of a priority leaves to more urgent ones.
  fn reserved_for_urgent(&mut self, priority: u8, now_ms: u64) -> f64 {
    let urgent = self
      .urgent
      .filter(|(_, last_request_ms)| now_ms < last_request_ms + URGENT_RESERVE_MS);
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

  /// Whether it is a box's turn, or was and it has not asked since.
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

  /// The turn of a box that found no permit: how long it is until then. Of several requests of one box each has the same.
  fn slot_ms(&mut self, box_name: &Name, permits: f64, now_ms: u64) -> u64 {
    self
      .slots_ms
      .retain(|_, slot_ms| now_ms < *slot_ms + MAX_WAIT_MS);
    if let Some(slot_ms) = self.slots_ms.get(box_name) {
      return slot_ms.saturating_sub(now_ms);
    }
    let gap_ms = permits * 1_000.0 / (self.limit.rate_per_s * INVITATIONS_PER_PERMIT);
    let slot_ms = self.last_slot_ms.max(now_ms) + gap_ms as u64;
    self.last_slot_ms = slot_ms.min(now_ms + MAX_WAIT_MS);
    self.slots_ms.insert(box_name.clone(), self.last_slot_ms);
    self.last_slot_ms - now_ms
  }
}
