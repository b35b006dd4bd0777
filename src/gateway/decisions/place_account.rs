//! The places at one endpoint that names a limit, as the one box counts them that gives them out. Free of I/O.
//!
//! Load pattern: hundreds of boxes ask for a few places a second. Each box that finds none is told when to ask again, one after the
//! other, so that neither all ask at once nor a place lies idle.

use {
  super::use_bucket::UseBucket,
  crate::{gateway::edge::UseLimit, ids::Name},
  serde::{Deserialize, Serialize},
  std::collections::HashMap,
};

/// Boxes that found no place are called in so many times as often as places come: some of them have no request by then.
const TURNS_PER_PLACE: f64 = 1.2;
/// Who wants many places gets as many as come in this time, or none yet: else it would ask for each of them.
const GRAIN_S: f64 = 0.1;
/// The longest time until a box may ask again: a place of the lowest limit comes in it.
const MOST_WAIT_MS: u64 = 6_000;
/// The shortest: a place may come back sooner than it is counted.
const LEAST_WAIT_MS: u64 = 10;
/// Places that less urgent requests leave for more urgent ones.
const KEPT_FOR_URGENT: f64 = 1.0;
/// For so long after the most urgent request the others leave it a place.
const URGENT_MS: u64 = 2_000;

/// A question for places.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlaceWish {
  /// The box that asks.
  pub box_name: Name,
  /// Places that could be used soon; one at least.
  pub places: u32,
  /// Places that were given before and will not be used.
  pub unused: u32,
  /// 0 goes first.
  pub priority: u8,
}

/// What becomes of a question for places.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PlaceVerdict {
  /// So many may be used, one or more.
  Granted(u32),
  /// There is none.
  Refused {
    /// When to ask again.
    wait_ms: u64,
  },
}

/// The places at one endpoint.
///
/// ```
/// use rillford::gateway::{PlaceAccount, PlaceVerdict, PlaceWish, UseLimit};
/// let limit = UseLimit { burst: 3.0, rate_per_s: 2.0 };
/// let mut account = PlaceAccount::new(limit, 0);
/// let wish = PlaceWish { box_name: "north-1".into(), places: 1, priority: 4, unused: 0 };
/// // Nothing is there at first: what was sent before the limit was heard is still under way.
/// assert_eq!(account.ask(&wish, 0), PlaceVerdict::Refused { wait_ms: 500 });
/// assert_eq!(account.ask(&wish, 500), PlaceVerdict::Granted(1));
/// assert_eq!(account.ask(&PlaceWish { places: 9, ..wish }, 60_000), PlaceVerdict::Granted(3));
/// ```
#[derive(Clone, Debug)]
pub struct PlaceAccount {
  limit: UseLimit,
  bucket: UseBucket,
  /// When the last of the boxes is called in that found no place.
  last_turn_ms: u64,
  /// When each of them is.
  turns_ms: HashMap<Name, u64>,
  /// The most urgent priority that was asked for lately, and when.
  urgent: Option<(u8, u64)>,
  asked_ms: u64,
}

impl PlaceAccount {
  /// An account without a place.
  pub fn new(limit: UseLimit, now_ms: u64) -> Self {
    Self {
      asked_ms: now_ms,
      bucket: UseBucket::empty(now_ms),
      limit,
      last_turn_ms: now_ms,
      turns_ms: HashMap::new(),
      urgent: None,
    }
  }

  /// The endpoint names another figure: places that come from now on come at that rate. A figure that goes up and down with each
  /// answer brings no place by that.
  pub fn set_limit(&mut self, limit: UseLimit, now_ms: u64) {
    self.bucket.left(self.limit, now_ms);
    self.limit = limit;
  }

  /// Gives out places, or says when to ask again.
  pub fn ask(&mut self, wish: &PlaceWish, now_ms: u64) -> PlaceVerdict {
    self.asked_ms = now_ms;
    self.bucket.left(self.limit, now_ms);
    self.bucket.charge(self.limit, -f64::from(wish.unused));
    // Who comes at its turn takes what is there: sent behind again, it would leave places idle.
    let grain = if self.takes_turn(&wish.box_name, now_ms) {
      1.0
    } else {
      self.grain(wish.places)
    };
    let wanted = grain + self.kept_for_others(wish.priority, now_ms);
    let left = self.bucket.left(self.limit, now_ms);
    if left < wanted {
      let turn_ms = self.turn_ms(&wish.box_name, grain, now_ms);
      let until_left_ms = self.bucket.wait_ms(self.limit, wanted, now_ms);
      let wait_ms = turn_ms.max(until_left_ms);
      return PlaceVerdict::Refused {
        wait_ms: wait_ms.clamp(LEAST_WAIT_MS, MOST_WAIT_MS),
      };
    }
    let spare = (left - wanted) as u32;
    let granted = wish.places.min(grain as u32 + spare);
    self.bucket.charge(self.limit, f64::from(granted));
    PlaceVerdict::Granted(granted)
  }

  /// Places that are left.
  pub fn left(&mut self, now_ms: u64) -> f64 {
    self.bucket.left(self.limit, now_ms)
  }

  /// When it was last asked.
  pub fn asked_ms(&self) -> u64 {
    self.asked_ms
  }

  /// The least that is given out to who wants so many; one or more.
  fn grain(&self, places: u32) -> f64 {
    let grain = (self.limit.rate_per_s * GRAIN_S).floor();
    let most = (self.limit.burst - KEPT_FOR_URGENT).max(1.0);
    grain.min(f64::from(places)).clamp(1.0, most)
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

  /// The turn of a box that found no place: how long it is until then. Of several requests of one box each has the same.
  fn turn_ms(&mut self, box_name: &Name, places: f64, now_ms: u64) -> u64 {
    self
      .turns_ms
      .retain(|_, turn_ms| now_ms < *turn_ms + MOST_WAIT_MS);
    if let Some(turn_ms) = self.turns_ms.get(box_name) {
      return turn_ms.saturating_sub(now_ms);
    }
    let gap_ms = places * 1_000.0 / (self.limit.rate_per_s * TURNS_PER_PLACE);
    let turn_ms = self.last_turn_ms.max(now_ms) + gap_ms as u64;
    self.last_turn_ms = turn_ms.min(now_ms + MOST_WAIT_MS);
    self.turns_ms.insert(box_name.clone(), self.last_turn_ms);
    self.last_turn_ms - now_ms
  }
}
