//! The places at one endpoint that names a limit, as the one box counts them that gives them out. Free of I/O.
//!
//! Load pattern: hundreds of boxes ask for a few places a second. Each box that finds none is told when to ask again, one after the
//! other, so that neither all ask at once nor a place lies idle.

use {
  super::use_bucket::UseBucket,
  crate::gateway::edge::UseLimit,
  serde::{Deserialize, Serialize},
};

/// Boxes that found no place are called in twice as often as places come: some of them have no request by then.
const TURNS_PER_PLACE: f64 = 2.0;
/// The longest time until a box may ask again: by then the endpoint may have named another figure.
const MOST_WAIT_MS: u64 = 5_000;
/// The shortest: a place may come back sooner than it is counted.
const LEAST_WAIT_MS: u64 = 10;
/// Places that less urgent requests leave for more urgent ones.
const KEPT_FOR_URGENT: f64 = 1.0;
/// For so long after the most urgent request the others leave it a place.
const URGENT_MS: u64 = 2_000;

/// A question for places.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlaceWish {
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
/// let wish = PlaceWish { places: 1, priority: 4, unused: 0 };
/// // Nothing is there at first: what was sent before the limit was heard is still under way.
/// assert_eq!(account.ask(wish, 0), PlaceVerdict::Refused { wait_ms: 500 });
/// assert_eq!(account.ask(wish, 500), PlaceVerdict::Granted(1));
/// assert_eq!(account.ask(PlaceWish { places: 9, ..wish }, 60_000), PlaceVerdict::Granted(3));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PlaceAccount {
  limit: UseLimit,
  bucket: UseBucket,
  /// When the next box is called in that finds no place.
  next_turn_ms: u64,
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
      next_turn_ms: now_ms,
      urgent: None,
    }
  }

  /// The endpoint names another figure: places that come from now on come at that rate.
  pub fn set_limit(&mut self, limit: UseLimit, now_ms: u64) {
    if limit != self.limit {
      self.bucket.change(self.limit, limit, now_ms);
      self.limit = limit;
    }
  }

  /// Gives out places, or says when to ask again.
  pub fn ask(&mut self, wish: PlaceWish, now_ms: u64) -> PlaceVerdict {
    self.asked_ms = now_ms;
    self.bucket.left(self.limit, now_ms);
    self.bucket.charge(self.limit, -f64::from(wish.unused));
    let wanted = self.least_left(wish.priority, now_ms);
    let left = self.bucket.left(self.limit, now_ms);
    if left < wanted {
      let wait_ms = self.turn_ms(now_ms);
      let until_left_ms = self.bucket.wait_ms(self.limit, wanted, now_ms);
      return PlaceVerdict::Refused {
        wait_ms: wait_ms
          .max(until_left_ms)
          .clamp(LEAST_WAIT_MS, MOST_WAIT_MS),
      };
    }
    let spare = (left - wanted) as u32;
    let granted = wish.places.min(spare + 1);
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

  /// What has to be left for a request of a priority.
  fn least_left(&mut self, priority: u8, now_ms: u64) -> f64 {
    let urgent = self
      .urgent
      .filter(|(_, asked_ms)| now_ms < asked_ms + URGENT_MS);
    match urgent {
      Some((most_urgent, _)) if most_urgent < priority => {
        (1.0 + KEPT_FOR_URGENT).min(self.limit.burst)
      }
      _ => {
        self.urgent = Some((priority, now_ms));
        1.0
      }
    }
  }

  /// The turn of one more box that found no place: how long it is until then.
  fn turn_ms(&mut self, now_ms: u64) -> u64 {
    let gap_ms = 1_000.0 / (self.limit.rate_per_s * TURNS_PER_PLACE);
    let latest_ms = now_ms + MOST_WAIT_MS;
    self.next_turn_ms = (self.next_turn_ms.max(now_ms) + gap_ms as u64).min(latest_ms);
    self.next_turn_ms - now_ms
  }
}
