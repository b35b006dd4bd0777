//! Quarantine marks that boxes share through the store, with their delays.

use {
  super::{event::Event, replay::CrashReplay},
  rand::RngExt,
  rillford::gateway::{Fingerprint, QuarantineKey, QuarantineStrategy},
};

/// Time per box over which a box batches its first marks of requests into one write.
const BATCH_MS_PER_BOX: u64 = 4;

impl CrashReplay {
  /// Records a crash at the box that saw it, and announces it to the others. First marks of segments are not batched.
  pub(super) fn record_crash(
    &mut self,
    at: usize,
    key: QuarantineKey,
    is_segment: bool,
    now_ms: u64,
  ) {
    if self.strategy == QuarantineStrategy::Off || !self.registries[at].record(key, now_ms) {
      return;
    }
    self.record_registry_size(at);
    self.figures.segment_marks += u32::from(is_segment);
    if self.strategy == QuarantineStrategy::OwnBox {
      return;
    }
    let is_first = self.registries[at].counts(key.fingerprint).0 == 1;
    let batch_ms = if is_first && !is_segment {
      BATCH_MS_PER_BOX * self.fleet.boxes as u64
    } else {
      0
    };
    if self.written.insert((at, now_ms + batch_ms)) {
      self.figures.store_calls += 1;
    }
    self.stored.insert(key);
    self.announce(at, key, batch_ms, now_ms);
  }

  /// Announces a mark to all other boxes through the store.
  pub(super) fn announce(&mut self, from: usize, key: QuarantineKey, batch_ms: u64, now_ms: u64) {
    for at in (0..self.fleet.boxes).filter(|at| *at != from) {
      let at_ms = self.received_ms(batch_ms, now_ms);
      self.queue.put(at_ms, Event::MarkReceived { at, key });
    }
  }

  pub(super) fn announce_clear(
    &mut self,
    from: usize,
    fingerprint: Fingerprint,
    cleared: &[QuarantineKey],
    now_ms: u64,
  ) {
    if self.strategy != QuarantineStrategy::Shared {
      return;
    }
    self.figures.store_calls += 1;
    for key in cleared {
      self.stored.remove(key);
    }
    for at in (0..self.fleet.boxes).filter(|at| *at != from) {
      let at_ms = self.received_ms(0, now_ms);
      self
        .queue
        .put(at_ms, Event::ClearReceived { at, fingerprint });
    }
  }

  /// Draws the time at which a box receives an announcement that is made now.
  fn received_ms(&mut self, batch_ms: u64, now_ms: u64) -> u64 {
    let written_ms = self.pattern.store_outage_end_ms(now_ms).unwrap_or(now_ms) + batch_ms;
    let delay_ms = self.pattern.store_delay_ms();
    written_ms + self.delay_random.random_range(delay_ms / 2..=delay_ms * 2)
  }
}
