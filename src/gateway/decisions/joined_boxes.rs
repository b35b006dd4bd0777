//! The boxes that have registered since the last check. Free of I/O.
//!
//! Load pattern: boxes are restarted in turn, each under its name and address, so that the list of boxes alone does not show that
//! one has lost the records that the others sent.

use {
  crate::ids::Name,
  std::{
    collections::{BTreeSet, HashMap},
    mem,
  },
};

/// Boxes by their last registration.
///
/// ```
/// use rillford::gateway::JoinedBoxes;
/// let mut boxes = JoinedBoxes::default();
/// boxes.record("box-1".into(), 7);
/// assert_eq!(boxes.take(), ["box-1".into()].into());
/// boxes.record("box-1".into(), 7);
/// assert!(boxes.take().is_empty());
/// boxes.record("box-1".into(), 9);
/// assert_eq!(boxes.take(), ["box-1".into()].into());
/// ```
#[derive(Clone, Debug, Default)]
pub struct JoinedBoxes {
  /// The store's revision of each box's entry.
  revisions: HashMap<Name, u64>,
  joined: BTreeSet<Name>,
}

impl JoinedBoxes {
  /// A box's entry was written at a revision of the store; a box writes it once, when it registers.
  pub fn record(&mut self, name: Name, revision: u64) {
    if self.revisions.insert(name.clone(), revision) != Some(revision) {
      self.joined.insert(name);
    }
  }

  /// A box's entry is gone.
  pub fn remove(&mut self, name: &str) {
    self.revisions.remove(name);
    self.joined.remove(name);
  }

  /// The boxes that have registered since the last call.
  pub fn take(&mut self) -> BTreeSet<Name> {
    mem::take(&mut self.joined)
  }
}
