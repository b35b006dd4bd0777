//! The slots and link windows of one decode engine that its owner has granted.

use {
  super::{LinkWindows, SlotRequest},
  crate::ids::{AttemptId, Name},
  std::collections::{BTreeMap, VecDeque},
};

/// A grant whose release was lost expires after this multiple of its expected time.
const LOST_RELEASE_FACTOR: u64 = 3;
const RESERVATION_SLACK_MS: u64 = 2_000;

#[derive(Clone, Debug)]
struct Grant {
  ready_at_ms: u64,
  expected_end_ms: u64,
  expires_at_ms: u64,
}

/// State of the engine at the time of a request.
#[derive(Clone, Copy, Debug)]
pub struct EngineView {
  pub slots: u32,
  /// Slots in use by its last report.
  pub reported_slots: u32,
  pub link_bytes_per_s: u64,
  /// From 0 (count on every expected end of a grant) to 1 (count only on slots that are free now).
  pub certainty: f64,
}

/// The owner's decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotDecision {
  /// A slot and a link window are reserved.
  Granted {
    /// Wait for the link window after the requested time.
    link_wait_ms: u64,
  },
  /// No slot is expected to be free in time.
  Full,
}

/// The grants on one decode engine. They only save wasted prefill: the engine itself still rejects work when it is full.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
  grants: BTreeMap<AttemptId, Grant>,
  windows: LinkWindows,
  /// Boxes to notify, one for each slot that becomes free.
  rejected: VecDeque<Name>,
}

impl SlotTable {
  /// Decides on a request. An attempt that requests twice has one grant.
  pub fn request_slot(
    &mut self,
    now_ms: u64,
    request: &SlotRequest,
    engine: EngineView,
  ) -> SlotDecision {
    self.expire(now_ms);
    self.grants.remove(&request.attempt);
    let ready_at_ms = now_ms + request.ready_in_ms;
    let in_use = u32::try_from(self.grants.len())
      .unwrap_or(u32::MAX)
      .max(engine.reported_slots);
    let ending = self.count_ending_by(ready_at_ms);
    let expected_free = (f64::from(ending) * (1.0 - engine.certainty)).floor() as u32;
    if in_use >= engine.slots.saturating_add(expected_free) {
      self.record_rejected(&request.attempt.box_name);
      return SlotDecision::Full;
    }
    let transfer_ms = request.kv_bytes * 1_000 / engine.link_bytes_per_s.max(1);
    let link_wait_ms = self.windows.reserve(now_ms, ready_at_ms, transfer_ms) - ready_at_ms;
    let expected_end_ms = ready_at_ms + link_wait_ms + request.hold_ms;
    self.grants.insert(
      request.attempt.clone(),
      Grant {
        expected_end_ms,
        expires_at_ms: ready_at_ms
          + link_wait_ms
          + RESERVATION_SLACK_MS
          + request.hold_ms * LOST_RELEASE_FACTOR,
        ready_at_ms,
      },
    );
    SlotDecision::Granted { link_wait_ms }
  }

  /// Releases a slot; returns the box to notify that a slot is free.
  pub fn release(&mut self, attempt: &AttemptId) -> Option<Name> {
    self.grants.remove(attempt)?;
    self.rejected.pop_front()
  }

  /// Removes the grants of a lost box up to this incarnation.
  pub fn remove_box(&mut self, box_name: &Name, incarnation: u64) {
    self
      .grants
      .retain(|attempt, _| attempt.box_name != *box_name || attempt.incarnation > incarnation);
    self.rejected.retain(|name| name != box_name);
  }

  pub fn len(&self) -> usize {
    self.grants.len()
  }

  pub fn is_empty(&self) -> bool {
    self.grants.is_empty()
  }

  /// Removes grants that have expired without a release.
  pub fn expire(&mut self, now_ms: u64) {
    self.grants.retain(|_, grant| grant.expires_at_ms > now_ms);
  }

  fn count_ending_by(&self, time_ms: u64) -> u32 {
    let ending = self
      .grants
      .values()
      .filter(|grant| grant.expected_end_ms <= time_ms && grant.ready_at_ms <= time_ms)
      .count();
    u32::try_from(ending).unwrap_or(u32::MAX)
  }

  fn record_rejected(&mut self, box_name: &Name) {
    if !self.rejected.contains(box_name) {
      self.rejected.push_back(box_name.clone());
    }
  }
}
