//! Commands for which an endpoint may still hold memory, and their cancels until these are acknowledged.

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

/// A command at an endpoint.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CommandKey {
  pub endpoint: Name,
  pub attempt: AttemptId,
}

/// The commands that were sent and whose end is not known.
#[derive(Clone, Debug, Default)]
pub struct OpenCommands {
  open: BTreeMap<CommandKey, Option<PendingCancel>>,
}

impl OpenCommands {
  /// Tracks a command that is sent.
  pub fn open(&mut self, key: CommandKey) {
    self.open.insert(key, None);
  }

  /// The endpoint holds no memory for the command any more. A pending cancel is still repeated until acknowledged.
  pub fn close(&mut self, key: &CommandKey) {
    if matches!(self.open.get(key), Some(None)) {
      self.open.remove(key);
    }
  }

  /// Starts to cancel a command; true if it was open and not being cancelled yet.
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

  /// Applies an endpoint's answer to a cancel; true if it acknowledges a pending cancel.
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

  /// The cancels to repeat now.
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

  /// The endpoint has restarted without its memory: removes its commands that are being cancelled. Open ones stay until
  /// their streams fail.
  pub fn remove_endpoint(&mut self, endpoint: &Name) {
    self
      .open
      .retain(|key, pending_cancel| key.endpoint != *endpoint || pending_cancel.is_none());
  }

  /// Attempts whose holds are to be extended, by endpoint.
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

  /// Whether the command is open and not being cancelled.
  pub fn is_open(&self, key: &CommandKey) -> bool {
    matches!(self.open.get(key), Some(None))
  }

  /// Number of commands that are open or being cancelled.
  pub fn len(&self) -> usize {
    self.open.len()
  }

  pub fn is_empty(&self) -> bool {
    self.open.is_empty()
  }
}
