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
  crate::{gateway::edge::UsageLimit, ids::Name},
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

/// A request of an organisation that has a limit.
#[derive(Clone, Copy, Debug)]
pub struct UseRequest<'a> {
  /// The organisation.
  pub organisation: &'a Name,
  /// Its limit over all boxes.
  pub limit: UsageLimit,
  /// What the request counts.
  pub units: u64,
  /// How many boxes there are.
  pub boxes: usize,
  /// When it came.
  pub now_ms: u64,
}

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
/// use rillford::gateway::{LimitWay, LocalVerdict, UseLedger, UsageLimit, UseRequest, UseVerdict};
/// let lectures = "lectures".into();
/// let limit = UsageLimit { burst: 100.0, rate_per_s: 10.0 };
/// let mut ledger = UseLedger::default();
/// ledger.heard(vec![], 0);
/// let request = UseRequest { boxes: 10, limit, now_ms: 0, organisation: &lectures, units: 80 };
/// let verdict = ledger.admit(request, LimitWay::AskedWhenShort);
/// assert_eq!(verdict, LocalVerdict::Settled(UseVerdict::Within));
/// assert_eq!(ledger.take_untold(), vec![("lectures".into(), 80)]);
/// ledger.heard(vec![("lectures".into(), 20.0)], 100);
/// let verdict = ledger.admit(UseRequest { now_ms: 100, ..request }, LimitWay::AskedWhenShort);
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
  /// The limit that it is a part of.
  of: UsageLimit,
  part: UsageLimit,
  bucket: UseBucket,
}

impl UseLedger {
  /// Decides on a request of an organisation, and notes it when it is within the limit.
  pub fn admit(&mut self, request: UseRequest, way: LimitWay) -> LocalVerdict {
    match way {
      LimitWay::EvenParts => LocalVerdict::Settled(self.admit_by_even_part(request)),
      // A box that has just started is not alone yet.
      LimitWay::AskedWhenShort if self.heard_ms.is_none() && !self.is_unreached => {
        LocalVerdict::Ask
      }
      _ if self.is_alone(request.now_ms) => LocalVerdict::Settled(self.admit_alone(request)),
      LimitWay::ToldSums => LocalVerdict::Settled(self.admit_by_told(request)),
      LimitWay::AskedWhenShort => self.admit_or_ask(request),
    }
  }

  /// Decides by what was left when it was heard.
  fn admit_by_told(&mut self, request: UseRequest) -> UseVerdict {
    let verdict = match self.short.get(request.organisation) {
      Some(short) => short.verdict(request.limit, request.units),
      None => UseVerdict::Within,
    };
    if verdict == UseVerdict::Within {
      self.note_request(request);
    }
    verdict
  }

  /// Decides where the limit is far off, or where a refusal was heard just now.
  fn admit_or_ask(&mut self, request: UseRequest) -> LocalVerdict {
    match self.short.get(request.organisation) {
      None if self.has_much_untold(request) => LocalVerdict::Ask,
      None => {
        self.note_request(request);
        LocalVerdict::Settled(UseVerdict::Within)
      }
      Some(short) if request.now_ms < short.refused_until_ms => {
        LocalVerdict::Settled(UseVerdict::Beyond {
          left: short.left,
          wait_ms: short.refused_until_ms - request.now_ms,
        })
      }
      Some(_) => LocalVerdict::Ask,
    }
  }

  fn note_request(&mut self, request: UseRequest) {
    self.own.remove(request.organisation);
    self.note(request.organisation, request.units as i64, request.now_ms);
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
  fn has_much_untold(&self, request: UseRequest) -> bool {
    let untold = self.untold.get(request.organisation).copied().unwrap_or(0);
    untold > 0 && untold as f64 + request.units as f64 > request.limit.burst * UNTOLD_SHARE
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

  /// Decides without any other box, when none answers: by the rate that this box had, fixed when it is first needed.
  pub fn admit_alone(&mut self, request: UseRequest) -> UseVerdict {
    let UseRequest { limit, now_ms, .. } = request;
    let even = limit.rate_per_s / request.boxes.max(1) as f64;
    let before = self.recent.get(request.organisation);
    let as_before = before.map_or(0.0, |before| before.per_s(now_ms) * ALONE_FACTOR);
    let part = part_of(request, as_before.clamp(even, limit.rate_per_s));
    let own = match self.own.get(request.organisation) {
      Some(own) if own.of == limit => *own,
      _ => OwnPart::new(limit, part, now_ms),
    };
    self.take_from(own, request)
  }

  /// Decides by an even part of the limit.
  fn admit_by_even_part(&mut self, request: UseRequest) -> UseVerdict {
    let UseRequest { limit, now_ms, .. } = request;
    let part = part_of(request, limit.rate_per_s / request.boxes.max(1) as f64);
    let mut own = match self.own.get(request.organisation) {
      Some(own) => *own,
      None => OwnPart::new(limit, part, now_ms),
    };
    own.bucket.change(own.part, part, now_ms);
    own.part = part;
    self.take_from(own, request)
  }

  /// Takes a request from a part of the limit, if it is there, and keeps the part.
  fn take_from(&mut self, mut own: OwnPart, request: UseRequest) -> UseVerdict {
    let UseRequest { now_ms, units, .. } = request;
    // Where the part is smaller than a request, one goes when the bucket is full.
    let wanted = (units as f64).min(own.part.burst);
    let left = own.bucket.left(own.part, now_ms);
    let verdict = if left < wanted {
      let wait_ms = own.bucket.wait_ms(own.part, wanted, now_ms);
      UseVerdict::Beyond { left, wait_ms }
    } else {
      own.bucket.charge(own.part, units as f64);
      UseVerdict::Within
    };
    self.own.insert(request.organisation.clone(), own);
    verdict
  }
}

/// The part of a limit with a rate; it holds one request at least.
fn part_of(request: UseRequest, rate_per_s: f64) -> UsageLimit {
  let UsageLimit {
    burst,
    rate_per_s: whole_per_s,
  } = request.limit;
  UsageLimit {
    burst: (burst * rate_per_s / whole_per_s).max(request.units as f64),
    rate_per_s,
  }
}

impl OwnPart {
  fn new(of: UsageLimit, part: UsageLimit, now_ms: u64) -> Self {
    Self {
      bucket: UseBucket::full(part, now_ms),
      of,
      part,
    }
  }
}

impl ShortLimit {
  /// Whether a request is within what was left when it was heard, less what was admitted since.
  fn verdict(&self, limit: UsageLimit, units: u64) -> UseVerdict {
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
