//! What a home box has granted on one decode engine: slots, and windows of its link.

use {
  super::{LinkWindows, SlotRequest},
  crate::ids::{AttemptId, Name},
  std::collections::{BTreeMap, VecDeque},
};

const LOST_RELEASE_FACTOR: u64 = 3;
const RESERVATION_SLACK_MS: u64 = 2_000;

#[derive(Clone, Debug)]
struct Grant {
  ready_at_ms: u64,
  expected_end_ms: u64,
  expires_at_ms: u64,
}

/// What the home knows of the engine at the time of an request.
#[derive(Clone, Copy, Debug)]
pub struct EngineView {
  /// Seats that the engine has.
  pub slots: u32,
  /// Seats taken by its last report.
  pub reported_slots: u32,
  /// Rate of its link.
  pub link_bytes_per_s: u64,
  /// From 0 (count on every expected end) to 1 (count on none).
  pub certainty: f64,
}

/// The home's decision on one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotDecision {
  /// Reserved; the transfer has to wait so long beyond the time asked for.
  Granted {
    /// The wait.
    link_wait_ms: u64,
  },
  /// No seat is expected to be free in time.
  Full,
}

/// The grants on one decode engine. A hint that saves waste; the engine itself has the last word.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
  grants: BTreeMap<AttemptId, Grant>,
  windows: LinkWindows,
  rejected: VecDeque<Name>,
}

impl SlotTable {
  /// Decides on an request. The same attempt asked twice has one grant.
  pub fn request_slot(
    &mut self,
    now_ms: u64,
    request: &SlotRequest,
    engine: EngineView,
  ) -> SlotDecision {
    self.expire(now_ms);
    self.grants.remove(&request.attempt);
    let ready_at_ms = now_ms + request.ready_in_ms;
    let held = u32::try_from(self.grants.len())
      .unwrap_or(u32::MAX)
      .max(engine.reported_slots);
    let ending = self.count_ending_by(ready_at_ms);
    let expected_free = (f64::from(ending) * (1.0 - engine.certainty)).floor() as u32;
    if held >= engine.slots.saturating_add(expected_free) {
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

  /// Takes a seat back; answers which box to tell that a seat is free.
  pub fn release(&mut self, attempt: &AttemptId) -> Option<Name> {
    self.grants.remove(attempt)?;
    self.rejected.pop_front()
  }

  /// Drops the grants of a box that is gone.
  pub fn remove_box(&mut self, box_name: &Name, incarnation: u64) {
    self
      .grants
      .retain(|attempt, _| attempt.box_name != *box_name || attempt.incarnation > incarnation);
    self.rejected.retain(|name| name != box_name);
  }

  /// The number of grants.
  pub fn len(&self) -> usize {
    self.grants.len()
  }

  /// Whether nothing is granted.
  pub fn is_empty(&self) -> bool {
    self.grants.is_empty()
  }

  /// Grants that lapsed without a return are dropped.
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
