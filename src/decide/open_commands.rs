//! OpenCommands that an endpoint may still hold memory for, and cancels until they are acknowledged.

use {
  super::CancelAnswer,
  crate::ids::{AttemptId, Name},
  std::collections::BTreeMap,
};

const FIRST_CANCEL_INTERVAL_MS: u64 = 200;
const MAX_CANCEL_INTERVAL_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug)]
struct PendingCancel {
  due_ms: u64,
  interval_ms: u64,
}

/// One order at one endpoint.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CommandKey {
  /// The endpoint.
  pub endpoint: Name,
  /// The attempt.
  pub attempt: AttemptId,
}

/// All orders that have left and whose end is not known.
#[derive(Clone, Debug, Default)]
pub struct OpenCommands {
  open: BTreeMap<CommandKey, Option<PendingCancel>>,
}

impl OpenCommands {
  /// An order leaves.
  pub fn open(&mut self, key: CommandKey) {
    self.open.insert(key, None);
  }

  /// The endpoint holds nothing for the order any more; a cancel under way goes on until acknowledged.
  pub fn close(&mut self, key: &CommandKey) {
    if matches!(self.open.get(key), Some(None)) {
      self.open.remove(key);
    }
  }

  /// Begins to cancel; true when this is news.
  pub fn cancel(&mut self, now_ms: u64, key: &CommandKey) -> bool {
    match self.open.get_mut(key) {
      Some(state @ None) => {
        *state = Some(PendingCancel {
          due_ms: now_ms + FIRST_CANCEL_INTERVAL_MS,
          interval_ms: FIRST_CANCEL_INTERVAL_MS,
        });
        true
      }
      _ => false,
    }
  }

  /// An endpoint answered a cancel; true when the order is settled by it.
  pub fn settle(&mut self, key: &CommandKey, answer: CancelAnswer) -> bool {
    if answer == CancelAnswer::Unreachable {
      return false;
    }
    match self.open.get(key) {
      Some(Some(_)) => {
        self.open.remove(key);
        true
      }
      _ => false,
    }
  }

  /// The cancels that are to be sent again now.
  pub fn due(&mut self, now_ms: u64) -> Vec<CommandKey> {
    let mut due = Vec::new();
    for (key, state) in &mut self.open {
      let Some(pending_cancel) = state else {
        continue;
      };
      if pending_cancel.due_ms > now_ms {
        continue;
      }
      pending_cancel.interval_ms = (pending_cancel.interval_ms * 2).min(MAX_CANCEL_INTERVAL_MS);
      pending_cancel.due_ms = now_ms + pending_cancel.interval_ms;
      due.push(key.clone());
    }
    due
  }

  /// The endpoint started anew and holds nothing of before.
  pub fn remove_endpoint(&mut self, endpoint: &Name) {
    self
      .open
      .retain(|key, pending_cancel| key.endpoint != *endpoint || pending_cancel.is_none());
  }

  /// Attempts to be held on to, by endpoint.
  pub fn held(&self) -> BTreeMap<Name, Vec<AttemptId>> {
    let mut held = BTreeMap::<Name, Vec<AttemptId>>::new();
    for (key, pending_cancel) in &self.open {
      if pending_cancel.is_none() {
        held
          .entry(key.endpoint.clone())
          .or_default()
          .push(key.attempt.clone());
      }
    }
    held
  }

  /// Whether the order is open and not being cancelled.
  pub fn is_open(&self, key: &CommandKey) -> bool {
    matches!(self.open.get(key), Some(None))
  }

  /// The number of orders open or being cancelled.
  pub fn len(&self) -> usize {
    self.open.len()
  }

  /// Whether no order is open.
  pub fn is_empty(&self) -> bool {
    self.open.is_empty()
  }
}
