//! Boxes whose entries are gone while they probably serve on. Free of I/O.
//!
//! Load pattern: the store does not answer for longer than leases last. When it answers again, most boxes disappear from the list within
//! milliseconds, although all of them are running. Until they have registered again, the list does not show which boxes there are.
//!
//! Limits: the list counts as lost when fewer than [`LOST_SHARE`] of the boxes are left that were listed in the last
//! [`RECOVERY_MS`]; a cut hall, a planned stop or a crash leaves more. It counts so until [`RECOVERED_SHARE`] of them are listed, or for
//! [`RECOVERY_MS`]: boxes that do not return were removed for good. All boxes see the same removals, and so agree on it.

use {super::box_list::BoxEntry, crate::ids::Name, std::collections::BTreeMap};

/// The list is lost when fewer of the boxes than this share are listed.
const LOST_SHARE: f64 = 0.25;
/// It is whole again when this share is listed.
const RECOVERED_SHARE: f64 = 0.75;
/// Boxes have entered themselves again by then.
const RECOVERY_MS: u64 = 10_000;

#[derive(Clone, Debug)]
struct RemovedBox {
  entry: BoxEntry,
  removed_ms: u64,
}

/// The boxes that were removed from the list lately, and whether the list is lost.
///
/// ```
/// use rillford::gateway::{BoxEntry, LostBoxes};
/// let entry = BoxEntry { address: ([127, 0, 0, 1], 7_000).into(), hall: "north".into() };
/// let mut lost = LostBoxes::default();
/// lost.record_removed("box-1".into(), entry.clone(), 3, 0);
/// assert_eq!(lost.entries(3, 0).count(), 0);
/// for (listed, name) in ["box-2", "box-3", "box-4"].into_iter().enumerate() {
///   lost.record_removed(name.into(), entry.clone(), 2 - listed, 20);
/// }
/// assert_eq!(lost.entries(0, 100).count(), 4);
/// assert_eq!(lost.entries(0, 10_020).count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LostBoxes {
  removed: BTreeMap<Name, RemovedBox>,
  is_lost: bool,
}

impl LostBoxes {
  /// A box was removed from the list, which has `listed` boxes now.
  pub fn record_removed(&mut self, name: Name, entry: BoxEntry, listed: usize, now_ms: u64) {
    self.removed.retain(|_, removed| is_recent(removed, now_ms));
    let removed_ms = now_ms;
    self.removed.insert(name, RemovedBox { entry, removed_ms });
    self.update(listed);
  }

  /// A box is listed, which has `listed` boxes now.
  pub fn record_listed(&mut self, name: &str, listed: usize) {
    self.removed.remove(name);
    self.update(listed);
  }

  /// The boxes that count beside the `listed` ones: those that were removed lately, if the list is lost.
  pub fn entries(&self, listed: usize, now_ms: u64) -> impl Iterator<Item = (&Name, &BoxEntry)> {
    let removed = self.removed.iter();
    let recent = removed.filter(move |(_, removed)| is_recent(removed, now_ms));
    let known = listed + recent.clone().count();
    let is_lost = self.is_lost && (listed as f64) < known as f64 * RECOVERED_SHARE;
    let entries = recent.map(|(name, removed)| (name, &removed.entry));
    entries.filter(move |_| is_lost)
  }

  fn update(&mut self, listed: usize) {
    let least_share = if self.is_lost {
      RECOVERED_SHARE
    } else {
      LOST_SHARE
    };
    let known = listed + self.removed.len();
    self.is_lost = (listed as f64) < known as f64 * least_share;
  }
}

fn is_recent(removed: &RemovedBox, now_ms: u64) -> bool {
  now_ms < removed.removed_ms + RECOVERY_MS
}
