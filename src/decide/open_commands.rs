//! OpenCommands that an endpoint may still hold memory for, and cancels until they are acknowledged.

use {
  super::CancelAnswer,
  crate::ids::{AttemptId, Name},
  std::collections::BTreeMap,
};

const CANCEL_FIRST_MS: u64 = 200;
const CANCEL_MOST_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug)]
struct Cancelling {
  due_ms: u64,
  wait_ms: u64,
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
  open: BTreeMap<CommandKey, Option<Cancelling>>,
}

impl OpenCommands {
  /// An order leaves.
  pub fn opened(&mut self, key: CommandKey) {
    self.open.insert(key, None);
  }

  /// The endpoint holds nothing for the order any more; a cancel under way goes on until acknowledged.
  pub fn closed(&mut self, key: &CommandKey) {
    if matches!(self.open.get(key), Some(None)) {
      self.open.remove(key);
    }
  }

  /// Begins to cancel; true when this is news.
  pub fn cancel(&mut self, now_ms: u64, key: &CommandKey) -> bool {
    match self.open.get_mut(key) {
      Some(state @ None) => {
        *state = Some(Cancelling {
          due_ms: now_ms + CANCEL_FIRST_MS,
          wait_ms: CANCEL_FIRST_MS,
        });
        true
      }
      _ => false,
    }
  }

  /// An endpoint answered a cancel; true when the order is settled by it.
  pub fn settled(&mut self, key: &CommandKey, answer: CancelAnswer) -> bool {
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
      let Some(cancelling) = state else { continue };
      if cancelling.due_ms > now_ms {
        continue;
      }
      cancelling.wait_ms = (cancelling.wait_ms * 2).min(CANCEL_MOST_MS);
      cancelling.due_ms = now_ms + cancelling.wait_ms;
      due.push(key.clone());
    }
    due
  }

  /// The endpoint started anew and holds nothing of before.
  pub fn forget_endpoint(&mut self, endpoint: &Name) {
    self
      .open
      .retain(|key, cancelling| key.endpoint != *endpoint || cancelling.is_none());
  }

  /// Attempts to be held on to, by endpoint.
  pub fn held(&self) -> BTreeMap<Name, Vec<AttemptId>> {
    let mut held = BTreeMap::<Name, Vec<AttemptId>>::new();
    for (key, cancelling) in &self.open {
      if cancelling.is_none() {
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
