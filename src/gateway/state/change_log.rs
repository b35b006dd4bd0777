//! The latest changes of the store, for the followers of this box.

use {
  crate::{
    gateway::edge::{StoreChanges, StoreItem},
    wait_until,
  },
  std::{cell::RefCell, collections::VecDeque},
  tokio::sync::watch,
};

/// Changes kept in the log; a follower that is further behind reads the store.
const MAX_CHANGES: usize = 1_024;

/// A bounded log of changes after a listing.
#[derive(Debug)]
pub struct ChangeLog {
  changes: RefCell<VecDeque<StoreItem>>,
  /// The revisions that the log covers.
  range: watch::Sender<RevisionRange>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RevisionRange {
  /// All changes after this revision are in the log.
  complete_after: u64,
  latest: u64,
}

impl Default for ChangeLog {
  fn default() -> Self {
    Self {
      changes: RefCell::default(),
      range: watch::Sender::new(RevisionRange::default()),
    }
  }
}

impl ChangeLog {
  /// Clears the log after a listing at a revision.
  pub fn restart(&self, revision: u64) {
    self.changes.borrow_mut().clear();
    self.range.send_replace(RevisionRange {
      complete_after: revision,
      latest: revision,
    });
  }

  /// Adds changes up to a revision. A revision without a change wakes no follower.
  pub fn add(&self, items: &[StoreItem], revision: u64) {
    let mut changes = self.changes.borrow_mut();
    let mut range = *self.range.borrow();
    changes.extend(items.iter().cloned());
    while changes.len() > MAX_CHANGES {
      range.complete_after = changes
        .pop_front()
        .map_or(range.complete_after, |oldest| oldest.revision);
    }
    range.latest = range.latest.max(revision);
    drop(changes);
    self.range.send_if_modified(|current| {
      *current = range;
      !items.is_empty()
    });
  }

  /// The latest known revision.
  pub fn latest_revision(&self) -> u64 {
    self.range.borrow().latest
  }

  /// The changes after a revision; `HistoryLost` when the log no longer has all of them.
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
    let range = *self.range.borrow();
    if revision < range.complete_after {
      return StoreChanges::HistoryLost;
    }
    let changes = self.changes.borrow();
    StoreChanges::Some {
      items: changes
        .iter()
        .filter(|item| item.revision > revision)
        .cloned()
        .collect(),
      revision: range.latest,
    }
  }

  /// Waits for a change after a revision, or until the log no longer reaches back to it.
  pub async fn wait_after(&self, revision: u64) {
    let mut range = self.range.subscribe();
    wait_until(&mut range, |range| {
      range.latest > revision || revision < range.complete_after
    })
    .await;
  }
}
