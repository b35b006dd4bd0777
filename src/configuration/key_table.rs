//! Maps bearer keys to organisations.

use {
  crate::ids::Name,
  sha2::{Digest, Sha256},
  std::{collections::BTreeMap, fmt::Write},
};

/// Organisations by the hash of their keys. Keys themselves are not stored, so they appear in no log or dump, and the
/// duration of a lookup depends only on hashes.
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
  /// Adds a key. Returns `false` without a change when the table already contains it.
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
