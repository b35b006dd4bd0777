//! The latest changes of the store, as this box saw them, for boxes that follow it.

use {
  crate::gateway::edge::{StoreChanges, StoreItem},
  std::{cell::RefCell, collections::VecDeque},
  tokio::sync::watch,
};

/// Changes that are kept; a box that is further behind reads the store.
const MOST_CHANGES: usize = 1_024;

/// A bounded log of changes after a listing.
#[derive(Debug)]
pub struct ChangeLog {
  changes: RefCell<VecDeque<StoreItem>>,
  /// What is known up to which revision; the log is whole after the first.
  span: watch::Sender<Span>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Span {
  whole_after: u64,
  known_to: u64,
}

impl Default for ChangeLog {
  fn default() -> Self {
    Self {
      changes: RefCell::default(),
      span: watch::Sender::new(Span::default()),
    }
  }
}

impl ChangeLog {
  /// Begins anew after a listing.
  pub fn restart(&self, revision: u64) {
    self.changes.borrow_mut().clear();
    self.span.send_replace(Span {
      known_to: revision,
      whole_after: revision,
    });
  }

  /// Adds changes up to a revision.
  pub fn add(&self, items: &[StoreItem], revision: u64) {
    let mut changes = self.changes.borrow_mut();
    let mut span = *self.span.borrow();
    changes.extend(items.iter().cloned());
    while changes.len() > MOST_CHANGES {
      span.whole_after = changes
        .pop_front()
        .map_or(span.whole_after, |oldest| oldest.revision);
    }
    span.known_to = span.known_to.max(revision);
    drop(changes);
    self.span.send_replace(span);
  }

  /// Up to which revision changes are known.
  pub fn known_to(&self) -> u64 {
    self.span.borrow().known_to
  }

  /// The changes after a revision.
  ///
  /// ```
  /// use rillford::gateway::{ChangeLog, StoreChanges, StoreItem, StoreKey};
  /// let log = ChangeLog::default();
  /// log.restart(10);
  /// let item = StoreItem { key: StoreKey::Endpoint("a".into()), revision: 12, value: None };
  /// log.add(&[item.clone()], 12);
  /// assert_eq!(log.after(10), StoreChanges::Some { items: vec![item], revision: 12 });
  /// assert_eq!(log.after(9), StoreChanges::HistoryLost);
  /// ```
  pub fn after(&self, revision: u64) -> StoreChanges {
    let span = *self.span.borrow();
    if revision < span.whole_after {
      return StoreChanges::HistoryLost;
    }
    let changes = self.changes.borrow();
    StoreChanges::Some {
      items: changes
        .iter()
        .filter(|item| item.revision > revision)
        .cloned()
        .collect(),
      revision: span.known_to,
    }
  }

  /// Waits until something after a revision is known.
  pub async fn wait_after(&self, revision: u64) {
    let mut span = self.span.subscribe();
    // The sender lives as long as this log.
    let _ = span
      .wait_for(|span| span.known_to > revision || revision < span.whole_after)
      .await;
  }
}
