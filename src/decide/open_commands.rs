//! Commands for which an endpoint may still hold memory, and their cancels until these are acknowledged.

use {
  super::{CancelAnswer, Hold},
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

/// What is known of a command that was sent.
#[derive(Clone, Copy, Debug)]
enum CommandState {
  Held(Hold),
  /// Its hold could not be extended, and its stream is being aborted.
  Aborting,
  Cancelling(PendingCancel),
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
  open: BTreeMap<CommandKey, CommandState>,
}

impl OpenCommands {
  /// Tracks a command that is sent.
  pub fn open(&mut self, key: CommandKey, hold: Hold) {
    self.open.insert(key, CommandState::Held(hold));
  }

  /// The endpoint holds no memory for the command any more. A pending cancel is still repeated until acknowledged.
  pub fn close(&mut self, key: &CommandKey) {
    if self.is_open(key) {
      self.open.remove(key);
    }
  }

  /// Starts to cancel a command; true if it was open and not being cancelled yet.
  pub fn cancel(&mut self, now_ms: u64, key: &CommandKey) -> bool {
    match self.open.get_mut(key) {
      None | Some(CommandState::Cancelling(_)) => false,
      Some(state) => {
        *state = CommandState::Cancelling(PendingCancel {
          due_ms: now_ms + FIRST_CANCEL_INTERVAL_MS,
          interval_ms: FIRST_CANCEL_INTERVAL_MS,
        });
        true
      }
    }
  }

  /// Applies an endpoint's answer to a cancel; true if it acknowledges a pending cancel.
  pub fn settle(&mut self, key: &CommandKey, answer: CancelAnswer) -> bool {
    if answer == CancelAnswer::Unreachable {
      return false;
    }
    match self.open.get(key) {
      Some(CommandState::Cancelling(_)) => {
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
      let CommandState::Cancelling(pending_cancel) = state else {
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
    self.open.retain(|key, state| {
      key.endpoint != *endpoint || !matches!(state, CommandState::Cancelling(_))
    });
  }

  /// The endpoint has extended its hold.
  pub fn extend(&mut self, key: &CommandKey, extended: Hold) {
    if let Some(CommandState::Held(hold)) = self.open.get_mut(key) {
      *hold = extended;
    }
  }

  /// The hold at each endpoint that is to be extended first.
  pub fn first_holds(&self) -> BTreeMap<Name, Hold> {
    let mut first_holds = BTreeMap::<Name, Hold>::new();
    for (key, state) in &self.open {
      let CommandState::Held(hold) = state else {
        continue;
      };
      let first = first_holds.entry(key.endpoint.clone()).or_insert(*hold);
      if hold.extension_due_ms() < first.extension_due_ms() {
        *first = *hold;
      }
    }
    first_holds
  }

  /// Attempts that an endpoint holds.
  pub fn held_at(&self, endpoint: &Name) -> Vec<AttemptId> {
    self
      .open
      .iter()
      .filter(|(key, state)| key.endpoint == *endpoint && matches!(state, CommandState::Held(_)))
      .map(|(key, _)| key.attempt.clone())
      .collect()
  }

  /// The commands whose holds are about to end; each is returned once.
  pub fn abort_expiring(&mut self, now_ms: u64) -> Vec<CommandKey> {
    let mut expiring = Vec::new();
    for (key, state) in &mut self.open {
      if matches!(state, CommandState::Held(hold) if hold.abort_due_ms() <= now_ms) {
        *state = CommandState::Aborting;
        expiring.push(key.clone());
      }
    }
    expiring
  }

  /// Whether the command is open and not being cancelled.
  pub fn is_open(&self, key: &CommandKey) -> bool {
    matches!(
      self.open.get(key),
      Some(CommandState::Held(_) | CommandState::Aborting)
    )
  }

  /// Number of commands that are open or being cancelled.
  pub fn len(&self) -> usize {
    self.open.len()
  }

  pub fn is_empty(&self) -> bool {
    self.open.is_empty()
  }
}
