//! Whose bearer key is whose.

use {
  crate::ids::Name,
  sha2::{Digest, Sha256},
  std::{collections::BTreeMap, fmt::Write},
};

/// Organisations by the hash of their keys. A key itself is not kept, so that no log, dump or comparison shows it: what a
/// look-up takes depends on hashes, which nobody can choose.
///
/// ```
/// use rillford::configuration::KeyTable;
/// let mut keys = KeyTable::default();
/// assert!(keys.insert("secret", "lectures".into()));
/// assert!(!keys.insert("secret", "captions".into()));
/// assert_eq!(keys.organisation("secret").map(|name| &**name), Some("lectures"));
/// assert!(!format!("{keys:?}").contains("secret"));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyTable(BTreeMap<Name, Name>);

impl KeyTable {
  /// Adds a key; `false`, and nothing changes, when the table has it already.
  pub fn insert(&mut self, key: &str, organisation: Name) -> bool {
    let hash = hash_key(key).into();
    if self.0.contains_key(&hash) {
      return false;
    }
    self.0.insert(hash, organisation);
    true
  }

  /// Adds a key by its hash in hexadecimal; a later organisation replaces an earlier one.
  pub(crate) fn insert_hash(&mut self, hash: &str, organisation: Name) {
    self
      .0
      .insert(hash.to_ascii_lowercase().into(), organisation);
  }

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
