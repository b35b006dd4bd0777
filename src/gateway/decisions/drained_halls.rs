//! The data halls that operators drain. Free of I/O.
//!
//! Load pattern: operators drain a hall under full load, several at once, or all; the word reaches a box from the store, from its
//! reader and from a helper, in any order and twice.

use {crate::ids::Name, std::collections::BTreeMap};

/// What is new in the word on a hall.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HallDrainChange {
  /// It was known, or is older than what is known.
  Unchanged,
  /// The hall is to be sent nothing new from now on.
  Started,
  /// The hall may be used again.
  Ended,
}

/// The newest word on one hall.
#[derive(Clone, Copy, Debug)]
struct HallDrain {
  is_drained: bool,
  /// The store's revision of that word.
  revision: u64,
}

/// The halls that were ever drained, by name; a hall may have no endpoints.
///
/// ```
/// use rillford::gateway::{DrainedHalls, HallDrainChange};
/// let mut halls = DrainedHalls::default();
/// assert_eq!(halls.record(&"north".into(), true, 7), HallDrainChange::Started);
/// assert!(halls.is_drained("north"));
/// // An older word that comes late changes nothing.
/// assert_eq!(halls.record(&"north".into(), false, 5), HallDrainChange::Unchanged);
/// assert_eq!(halls.record(&"north".into(), false, 9), HallDrainChange::Ended);
/// assert!(halls.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct DrainedHalls {
  /// Those whose drain has ended too: an older word may still come.
  by_hall: BTreeMap<Name, HallDrain>,
}

impl DrainedHalls {
  /// Takes over the store's word on a hall, as it was at a revision.
  pub fn record(&mut self, hall: &Name, is_drained: bool, revision: u64) -> HallDrainChange {
    let before = self.by_hall.get(hall).copied();
    if before.is_some_and(|before| revision <= before.revision) {
      return HallDrainChange::Unchanged;
    }
    let word = HallDrain {
      is_drained,
      revision,
    };
    self.by_hall.insert(hall.clone(), word);
    match (before.is_some_and(|before| before.is_drained), is_drained) {
      (false, true) => HallDrainChange::Started,
      (true, false) => HallDrainChange::Ended,
      (true, true) | (false, false) => HallDrainChange::Unchanged,
    }
  }

  /// Whether a hall is to be sent nothing new.
  pub fn is_drained(&self, hall: &str) -> bool {
    self.by_hall.get(hall).is_some_and(|drain| drain.is_drained)
  }

  /// The halls that are drained now.
  pub fn names(&self) -> impl Iterator<Item = &Name> {
    let drained = self.by_hall.iter().filter(|(_, drain)| drain.is_drained);
    drained.map(|(hall, _)| hall)
  }

  /// Whether no hall is drained now.
  pub fn is_empty(&self) -> bool {
    self.names().next().is_none()
  }
}
