//! What endpoints have said of themselves in their answers. Free of I/O.
//!
//! Load pattern: one of a few endpoints turns away all that comes, within a millisecond, so it looks the least busy of them
//! and is chosen again and again; or it leaves while the store, which lists it as ready, is away.

use {
  crate::{
    gateway::edge::{EndpointEntry, EndpointNotice},
    ids::Name,
  },
  std::collections::HashMap,
};

/// The longest pause that is kept at one word: an endpoint that asks for hours by mistake is asked again after this.
const MOST_PAUSE_MS: u64 = 5 * 60 * 1_000;
/// An endpoint that has said that it leaves is taken back when the store, heard all the while, has listed it as ready for so
/// long: its heartbeats and late writes reach the store within some eleven seconds, and an entry without heartbeats goes.
const CONTRADICTED_MS: u64 = 15 * 1_000;
/// Without the store's word an endpoint counts as leaving for so long; by then it has ended, unless it was mistaken.
const MOST_LEAVING_MS: u64 = 10 * 60 * 1_000;

/// What is sent first after a pause is answered within this time, or something else may be tried.
const TRIAL_MS: u64 = 500;

/// Whether an endpoint may be sent work, by its own word.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
  /// It has said nothing against it.
  Open,
  /// The pause that it wanted has ended, and it has not taken work since.
  OnTrial {
    /// When it asked for the pause.
    asked_ms: u64,
    /// Whether something was sent there just now: whatever else there is goes elsewhere until that is answered.
    is_taken: bool,
  },
  /// It wants no work for now.
  Pausing {
    /// When it asked for the pause.
    asked_ms: u64,
    /// When the pause ends.
    until_ms: u64,
  },
  /// It leaves.
  Leaving {
    /// When it last said so.
    said_ms: u64,
  },
}

impl Availability {
  /// Whether its first request after a pause is on its way.
  pub fn is_being_tried(self) -> bool {
    matches!(self, Self::OnTrial { is_taken: true, .. })
  }
}

/// What is new in a notice.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NoticeNews {
  /// It was not known that the endpoint leaves.
  pub leaves: bool,
  /// A pause begins, and ends at this time.
  pub pauses_until_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
  asked_ms: u64,
  until_ms: u64,
  /// Since when the first request after it is on its way.
  tried_ms: Option<u64>,
}

/// What one life of an endpoint has said.
#[derive(Clone, Copy, Debug)]
struct Noted {
  started_ms: Option<u64>,
  leaving_said_ms: Option<u64>,
  pause: Option<Pause>,
}

/// What endpoints have said of themselves, by id; the word of an earlier life counts for nothing.
#[derive(Debug, Default)]
pub struct NoticeBook {
  noted: HashMap<Name, Noted>,
}

impl NoticeBook {
  /// Whether nothing that was said counts any more.
  pub fn is_empty(&self) -> bool {
    self.noted.is_empty()
  }

  /// Takes over what a life of an endpoint said in an answer.
  pub fn note(
    &mut self,
    entry: &EndpointEntry,
    notice: &EndpointNotice,
    now_ms: u64,
  ) -> NoticeNews {
    if !notice.leaving && notice.backoff_ms.is_none_or(|pause_ms| pause_ms == 0) {
      return NoticeNews::default();
    }
    let before = self.availability(entry, now_ms);
    let noted = self
      .noted
      .entry(entry.id.clone())
      .or_insert(Noted::new(entry));
    if noted.started_ms != entry.started_ms {
      *noted = Noted::new(entry);
    }
    if notice.leaving {
      noted.leaving_said_ms = Some(now_ms);
    }
    if let Some(pause_ms) = notice.backoff_ms {
      noted.pause(pause_ms, now_ms);
    }
    NoticeNews::between(before, self.availability(entry, now_ms))
  }

  /// Whether a life of an endpoint may be sent work.
  pub fn availability(&self, entry: &EndpointEntry, now_ms: u64) -> Availability {
    let noted = self
      .noted
      .get(&entry.id)
      .filter(|noted| noted.started_ms == entry.started_ms);
    match noted {
      Some(Noted {
        leaving_said_ms: Some(said_ms),
        ..
      }) => Availability::Leaving { said_ms: *said_ms },
      Some(Noted {
        pause: Some(pause), ..
      }) => pause.availability(now_ms),
      _ => Availability::Open,
    }
  }

  /// Something is sent to an endpoint; answers with when it asked for a pause if it is the first since the pause.
  pub fn sent(&mut self, id: &str, now_ms: u64) -> Option<u64> {
    let pause = self.noted.get_mut(id)?.pause.as_mut()?;
    if now_ms < pause.until_ms {
      return None;
    }
    let is_first = pause.tried_ms.is_none();
    pause.tried_ms = Some(now_ms);
    is_first.then_some(pause.asked_ms)
  }

  /// An endpoint took work: the pause that it wanted before is over for good.
  pub fn took_work(&mut self, id: &str, now_ms: u64) {
    if let Some(noted) = self.noted.get_mut(id) {
      noted.pause = noted.pause.filter(|pause| now_ms < pause.until_ms);
    }
  }

  /// Forgets what no longer counts; answers with the endpoints that are taken back although they said that they leave.
  /// `store_since_ms` is since when the store has been heard, `entry` what it lists.
  pub fn forget_old<'a>(
    &mut self,
    store_since_ms: Option<u64>,
    entry: impl Fn(&str) -> Option<&'a EndpointEntry>,
    now_ms: u64,
  ) -> Vec<Name> {
    let mut taken_back = Vec::new();
    for (id, noted) in &mut self.noted {
      let lists_ready =
        entry(id).is_some_and(|entry| !entry.leaving && entry.started_ms == noted.started_ms);
      let ready_since_ms = store_since_ms.filter(|_| lists_ready);
      if noted.is_mistaken(ready_since_ms, now_ms) {
        noted.leaving_said_ms = None;
        taken_back.push(id.clone());
      }
    }
    self.noted.retain(|_, noted| noted.counts(now_ms));
    taken_back
  }
}

impl NoticeNews {
  fn between(before: Availability, after: Availability) -> Self {
    let was_pausing = matches!(before, Availability::Pausing { .. });
    Self {
      leaves: matches!(after, Availability::Leaving { .. })
        && !matches!(before, Availability::Leaving { .. }),
      pauses_until_ms: match after {
        Availability::Pausing { until_ms, .. } if !was_pausing => Some(until_ms),
        _ => None,
      },
    }
  }
}

impl Pause {
  fn availability(self, now_ms: u64) -> Availability {
    let Self {
      asked_ms, until_ms, ..
    } = self;
    if now_ms < until_ms {
      return Availability::Pausing { asked_ms, until_ms };
    }
    let is_taken = self
      .tried_ms
      .is_some_and(|tried_ms| now_ms < tried_ms + TRIAL_MS);
    Availability::OnTrial { asked_ms, is_taken }
  }
}

impl Noted {
  fn new(entry: &EndpointEntry) -> Self {
    Self {
      started_ms: entry.started_ms,
      leaving_said_ms: None,
      pause: None,
    }
  }

  /// Of several pauses the one that ends last counts.
  fn pause(&mut self, pause_ms: u64, now_ms: u64) {
    let until_ms = now_ms + pause_ms.min(MOST_PAUSE_MS);
    if self.pause.is_none_or(|pause| pause.until_ms < until_ms) {
      self.pause = Some(Pause {
        asked_ms: now_ms,
        tried_ms: None,
        until_ms,
      });
    }
  }

  /// Whether it stays although it said that it leaves.
  fn is_mistaken(&self, ready_since_ms: Option<u64>, now_ms: u64) -> bool {
    let Some(said_ms) = self.leaving_said_ms else {
      return false;
    };
    let is_contradicted =
      ready_since_ms.is_some_and(|since_ms| now_ms > since_ms.max(said_ms) + CONTRADICTED_MS);
    is_contradicted || now_ms > said_ms + MOST_LEAVING_MS
  }

  fn counts(&self, now_ms: u64) -> bool {
    let pauses = self
      .pause
      .is_some_and(|pause| now_ms < pause.until_ms + MOST_PAUSE_MS);
    self.leaving_said_ms.is_some() || pauses
  }
}
