//! The ids of the latest requests on a connection.

use {crate::ids::Name, std::collections::VecDeque};

/// Ids that are kept. A late answer comes in the place of one of the next ones.
const MAX_IDS: usize = 32;

/// The ids of the latest requests on a connection.
#[derive(Debug, Default)]
pub(super) struct RecentIds(VecDeque<Name>);

impl RecentIds {
  pub(super) fn contains(&self, id: &str) -> bool {
    self.0.iter().any(|recent| **recent == *id)
  }

  /// Adds an id, in the place of the oldest one if there are too many.
  pub(super) fn add(&mut self, id: Name) {
    if self.0.len() == MAX_IDS {
      self.0.pop_front();
    }
    self.0.push_back(id);
  }
}
