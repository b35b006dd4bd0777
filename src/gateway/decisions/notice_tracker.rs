//! What endpoints signal about themselves in their responses. Free of I/O.
//!
//! Load pattern: an endpoint rejects everything within a millisecond, so it looks the least busy and is chosen again and
//! again; or it leaves while the store, which lists it as ready, is unreachable.

use {
  crate::{
    gateway::edge::{EndpointEntry, EndpointNotice},
    ids::Name,
  },
  std::collections::HashMap,
};

/// Longest backoff honoured: an endpoint that asks for hours by mistake is probed after this.
const MAX_BACKOFF_MS: u64 = 5 * 60 * 1_000;
/// An endpoint that signalled that it leaves is readmitted when the store, in contact all the while, has listed it as ready
/// for this long: heartbeats and delayed writes arrive within about eleven seconds, and an entry without heartbeats expires.
const CONTRADICTION_TIMEOUT_MS: u64 = 15 * 1_000;
/// Without contact to the store an endpoint counts as leaving for this long; by then it has exited, or the signal was wrong.
const MAX_LEAVING_MS: u64 = 10 * 60 * 1_000;

/// A probe that is not answered within this time may be followed by another.
const PROBE_TIMEOUT_MS: u64 = 500;

/// Whether an endpoint accepts work, according to its own signals.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
  /// It signalled nothing else.
  Available,
  /// Its backoff has passed, and it has not accepted work since.
  Probing {
    /// When it asked for the backoff.
    requested_ms: u64,
    /// Whether a probe is in flight; other requests go elsewhere until it is answered.
    is_sent: bool,
  },
  /// It asked for a backoff that has not passed.
  BackingOff {
    /// When it asked for the backoff.
    requested_ms: u64,
    /// When the backoff ends.
    until_ms: u64,
  },
  /// It is leaving.
  Leaving {
    /// When it last signalled that.
    signalled_ms: u64,
  },
}

impl Availability {
  /// Whether a probe is in flight.
  pub fn is_probe_in_flight(self) -> bool {
    matches!(self, Self::Probing { is_sent: true, .. })
  }
}

/// What a notice changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NoticeChange {
  /// Whether the endpoint is leaving, and was not before.
  pub starts_leaving: bool,
  /// The end of the backoff that starts, if one does.
  pub backoff_until_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
  requested_ms: u64,
  until_ms: u64,
  /// When the last probe was sent.
  probed_ms: Option<u64>,
}

/// What one incarnation of an endpoint signalled.
#[derive(Clone, Copy, Debug)]
struct Signals {
  started_ms: Option<u64>,
  leaving_signalled_ms: Option<u64>,
  backoff: Option<Backoff>,
}

/// What endpoints signalled, by id; signals of an earlier incarnation are ignored.
#[derive(Debug, Default)]
pub struct NoticeTracker {
  signals: HashMap<Name, Signals>,
}

impl NoticeTracker {
  /// Whether no signal is in force.
  pub fn is_empty(&self) -> bool {
    self.signals.is_empty()
  }

  /// Records a notice from a response of an incarnation of an endpoint.
  pub fn record(
    &mut self,
    entry: &EndpointEntry,
    notice: &EndpointNotice,
    now_ms: u64,
  ) -> NoticeChange {
    if !notice.leaving && notice.backoff_ms.is_none_or(|pause_ms| pause_ms == 0) {
      return NoticeChange::default();
    }
    let before = self.availability(entry, now_ms);
    let signals = self
      .signals
      .entry(entry.id.clone())
      .or_insert(Signals::new(entry));
    if signals.started_ms != entry.started_ms {
      *signals = Signals::new(entry);
    }
    if notice.leaving {
      signals.leaving_signalled_ms = Some(now_ms);
    }
    if let Some(pause_ms) = notice.backoff_ms {
      signals.back_off(pause_ms, now_ms);
    }
    NoticeChange::between(before, self.availability(entry, now_ms))
  }

  /// Whether an incarnation of an endpoint accepts work.
  pub fn availability(&self, entry: &EndpointEntry, now_ms: u64) -> Availability {
    let signals = self
      .signals
      .get(&entry.id)
      .filter(|signals| signals.started_ms == entry.started_ms);
    match signals {
      Some(Signals {
        leaving_signalled_ms: Some(signalled_ms),
        ..
      }) => Availability::Leaving {
        signalled_ms: *signalled_ms,
      },
      Some(Signals {
        backoff: Some(backoff),
        ..
      }) => backoff.availability(now_ms),
      _ => Availability::Available,
    }
  }

  /// Records a send after a backoff; returns when the endpoint asked for the backoff if this is the first probe.
  pub fn record_probe(&mut self, id: &str, now_ms: u64) -> Option<u64> {
    let backoff = self.signals.get_mut(id)?.backoff.as_mut()?;
    if now_ms < backoff.until_ms {
      return None;
    }
    let is_first = backoff.probed_ms.is_none();
    backoff.probed_ms = Some(now_ms);
    is_first.then_some(backoff.requested_ms)
  }

  /// Ends the backoff of an endpoint that accepted work.
  pub fn record_accepted(&mut self, id: &str, now_ms: u64) {
    if let Some(signals) = self.signals.get_mut(id) {
      signals.backoff = signals.backoff.filter(|backoff| now_ms < backoff.until_ms);
    }
  }

  /// Evicts expired signals; returns the endpoints that are readmitted although they signalled that they leave.
  /// `store_since_ms` is the start of the uninterrupted contact with the store, `entry` what the store lists.
  pub fn expire<'a>(
    &mut self,
    store_since_ms: Option<u64>,
    entry: impl Fn(&str) -> Option<&'a EndpointEntry>,
    now_ms: u64,
  ) -> Vec<Name> {
    let mut readmitted = Vec::new();
    for (id, signals) in &mut self.signals {
      let lists_ready =
        entry(id).is_some_and(|entry| !entry.leaving && entry.started_ms == signals.started_ms);
      let ready_since_ms = store_since_ms.filter(|_| lists_ready);
      if signals.is_mistaken(ready_since_ms, now_ms) {
        signals.leaving_signalled_ms = None;
        readmitted.push(id.clone());
      }
    }
    self.signals.retain(|_, signals| signals.is_current(now_ms));
    readmitted
  }
}

impl NoticeChange {
  fn between(before: Availability, after: Availability) -> Self {
    let was_backing_off = matches!(before, Availability::BackingOff { .. });
    Self {
      starts_leaving: matches!(after, Availability::Leaving { .. })
        && !matches!(before, Availability::Leaving { .. }),
      backoff_until_ms: match after {
        Availability::BackingOff { until_ms, .. } if !was_backing_off => Some(until_ms),
        _ => None,
      },
    }
  }
}

impl Backoff {
  fn availability(self, now_ms: u64) -> Availability {
    let Self {
      requested_ms,
      until_ms,
      ..
    } = self;
    if now_ms < until_ms {
      return Availability::BackingOff {
        requested_ms,
        until_ms,
      };
    }
    let is_sent = self
      .probed_ms
      .is_some_and(|probed_ms| now_ms < probed_ms + PROBE_TIMEOUT_MS);
    Availability::Probing {
      requested_ms,
      is_sent,
    }
  }
}

impl Signals {
  fn new(entry: &EndpointEntry) -> Self {
    Self {
      started_ms: entry.started_ms,
      leaving_signalled_ms: None,
      backoff: None,
    }
  }

  /// Applies a requested backoff; the one that ends last wins.
  fn back_off(&mut self, pause_ms: u64, now_ms: u64) {
    let until_ms = now_ms + pause_ms.min(MAX_BACKOFF_MS);
    if self
      .backoff
      .is_none_or(|backoff| backoff.until_ms < until_ms)
    {
      self.backoff = Some(Backoff {
        requested_ms: now_ms,
        probed_ms: None,
        until_ms,
      });
    }
  }

  /// Whether the signal that it leaves proved wrong.
  fn is_mistaken(&self, ready_since_ms: Option<u64>, now_ms: u64) -> bool {
    let Some(signalled_ms) = self.leaving_signalled_ms else {
      return false;
    };
    let is_contradicted = ready_since_ms
      .is_some_and(|since_ms| now_ms > since_ms.max(signalled_ms) + CONTRADICTION_TIMEOUT_MS);
    is_contradicted || now_ms > signalled_ms + MAX_LEAVING_MS
  }

  fn is_current(&self, now_ms: u64) -> bool {
    let is_backing_off = self
      .backoff
      .is_some_and(|backoff| now_ms < backoff.until_ms + MAX_BACKOFF_MS);
    self.leaving_signalled_ms.is_some() || is_backing_off
  }
}
