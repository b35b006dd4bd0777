//! Where endpoints name their starts, and whether they keep their ids.

use std::str::FromStr;

/// The messages in which an endpoint names its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Starts {
  /// The entry in the store, and load reports.
  Everywhere,
  /// No message.
  Nowhere,
  /// The entry in the store alone.
  Entries,
  /// Load reports alone.
  Reports,
  /// No message: each start has an id of its own.
  NewIds,
}

impl Starts {
  /// Whether an endpoint may start again under its id.
  pub(crate) fn keep_ids(self) -> bool {
    self != Self::NewIds
  }

  /// Whether an endpoint may start again under its id without naming its start wherever it speaks of itself.
  pub(crate) fn may_be_unnamed(self) -> bool {
    matches!(self, Self::Nowhere | Self::Entries | Self::Reports)
  }

  pub(crate) fn in_entries(self) -> bool {
    matches!(self, Self::Everywhere | Self::Entries)
  }

  pub(crate) fn in_reports(self) -> bool {
    matches!(self, Self::Everywhere | Self::Reports)
  }
}

impl FromStr for Starts {
  type Err = String;

  fn from_str(name: &str) -> Result<Self, String> {
    match name {
      "everywhere" => Ok(Self::Everywhere),
      "nowhere" => Ok(Self::Nowhere),
      "entries" => Ok(Self::Entries),
      "reports" => Ok(Self::Reports),
      "new-ids" => Ok(Self::NewIds),
      _ => Err(format!(
        "no place of starts is named {name:?}, expected everywhere, nowhere, entries, reports or new-ids"
      )),
    }
  }
}
