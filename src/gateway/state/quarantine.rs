//! What a box keeps of requests that end endpoints: what it knows, and what it has still to share.

use {
  crate::gateway::decisions::{QuarantineKey, QuarantineRegistry},
  std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
  },
  tokio::sync::{Notify, mpsc, oneshot},
};

/// Claims that may wait for the store; more are refused.
const MOST_CLAIMS: usize = 64;
/// Marks that may wait for the store: those of four hundred requests that were held. More are left out.
const MOST_UNWRITTEN: usize = 1_024;

/// Who saw what is to be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MarkOrigin {
  /// This box.
  Own,
  /// Another box, which does not reach the store.
  Told,
}

/// A box wants to be the one that takes a trial.
pub(crate) struct TrialClaim {
  /// The trial.
  pub(crate) key: QuarantineKey,
  /// Told whether it is this box's.
  pub(crate) granted: oneshot::Sender<bool>,
}

/// The book, and the way to the store.
pub(crate) struct Quarantine {
  pub(crate) book: RefCell<QuarantineRegistry>,
  /// What is known and not yet in the store.
  pub(crate) unwritten: RefCell<BTreeMap<QuarantineKey, MarkOrigin>>,
  /// What no longer holds and may still be in the store.
  pub(crate) unremoved: RefCell<BTreeSet<QuarantineKey>>,
  /// Told when there is something to write.
  pub(crate) changed: Notify,
  /// Told when that can't wait.
  pub(crate) pressing: Notify,
  claims: mpsc::Sender<TrialClaim>,
  claims_to_serve: RefCell<Option<mpsc::Receiver<TrialClaim>>>,
}

impl Default for Quarantine {
  fn default() -> Self {
    let (claims, claims_to_serve) = mpsc::channel(MOST_CLAIMS);
    Self {
      book: RefCell::default(),
      changed: Notify::new(),
      claims,
      claims_to_serve: RefCell::new(Some(claims_to_serve)),
      pressing: Notify::new(),
      unremoved: RefCell::default(),
      unwritten: RefCell::default(),
    }
  }
}

impl Quarantine {
  /// The claims, for the one task that serves them.
  pub(crate) fn take_claims(&self) -> Option<mpsc::Receiver<TrialClaim>> {
    self.claims_to_serve.take()
  }

  /// Asks for a trial; whether it is this box's.
  pub(crate) async fn claim(&self, key: QuarantineKey) -> bool {
    let (granted, is_granted) = oneshot::channel();
    if self.claims.try_send(TrialClaim { granted, key }).is_err() {
      return false;
    }
    is_granted.await.unwrap_or(false)
  }

  /// Has marks written to the store; what can't wait is written at once.
  pub(crate) fn write(&self, keys: &[QuarantineKey], origin: MarkOrigin, is_pressing: bool) {
    let mut unwritten = self.unwritten.borrow_mut();
    for key in keys {
      if unwritten.len() >= MOST_UNWRITTEN {
        log::warn!("E533 not shared: {} marks wait already", unwritten.len());
        break;
      }
      unwritten.insert(*key, origin);
    }
    drop(unwritten);
    self.changed.notify_one();
    if is_pressing {
      self.pressing.notify_one();
    }
  }

  /// Has marks removed from the store.
  pub(crate) fn remove(&self, keys: &[QuarantineKey]) {
    for key in keys {
      self.unwritten.borrow_mut().remove(key);
      self.unremoved.borrow_mut().insert(*key);
    }
    self.changed.notify_one();
    self.pressing.notify_one();
  }

  /// How many requests are known to have ended endpoints, and how many are held, as text.
  pub(crate) fn figures(&self) -> String {
    let book = self.book.borrow();
    format!(
      "rillford_quarantine_known {}\nrillford_quarantine_held {}\n",
      book.len(),
      book.quarantined()
    )
  }

  /// Whether the store has to hear of something.
  pub(crate) fn has_changes(&self) -> bool {
    !self.unwritten.borrow().is_empty() || !self.unremoved.borrow().is_empty()
  }
}
