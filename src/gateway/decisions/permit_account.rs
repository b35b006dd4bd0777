//! The permits at one endpoint that names a limit, as the one box counts them that gives them out. Free of I/O.
//!
//! Load pattern: hundreds of boxes ask for a few permits a second. Each box that finds none is told when to ask again, one after the
//! other, so that neither all ask at once nor a permit lies idle.

use {
  super::use_bucket::UseBucket,
  crate::{gateway::edge::UsageLimit, ids::Name},
  serde::{Deserialize, Serialize},
  std::collections::HashMap,
};

/// Boxes that found no permit are called in so many times as often as permits come: some of them have no request by then.
const TURNS_PER_PERMIT: f64 = 1.2;
/// Who wants many permits gets as many as come in this time, or none yet: else it would ask for each of them.
const GRAIN_S: f64 = 0.1;
/// The longest time until a box may ask again: a permit of the lowest limit comes in it.
const MOST_WAIT_MS: u64 = 6_000;
/// The shortest: a permit may come back sooner than it is counted.
const LEAST_WAIT_MS: u64 = 10;
/// Permits that less urgent requests leave for more urgent ones.
const KEPT_FOR_URGENT: f64 = 1.0;
/// For so long after the most urgent request the others leave it a permit.
const URGENT_MS: u64 = 2_000;

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
/// use rillford::gateway::{PermitAccount, PermitVerdict, PermitRequest, UsageLimit};
/// let limit = UsageLimit { burst: 3.0, rate_per_s: 2.0 };
/// let mut account = PermitAccount::new(limit, 0);
/// let permit_request = PermitRequest { box_name: "north-1".into(), permits: 1, priority: 4, unused: 0 };
/// // Nothing is there at first: what was sent before the limit was heard is still under way.
/// assert_eq!(account.ask(&permit_request, 0), PermitVerdict::Refused { wait_ms: 500 });
/// assert_eq!(account.ask(&permit_request, 500), PermitVerdict::Granted(1));
/// assert_eq!(account.ask(&PermitRequest { permits: 9, ..permit_request }, 60_000), PermitVerdict::Granted(3));
/// ```
#[derive(Clone, Debug)]
pub struct PermitAccount {
  limit: UsageLimit,
  bucket: UseBucket,
  /// When the last of the boxes is called in that found no permit.
  last_turn_ms: u64,
  /// When each of them is.
  turns_ms: HashMap<Name, u64>,
  /// The most urgent priority that was asked for lately, and when.
  urgent: Option<(u8, u64)>,
  asked_ms: u64,
}

impl PermitAccount {
  /// An account without a permit.
  pub fn new(limit: UsageLimit, now_ms: u64) -> Self {
    Self {
      asked_ms: now_ms,
      bucket: UseBucket::empty(now_ms),
      limit,
      last_turn_ms: now_ms,
      turns_ms: HashMap::new(),
      urgent: None,
    }
  }

  /// The endpoint names another figure: permits that come from now on come at that rate. A figure that goes up and down with each
  /// answer brings no permit by that.
  pub fn set_limit(&mut self, limit: UsageLimit, now_ms: u64) {
    self.bucket.left(self.limit, now_ms);
    self.limit = limit;
  }

  /// Gives out permits, or says when to ask again.
  pub fn ask(&mut self, permit_request: &PermitRequest, now_ms: u64) -> PermitVerdict {
    self.asked_ms = now_ms;
    self.bucket.left(self.limit, now_ms);
    self
      .bucket
      .charge(self.limit, -f64::from(permit_request.unused));
    // Who comes at its turn takes what is there: sent behind again, it would leave permits idle.
    let grain = if self.takes_turn(&permit_request.box_name, now_ms) {
      1.0
    } else {
      self.grain(permit_request.permits)
    };
    let wanted = grain + self.kept_for_others(permit_request.priority, now_ms);
    let left = self.bucket.left(self.limit, now_ms);
    if left < wanted {
      let turn_ms = self.turn_ms(&permit_request.box_name, grain, now_ms);
      let until_left_ms = self.bucket.wait_ms(self.limit, wanted, now_ms);
      let wait_ms = turn_ms.max(until_left_ms);
      return PermitVerdict::Refused {
        wait_ms: wait_ms.clamp(LEAST_WAIT_MS, MOST_WAIT_MS),
      };
    }
    let spare = (left - wanted) as u32;
    let granted = permit_request.permits.min(grain as u32 + spare);
    self.bucket.charge(self.limit, f64::from(granted));
    PermitVerdict::Granted(granted)
  }

  /// Permits that are left.
  pub fn left(&mut self, now_ms: u64) -> f64 {
    self.bucket.left(self.limit, now_ms)
  }

  /// When it was last asked.
  pub fn asked_ms(&self) -> u64 {
    self.asked_ms
  }

  /// The least that is given out to who wants so many; one or more.
  fn grain(&self, permits: u32) -> f64 {
    let grain = (self.limit.rate_per_s * GRAIN_S).floor();
    let most = (self.limit.burst - KEPT_FOR_URGENT).max(1.0);
    grain.min(f64::from(permits)).clamp(1.0, most)
  }

  /// What a request of a priority leaves to more urgent ones.
  fn kept_for_others(&mut self, priority: u8, now_ms: u64) -> f64 {
    let urgent = self
      .urgent
      .filter(|(_, asked_ms)| now_ms < asked_ms + URGENT_MS);
    match urgent {
      Some((most_urgent, _)) if most_urgent < priority && self.limit.burst > KEPT_FOR_URGENT => {
        KEPT_FOR_URGENT
      }
      _ => {
        self.urgent = Some((priority, now_ms));
        0.0
      }
    }
  }

  /// Whether it is a box's turn, or was and it has not asked since.
  fn takes_turn(&mut self, box_name: &Name, now_ms: u64) -> bool {
    let had_turn = self
      .turns_ms
      .get(box_name)
      .is_some_and(|turn_ms| *turn_ms <= now_ms);
    if had_turn {
      self.turns_ms.remove(box_name);
    }
    had_turn
  }

  /// The turn of a box that found no permit: how long it is until then. Of several requests of one box each has the same.
  fn turn_ms(&mut self, box_name: &Name, permits: f64, now_ms: u64) -> u64 {
    self
      .turns_ms
      .retain(|_, turn_ms| now_ms < *turn_ms + MOST_WAIT_MS);
    if let Some(turn_ms) = self.turns_ms.get(box_name) {
      return turn_ms.saturating_sub(now_ms);
    }
    let gap_ms = permits * 1_000.0 / (self.limit.rate_per_s * TURNS_PER_PERMIT);
    let turn_ms = self.last_turn_ms.max(now_ms) + gap_ms as u64;
    self.last_turn_ms = turn_ms.min(now_ms + MOST_WAIT_MS);
    self.turns_ms.insert(box_name.clone(), self.last_turn_ms);
    self.last_turn_ms - now_ms
  }
}
