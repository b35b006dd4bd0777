//! The request rates that endpoints advertise as their limit over all boxes. Free of I/O.
//!
//! Load pattern: an overloaded endpoint advertises less than one request per second per box, changes the value with each
//! response, and responses to different boxes overtake each other. The most recent value that can be ordered wins, whichever
//! box received it.

use {
  crate::{
    gateway::edge::{EndpointEntry, LimitHeader},
    ids::Name,
  },
  std::collections::HashMap,
};

/// A limit that only some responses repeat stays in force for this long after each of them.
const MIN_HOLD_MS: u64 = 1_000;
/// A limit is evicted after this time without a response of the endpoint.
const RETENTION_MS: u64 = 10 * 60 * 1_000;

/// Where a limit comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitSource {
  /// A response of the endpoint to this box.
  Answer,
  /// A report of another box.
  Box,
  /// The configured rate of a cold endpoint.
  Cold,
}
/// The limit that an endpoint advertised last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedLimit {
  /// Requests per second over all boxes; `None` once the endpoint advertises no limit.
  pub per_s: Option<f64>,
  /// When a box received it.
  pub received_ms: u64,
  /// Where it comes from.
  pub source: LimitSource,
}

impl AdvertisedLimit {
  /// The rate, infinite without a limit.
  pub(super) fn per_s_or_infinite(&self) -> f64 {
    self.per_s.unwrap_or(f64::INFINITY)
  }
}

/// How an endpoint's limit changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
  /// It did not.
  Unchanged,
  /// It advertises a limit, and did not before.
  Started,
  /// Its limit changed from this rate.
  Changed(f64),
  /// It no longer advertises a limit.
  Ended,
}

/// What one incarnation of an endpoint advertised.
#[derive(Clone, Debug)]
struct Record {
  started_ms: Option<u64>,
  limit: AdvertisedLimit,
  /// When a response last had a limit.
  named_ms: u64,
}

/// The advertised limits by endpoint id; those of an earlier incarnation are ignored.
#[derive(Debug, Default)]
pub struct AdvertisedLimits {
  records: HashMap<Name, Record>,
}

impl AdvertisedLimits {
  /// Whether no endpoint has advertised a limit.
  pub fn is_empty(&self) -> bool {
    self.records.is_empty()
  }

  /// What an incarnation of an endpoint advertised last.
  pub fn advertised(&self, entry: &EndpointEntry) -> Option<AdvertisedLimit> {
    self.advertised_by(&entry.id, entry.started_ms)
  }

  /// Like [`advertised`](Self::advertised), for an incarnation that may be unlisted.
  pub fn advertised_by(&self, id: &str, started_ms: Option<u64>) -> Option<AdvertisedLimit> {
    self.record(id, started_ms).map(|record| record.limit)
  }

  /// The rate that an incarnation of an endpoint advertises.
  pub fn per_s(&self, entry: &EndpointEntry) -> Option<f64> {
    self.advertised(entry)?.per_s
  }

  /// Applies the limit in a response to a request that was sent at `sent_ms`.
  pub fn record_response(
    &mut self,
    entry: &EndpointEntry,
    limit: LimitHeader,
    sent_ms: u64,
    now_ms: u64,
  ) -> LimitChange {
    let before = self.record(&entry.id, entry.started_ms).cloned();
    let per_s = match (limit, before) {
      (LimitHeader::Unreadable, _) | (LimitHeader::Absent, None) => return LimitChange::Unchanged,
      (LimitHeader::Absent, Some(before)) if !before.may_be_ended(sent_ms, now_ms) => {
        return LimitChange::Unchanged;
      }
      (LimitHeader::Absent, Some(_)) => None,
      // The requests overlapped, so the order of the responses is unknown: the lower limit applies.
      (LimitHeader::PerSecond(per_s), Some(before)) if sent_ms < before.limit.received_ms => {
        Some(before.limit.per_s.map_or(per_s, |known| known.min(per_s)))
      }
      (LimitHeader::PerSecond(per_s), _) => Some(per_s),
    };
    let limit = AdvertisedLimit {
      received_ms: now_ms,
      per_s,
      source: LimitSource::Answer,
    };
    self.put(&entry.id, entry.started_ms, limit)
  }

  /// Applies a limit that another box reported, if it is newer.
  pub fn record_reported(
    &mut self,
    id: &Name,
    started_ms: Option<u64>,
    limit: AdvertisedLimit,
  ) -> LimitChange {
    let is_newer = self
      .record(id, started_ms)
      .is_none_or(|record| limit.received_ms > record.limit.received_ms);
    if !is_newer {
      return LimitChange::Unchanged;
    }
    self.put(id, started_ms, limit)
  }

  /// Evicts limits that were not received again within the retention period.
  pub fn expire(&mut self, now_ms: u64) {
    self
      .records
      .retain(|_, record| now_ms < record.limit.received_ms + RETENTION_MS);
  }

  /// The endpoints that advertise a limit, with it.
  pub fn named(&self) -> impl Iterator<Item = (&Name, AdvertisedLimit)> {
    let limits = self.records.iter().map(|(id, record)| (id, record.limit));
    limits.filter(|(_, limit)| limit.per_s.is_some())
  }

  fn record(&self, id: &str, started_ms: Option<u64>) -> Option<&Record> {
    self
      .records
      .get(id)
      .filter(|record| record.started_ms == started_ms)
  }

  fn put(&mut self, id: &Name, started_ms: Option<u64>, limit: AdvertisedLimit) -> LimitChange {
    let before = self.record(id, started_ms);
    let named_ms = match (limit.per_s, before) {
      (None, Some(before)) => before.named_ms,
      _ => limit.received_ms,
    };
    let change = LimitChange::between(before.and_then(|record| record.limit.per_s), limit.per_s);
    let record = Record {
      started_ms,
      limit,
      named_ms,
    };
    self.records.insert(id.clone(), record);
    change
  }
}

impl LimitChange {
  fn between(before: Option<f64>, after: Option<f64>) -> Self {
    match (before, after) {
      (None, None) => Self::Unchanged,
      (None, Some(_)) => Self::Started,
      (Some(_), None) => Self::Ended,
      (Some(before), Some(after)) if before == after => Self::Unchanged,
      (Some(before), Some(_)) => Self::Changed(before),
    }
  }
}

impl Record {
  /// Whether a response without a limit ends it: it was sent after the limit was received, and the hold time has passed.
  fn may_be_ended(&self, sent_ms: u64, now_ms: u64) -> bool {
    sent_ms > self.named_ms && now_ms >= self.named_ms + MIN_HOLD_MS
  }
}
