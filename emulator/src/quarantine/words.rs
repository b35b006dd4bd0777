//! What boxes of a replay of crashes tell each other by the store, and how long that takes.

use {
  super::{event::Event, replay::CrashReplay},
  rand::RngExt,
  rillford::gateway::{Fingerprint, QuarantineKey, QuarantineStrategy},
};

/// First ends are gathered over this time for each box.
const GATHER_MS_PER_BOX: u64 = 4;

impl CrashReplay {
  /// A box saw an end, and tells the others.
  pub(super) fn note_end(&mut self, at: usize, key: QuarantineKey, now_ms: u64) {
    if self.way == QuarantineStrategy::Off || !self.books[at].record(key, now_ms) {
      return;
    }
    self.note_book(at);
    if self.way == QuarantineStrategy::OwnBox {
      return;
    }
    let is_first = self.books[at].counts(key.fingerprint).0 == 1;
    let gather_ms = if is_first {
      GATHER_MS_PER_BOX * self.fleet.boxes as u64
    } else {
      0
    };
    if self.written.insert((at, now_ms + gather_ms)) {
      self.figures.store_calls += 1;
    }
    self.stored.insert(key);
    self.tell(at, key, gather_ms, now_ms);
  }

  /// A mark reaches all other boxes by the store.
  pub(super) fn tell(&mut self, from: usize, key: QuarantineKey, gather_ms: u64, now_ms: u64) {
    for at in (0..self.fleet.boxes).filter(|at| *at != from) {
      let at_ms = self.heard_ms(gather_ms, now_ms);
      self.queue.put(at_ms, Event::Hears { at, key });
    }
  }

  pub(super) fn tell_clear(
    &mut self,
    from: usize,
    fingerprint: Fingerprint,
    cleared: &[QuarantineKey],
    now_ms: u64,
  ) {
    if self.way != QuarantineStrategy::Shared {
      return;
    }
    self.figures.store_calls += 1;
    for key in cleared {
      self.stored.remove(key);
    }
    for at in (0..self.fleet.boxes).filter(|at| *at != from) {
      let at_ms = self.heard_ms(0, now_ms);
      self.queue.put(at_ms, Event::HearsClear { at, fingerprint });
    }
  }

  /// When a box hears of what is told now.
  fn heard_ms(&mut self, gather_ms: u64, now_ms: u64) -> u64 {
    let told_ms = self.pattern.store_back_ms(now_ms).unwrap_or(now_ms) + gather_ms;
    let word_ms = self.pattern.word_ms();
    told_ms + self.words.random_range(word_ms / 2..=word_ms * 2)
  }
}
