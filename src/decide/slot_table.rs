//! What a home box has granted on one decode engine: slots, and windows of its link.

use {
  super::{LinkWindows, SlotRequest},
  crate::ids::{AttemptId, Name},
  std::collections::{BTreeMap, VecDeque},
};

const LOST_RETURN_FACTOR: u64 = 3;
const RESERVATION_SLACK_MS: u64 = 2_000;

#[derive(Clone, Debug)]
struct Grant {
  ready_at_ms: u64,
  ends_at_ms: u64,
  lapses_at_ms: u64,
}

/// What the home knows of the engine at the time of an ask.
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

/// The home's decision on one ask.
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
  refused: VecDeque<Name>,
}

impl SlotTable {
  /// Decides on an ask. The same attempt asked twice has one grant.
  pub fn ask(&mut self, now_ms: u64, ask: &SlotRequest, view: EngineView) -> SlotDecision {
    self.expire(now_ms);
    self.grants.remove(&ask.attempt);
    let ready_at_ms = now_ms + ask.ready_in_ms;
    let held = u32::try_from(self.grants.len())
      .unwrap_or(u32::MAX)
      .max(view.reported_slots);
    let ending = self.ending_by(ready_at_ms);
    let counted_on = (f64::from(ending) * (1.0 - view.certainty)).floor() as u32;
    if held >= view.slots.saturating_add(counted_on) {
      self.remember_refused(&ask.attempt.box_name);
      return SlotDecision::Full;
    }
    let take_ms = ask.kv_bytes * 1_000 / view.link_bytes_per_s.max(1);
    let link_wait_ms = self.windows.take(now_ms, ready_at_ms, take_ms) - ready_at_ms;
    let ends_at_ms = ready_at_ms + link_wait_ms + ask.hold_ms;
    self.grants.insert(
      ask.attempt.clone(),
      Grant {
        ends_at_ms,
        lapses_at_ms: ready_at_ms
          + link_wait_ms
          + RESERVATION_SLACK_MS
          + ask.hold_ms * LOST_RETURN_FACTOR,
        ready_at_ms,
      },
    );
    SlotDecision::Granted { link_wait_ms }
  }

  /// Takes a seat back; answers which box to tell that a seat is free.
  pub fn give_back(&mut self, attempt: &AttemptId) -> Option<Name> {
    self.grants.remove(attempt)?;
    self.refused.pop_front()
  }

  /// Drops the grants of a box that is gone.
  pub fn drop_box(&mut self, box_name: &Name, incarnation: u64) {
    self
      .grants
      .retain(|attempt, _| attempt.box_name != *box_name || attempt.incarnation > incarnation);
    self.refused.retain(|name| name != box_name);
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
    self.grants.retain(|_, grant| grant.lapses_at_ms > now_ms);
  }

  fn ending_by(&self, time_ms: u64) -> u32 {
    let ending = self
      .grants
      .values()
      .filter(|grant| grant.ends_at_ms <= time_ms && grant.ready_at_ms <= time_ms)
      .count();
    u32::try_from(ending).unwrap_or(u32::MAX)
  }

  fn remember_refused(&mut self, box_name: &Name) {
    if !self.refused.contains(box_name) {
      self.refused.push_back(box_name.clone());
    }
  }
}
