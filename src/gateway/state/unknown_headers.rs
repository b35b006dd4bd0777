//! Names in endpoints' answers that the platform's page doesn't have: they may be words that nobody reads yet.

use {crate::ids::Name, http::HeaderName, std::collections::BTreeSet};

/// Names that are kept; further ones are left out.
const MOST_NAMES: usize = 32;
/// Longest name that is kept.
const MOST_BYTES: usize = 60;

/// The unknown names that were seen since the box started. Values are never kept: they may be secrets.
#[derive(Debug, Default)]
pub(crate) struct UnknownHeaders {
  seen: BTreeSet<Name>,
}

impl UnknownHeaders {
  /// Notes a name; whether it was not seen before.
  pub(crate) fn note(&mut self, name: &HeaderName) -> bool {
    let name = name.as_str();
    if self.seen.len() >= MOST_NAMES || name.len() > MOST_BYTES {
      return false;
    }
    !self.seen.contains(name) && self.seen.insert(name.into())
  }

  /// How many were seen.
  pub(crate) fn count(&self) -> usize {
    self.seen.len()
  }
}
