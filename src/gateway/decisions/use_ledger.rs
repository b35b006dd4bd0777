//! What a box that does not count knows of the limits, and what it has not told yet. Free of I/O.
//!
//! Load pattern: a box has a fraction of a request a second of each organisation, so that a part of the limit for each box
//! would refuse callers who are inside it. While a limit is far off, a box admits and tells it afterwards, for many
//! requests at once; when it is near, it asks first. A box that reaches nobody who counts goes on at the rate that it had,
//! or at an even part of the limit where that is more: all boxes that are alone together use little more than before.

use {
  super::{
    limit_way::LimitWay, recent_use::RecentUse, use_bucket::UseBucket, use_verdict::UseVerdict,
  },
  crate::{gateway::edge::UseLimit, ids::Name},
  std::collections::{BTreeMap, HashMap},
};

/// A box that has not heard from one that counts for this long is alone: several answers were due.
const ALONE_MS: u64 = 1_000;
/// For this long an organisation that is beyond its limit is refused without asking again.
const REFUSED_MS: u64 = 100;
/// A box that is alone goes on at the rate that it had times this: half of what the users' bound allows beyond a limit.
const ALONE_FACTOR: f64 = 1.05;
/// Part of a burst that a box admits before it has told: a fiftieth, or one request, for each of some hundred boxes.
const UNTOLD_SHARE: f64 = 0.02;
/// Requests that a box's own part holds at least: it has a fraction of a request a second of most organisations.
const LEAST_BURST_REQUESTS: u64 = 1;

/// What a box makes of a request by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalVerdict {
  /// It knows enough.
  Settled(UseVerdict),
  /// A box that counts has to be asked.
  Ask,
}

/// What was heard of an organisation that is short.
#[derive(Clone, Copy, Debug)]
struct ShortLimit {
  left: f64,
  /// Until then nothing more is admitted.
  refused_until_ms: u64,
}

/// The limits as a box that does not count sees them.
///
/// ```
/// use rillford::gateway::{LimitWay, LocalVerdict, UseLedger, UseLimit, UseVerdict};
/// let lectures = "lectures".into();
/// let limit = UseLimit { burst: 100.0, rate_per_s: 10.0 };
/// let mut ledger = UseLedger::default();
/// ledger.heard(vec![], 0);
/// let verdict = ledger.admit(&lectures, limit, 80, LimitWay::AskedWhenShort, 10, 0);
/// assert_eq!(verdict, LocalVerdict::Settled(UseVerdict::Within));
/// assert_eq!(ledger.take_untold(), vec![("lectures".into(), 80)]);
/// ledger.heard(vec![("lectures".into(), 20.0)], 100);
/// let verdict = ledger.admit(&lectures, limit, 80, LimitWay::AskedWhenShort, 10, 100);
/// assert_eq!(verdict, LocalVerdict::Ask);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UseLedger {
  untold: BTreeMap<Name, i64>,
  short: HashMap<Name, ShortLimit>,
  heard_ms: Option<u64>,
  /// Whether the boxes that count did not answer at the last try.
  is_unreached: bool,
  recent: HashMap<Name, RecentUse>,
  /// Buckets of a box that is alone, or of the way that needs no others.
  own: HashMap<Name, OwnPart>,
}

/// A box's own part of a limit.
#[derive(Clone, Copy, Debug)]
struct OwnPart {
  part: UseLimit,
  bucket: UseBucket,
}

impl UseLedger {
  /// Decides on a request of an organisation, and notes it when it is within the limit.
  pub fn admit(
    &mut self,
    organisation: &Name,
    limit: UseLimit,
    units: u64,
    way: LimitWay,
    boxes: usize,
    now_ms: u64,
  ) -> LocalVerdict {
    // A box that has just started is not alone yet.
    if way == LimitWay::AskedWhenShort && self.heard_ms.is_none() && !self.is_unreached {
      return LocalVerdict::Ask;
    }
    if way == LimitWay::EvenParts || self.is_alone(now_ms) {
      let verdict = self.admit_by_part(organisation, limit, units, way, boxes, now_ms);
      return LocalVerdict::Settled(verdict);
    }
    self.own.remove(organisation);
    let verdict = match self.short.get(organisation) {
      None
        if way == LimitWay::AskedWhenShort && self.has_much_untold(organisation, limit, units) =>
      {
        LocalVerdict::Ask
      }
      None => LocalVerdict::Settled(UseVerdict::Within),
      Some(short) if now_ms < short.refused_until_ms => LocalVerdict::Settled(UseVerdict::Beyond {
        left: short.left,
        wait_ms: short.refused_until_ms - now_ms,
      }),
      Some(_) if way == LimitWay::AskedWhenShort => LocalVerdict::Ask,
      Some(short) => LocalVerdict::Settled(short.verdict(limit, units)),
    };
    if verdict == LocalVerdict::Settled(UseVerdict::Within) {
      self.note(organisation, units as i64, now_ms);
    }
    verdict
  }

  /// Whether no box that counts is heard.
  pub fn is_alone(&self, now_ms: u64) -> bool {
    let heard_lately = self
      .heard_ms
      .is_some_and(|heard_ms| now_ms <= heard_ms + ALONE_MS);
    self.is_unreached || !heard_lately
  }

  /// No box that counts answers.
  pub fn note_unreached(&mut self) {
    self.is_unreached = true;
  }

  /// Whether a request comes on top of so much that others have not heard of that it is asked for.
  fn has_much_untold(&self, organisation: &Name, limit: UseLimit, units: u64) -> bool {
    let untold = self.untold.get(organisation).copied().unwrap_or(0);
    untold > 0 && untold as f64 + units as f64 > limit.burst * UNTOLD_SHARE
  }

  /// How old what it knows is; nothing when it knows nothing.
  pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
    self
      .heard_ms
      .map(|heard_ms| now_ms.saturating_sub(heard_ms))
  }

  /// Notes units that were admitted here, or given back when there are less than none.
  pub fn note(&mut self, organisation: &Name, units: i64, now_ms: u64) {
    *self.untold.entry(organisation.clone()).or_default() += units;
    if let Some(short) = self.short.get_mut(organisation) {
      short.left -= units as f64;
    }
    self.note_recent(organisation, units as f64, now_ms);
  }

  /// A box that counts has admitted a request of this box.
  pub fn note_counted(&mut self, organisation: &Name, units: u64, now_ms: u64) {
    self.note_recent(organisation, units as f64, now_ms);
  }

  /// A box that counts has refused a request of this box.
  pub fn note_refused(&mut self, organisation: &Name, left: f64, wait_ms: u64, now_ms: u64) {
    let refused = ShortLimit {
      left,
      refused_until_ms: now_ms + wait_ms.min(REFUSED_MS),
    };
    self.short.insert(organisation.clone(), refused);
  }

  /// A box that counts has told which organisations are short.
  pub fn heard(&mut self, short: Vec<(Name, f64)>, now_ms: u64) {
    self.heard_ms = Some(now_ms);
    self.is_unreached = false;
    let before = std::mem::take(&mut self.short);
    for (name, left) in short {
      let refused_until_ms = before.get(&name).map_or(0, |known| known.refused_until_ms);
      let limit = ShortLimit {
        left,
        refused_until_ms,
      };
      self.short.insert(name, limit);
    }
  }

  /// Whether there is something to tell, or to hear soon.
  pub fn is_busy(&self) -> bool {
    !self.untold.is_empty() || !self.short.is_empty()
  }

  /// What has not been told yet; the caller gives it back by [`Self::untell`] when it can't be told.
  pub fn take_untold(&mut self) -> Vec<(Name, i64)> {
    std::mem::take(&mut self.untold).into_iter().collect()
  }

  /// What was taken to be told was not heard.
  pub fn untell(&mut self, untold: Vec<(Name, i64)>) {
    for (name, units) in untold {
      *self.untold.entry(name).or_default() += units;
    }
  }

  fn note_recent(&mut self, organisation: &Name, units: f64, now_ms: u64) {
    let recent = self.recent.entry(organisation.clone()).or_default();
    recent.note(units, now_ms);
  }

  /// Decides without any other box, when none answers.
  pub fn admit_alone(
    &mut self,
    organisation: &Name,
    limit: UseLimit,
    units: u64,
    boxes: usize,
    now_ms: u64,
  ) -> UseVerdict {
    let way = LimitWay::AskedWhenShort;
    self.admit_by_part(organisation, limit, units, way, boxes, now_ms)
  }

  /// Decides by this box's own part of the limit, which is fixed when it is first needed.
  fn admit_by_part(
    &mut self,
    organisation: &Name,
    limit: UseLimit,
    units: u64,
    way: LimitWay,
    boxes: usize,
    now_ms: u64,
  ) -> UseVerdict {
    let part = self.own_part(organisation, limit, units, way, boxes, now_ms);
    let bucket = &mut part.bucket;
    // Where the part is smaller than a request, one goes when the bucket is full.
    let wanted = (units as f64).min(part.part.burst);
    let left = bucket.left(part.part, now_ms);
    if left < wanted {
      let wait_ms = bucket.wait_ms(part.part, wanted, now_ms);
      return UseVerdict::Beyond { left, wait_ms };
    }
    bucket.charge(part.part, units as f64);
    UseVerdict::Within
  }

  fn own_part(
    &mut self,
    organisation: &Name,
    limit: UseLimit,
    units: u64,
    way: LimitWay,
    boxes: usize,
    now_ms: u64,
  ) -> &mut OwnPart {
    let even = 1.0 / boxes.max(1) as f64;
    let before = self.recent.get(organisation);
    let rate_per_s = match (way, before) {
      (LimitWay::EvenParts, _) | (_, None) => limit.rate_per_s * even,
      (_, Some(before)) => {
        let as_before = before.per_s(now_ms) * ALONE_FACTOR;
        as_before.clamp(limit.rate_per_s * even, limit.rate_per_s)
      }
    };
    let least_burst = (units * LEAST_BURST_REQUESTS) as f64;
    let part = UseLimit {
      burst: (limit.burst * rate_per_s / limit.rate_per_s).max(least_burst),
      rate_per_s,
    };
    let fresh = OwnPart {
      bucket: UseBucket::full(part, now_ms),
      part,
    };
    let own = self.own.entry(organisation.clone()).or_insert(fresh);
    if way == LimitWay::EvenParts && own.part != part {
      own.bucket.change(own.part, part, now_ms);
      own.part = part;
    }
    own
  }
}

impl ShortLimit {
  /// Whether a request is within what was left when it was heard, less what was admitted since.
  fn verdict(&self, limit: UseLimit, units: u64) -> UseVerdict {
    let wanted = (units as f64).min(limit.burst);
    if self.left >= wanted {
      return UseVerdict::Within;
    }
    let missing_s = (wanted - self.left) / limit.rate_per_s;
    UseVerdict::Beyond {
      left: self.left,
      wait_ms: (missing_s * 1_000.0) as u64,
    }
  }
}
