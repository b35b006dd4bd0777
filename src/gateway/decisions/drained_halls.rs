//! The data halls that operators drain. Free of I/O.
//!
//! Load pattern: operators drain a hall under full load, several at once, or all; the update reaches a box from the store,
//! from its store reader and from a fallback reader, in any order and more than once.

use {crate::ids::Name, std::collections::BTreeMap};

/// How the drain of a hall changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HallDrainChange {
  /// It did not: the update was known, or is older than the known one.
  Unchanged,
  /// The hall gets no new requests from now on.
  Started,
  /// The hall gets requests again.
  Ended,
}

/// The latest known state of one hall's drain.
#[derive(Clone, Copy, Debug)]
struct HallDrain {
  is_drained: bool,
  /// The store's revision of that state.
  revision: u64,
}

/// The halls that were ever drained, by name; a hall may have no endpoints.
///
/// ```
/// use rillford::gateway::{DrainedHalls, HallDrainChange};
/// let mut halls = DrainedHalls::default();
/// assert_eq!(halls.record(&"north".into(), true, 7), HallDrainChange::Started);
/// assert!(halls.is_drained("north"));
/// // An older update that arrives late changes nothing.
/// assert_eq!(halls.record(&"north".into(), false, 5), HallDrainChange::Unchanged);
/// assert_eq!(halls.record(&"north".into(), false, 9), HallDrainChange::Ended);
/// assert!(halls.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct DrainedHalls {
  /// Includes halls whose drain has ended: an older update may still arrive.
  by_hall: BTreeMap<Name, HallDrain>,
}

impl DrainedHalls {
  /// Applies the state of a hall's drain at a revision of the store.
  pub fn record(&mut self, hall: &Name, is_drained: bool, revision: u64) -> HallDrainChange {
    let before = self.by_hall.get(hall).copied();
    if before.is_some_and(|before| revision <= before.revision) {
      return HallDrainChange::Unchanged;
    }
    let drain = HallDrain {
      is_drained,
      revision,
    };
    self.by_hall.insert(hall.clone(), drain);
    match (before.is_some_and(|before| before.is_drained), is_drained) {
      (false, true) => HallDrainChange::Started,
      (true, false) => HallDrainChange::Ended,
      (true, true) | (false, false) => HallDrainChange::Unchanged,
    }
  }

  /// Whether a hall gets no new requests.
  pub fn is_drained(&self, hall: &str) -> bool {
    self.by_hall.get(hall).is_some_and(|drain| drain.is_drained)
  }

  /// The halls that are drained.
  pub fn names(&self) -> impl Iterator<Item = &Name> {
    let drained = self.by_hall.iter().filter(|(_, drain)| drain.is_drained);
    drained.map(|(hall, _)| hall)
  }

  /// Whether no hall is drained.
  pub fn is_empty(&self) -> bool {
    self.names().next().is_none()
  }
}
