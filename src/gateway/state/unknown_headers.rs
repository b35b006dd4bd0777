//! Response headers of endpoints that the platform does not define: they may be signals that this version does not support.

use {crate::ids::Name, http::HeaderName, std::collections::BTreeSet};

/// Names that are recorded; further ones are ignored.
const MAX_NAMES: usize = 32;
/// Longest name that is recorded.
const MAX_NAME_BYTES: usize = 60;

/// The unknown header names seen since the box started. Values are never recorded: they may be secrets.
#[derive(Debug, Default)]
pub(crate) struct UnknownHeaders {
  seen: BTreeSet<Name>,
}

impl UnknownHeaders {
  /// Records a name; returns whether it is new.
  pub(crate) fn record(&mut self, name: &HeaderName) -> bool {
    let name = name.as_str();
    if self.seen.len() >= MAX_NAMES || name.len() > MAX_NAME_BYTES {
      return false;
    }
    !self.seen.contains(name) && self.seen.insert(name.into())
  }

  pub(crate) fn count(&self) -> usize {
    self.seen.len()
  }
}
