//! Whose bearer key is whose.

use {
  crate::ids::Name,
  sha2::{Digest, Sha256},
  std::{collections::BTreeMap, fmt::Write},
};

/// Organisations by the hash of their keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyTable(pub(super) BTreeMap<Name, Name>);

impl KeyTable {
  /// The organisation that a bearer key belongs to.
  pub fn organisation(&self, key: &str) -> Option<&Name> {
    self.0.get(hash_key(key).as_str())
  }
}

/// The SHA-256 of a key, in hexadecimal.
///
/// ```
/// assert!(rillford::configuration::hash_key("secret").starts_with("2bb80d53"));
/// ```
pub fn hash_key(key: &str) -> String {
  let mut text = String::new();
  for byte in Sha256::digest(key) {
    let _ = write!(text, "{byte:02x}");
  }
  text
}
