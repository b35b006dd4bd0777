//! The key-value store that holds the configuration and the lists of endpoints and boxes: its items, calls and errors.

use {
  crate::ids::Name,
  bytes::Bytes,
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Debug, Formatter},
    time::Duration,
  },
};

/// The subject of a store key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreKey {
  /// The configuration.
  Configuration,
  /// An endpoint, by the id of its incarnation.
  Endpoint(Name),
  /// A gateway box, by name.
  Box(Name),
  /// The box that leads the assignment of engine roles.
  RoleLeader,
  /// A key that the gateway does not use.
  Other,
  /// A quarantine record of a request that crashes endpoints, by the last component of its key.
  Quarantine(Name),
  /// A drained data hall: it is drained while the key exists, whatever the value.
  HallDrain(Name),
  /// A recorded version of a service, by the last component of its key. Boxes of older builds can't decode it.
  Version(Name),
  /// A batch of streams and where they began, which boxes look up when they need it.
  Origins,
}

/// A write or removal of one item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreItem {
  /// The item's key.
  pub key: StoreKey,
  /// The revision of this change.
  pub revision: u64,
  /// The value; `None` when removed.
  pub value: Option<Bytes>,
}

/// One page of a listing. The pages of a listing are not a consistent snapshot.
#[derive(Clone, Debug)]
pub struct StorePage {
  /// The items.
  pub items: Vec<StoreItem>,
  /// The store's revision at which the page was read.
  pub revision: u64,
  /// Cursor of the next page; `None` on the last one.
  pub next_after: Option<String>,
}

/// Consistency of a listing's page.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadConsistency {
  /// Up to date.
  Current,
  /// Up to some seconds old: cheap for the store, but the changes since then must be fetched too.
  MayBeStale,
}

/// The result of a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreChanges {
  /// Changes in order; empty when the wait timed out.
  Some {
    /// The changes.
    items: Vec<StoreItem>,
    /// The revision to watch from next.
    revision: u64,
  },
  /// The store has compacted the requested history.
  HistoryLost,
}

impl StoreChanges {
  /// Removes the changes of recorded versions.
  ///
  /// ```
  /// use rillford::gateway::{StoreChanges, StoreItem, StoreKey};
  /// let item = |key| StoreItem { key, revision: 7, value: None };
  /// let (version, leader) = (item(StoreKey::Version("4f".into())), item(StoreKey::RoleLeader));
  /// let mut changes = StoreChanges::Some { items: vec![version, leader.clone()], revision: 7 };
  /// changes.remove_versions();
  /// assert_eq!(changes, StoreChanges::Some { items: vec![leader], revision: 7 });
  /// ```
  pub fn remove_versions(&mut self) {
    if let Self::Some { items, .. } = self {
      items.retain(|item| !matches!(item.key, StoreKey::Version(_)));
    }
  }

  /// Removes the changes of batches of origins; returns whether these were all changes.
  ///
  /// ```
  /// use rillford::gateway::{StoreChanges, StoreItem, StoreKey};
  /// let item = |key| StoreItem { key, revision: 7, value: None };
  /// let mut changes = StoreChanges::Some { items: vec![item(StoreKey::Origins)], revision: 7 };
  /// assert!(changes.remove_origins());
  /// assert_eq!(changes, StoreChanges::Some { items: Vec::new(), revision: 7 });
  /// assert!(!changes.remove_origins());
  /// ```
  pub fn remove_origins(&mut self) -> bool {
    let Self::Some { items, .. } = self else {
      return false;
    };
    let count = items.len();
    items.retain(|item| item.key != StoreKey::Origins);
    items.is_empty() && count > 0
  }
}

/// The box that leads the assignment of engine roles.
#[derive(Clone, Eq, PartialEq)]
pub struct RoleLeadership {
  /// The leader.
  pub holder: Name,
  /// The revision at which it became leader: its fencing token.
  pub fence: u64,
}

/// Prints the name that operators know from the log.
impl Debug for RoleLeadership {
  fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
    formatter
      .debug_struct("Stewardship")
      .field("holder", &self.holder)
      .field("fence", &self.fence)
      .finish()
  }
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreLease(pub u64);

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
  /// The lease has expired.
  #[error("the lease has expired")]
  LeaseExpired,
  /// The call failed, or its response could not be decoded.
  #[error("{0}")]
  Call(String),
}

/// The most keys that one call may change.
pub const MAX_CHANGED_KEYS: usize = 32;

/// The store's calls that the gateway uses.
pub trait Store: Clone + 'static {
  /// Lists all keys, one page at a time.
  fn page(
    &self,
    after: Option<&str>,
    consistency: ReadConsistency,
  ) -> impl Future<Output = Result<StorePage, StoreError>>;
  /// Waits for changes after a revision.
  fn changes(
    &self,
    after_revision: u64,
    wait: Duration,
  ) -> impl Future<Output = Result<StoreChanges, StoreError>>;
  /// Takes a lease.
  fn grant(&self, ttl: Duration) -> impl Future<Output = Result<StoreLease, StoreError>>;
  /// Renews a lease.
  fn renew(&self, lease: StoreLease) -> impl Future<Output = Result<(), StoreError>>;
  /// Revokes a lease, which removes its keys.
  fn revoke(&self, lease: StoreLease) -> impl Future<Output = Result<(), StoreError>>;
  /// Makes a box the role leader under its lease, unless there is one; returns the fencing token.
  fn try_become_role_leader(
    &self,
    name: &str,
    lease: StoreLease,
  ) -> impl Future<Output = Result<Option<u64>, StoreError>>;
  /// Reads the current role leader.
  fn role_leader(&self) -> impl Future<Output = Result<Option<RoleLeadership>, StoreError>>;
  /// Writes quarantine records by their keys; at most [`MAX_CHANGED_KEYS`] of them. They are not bound to a lease. Returns the
  /// revision of the write.
  fn put_quarantine(
    &self,
    records: &[(Name, Bytes)],
  ) -> impl Future<Output = Result<u64, StoreError>>;
  /// Writes a quarantine record anew if it was last written at a revision; `false` if it has changed.
  fn update_quarantine(
    &self,
    key: &Name,
    value: Bytes,
    revision: u64,
  ) -> impl Future<Output = Result<bool, StoreError>>;
  /// Creates quarantine records, all with the same value, at most [`MAX_CHANGED_KEYS`] of them; `false` when a key exists already,
  /// and none is created.
  fn claim_quarantine(
    &self,
    keys: &[Name],
    value: Bytes,
  ) -> impl Future<Output = Result<bool, StoreError>>;
  /// Removes quarantine records; at most [`MAX_CHANGED_KEYS`] keys.
  fn remove_quarantine(&self, keys: &[Name]) -> impl Future<Output = Result<(), StoreError>>;
  /// Writes the record of a version if it was last written at a revision, 0 if it was not; returns the revision of the write, or
  /// `None` if the record has changed. Records are not bound to a lease.
  fn write_version(
    &self,
    key: &Name,
    value: Bytes,
    revision: u64,
  ) -> impl Future<Output = Result<Option<u64>, StoreError>>;
  /// Lists the records of all versions: a read that is up to date when it begins. Fails if one can't be read.
  fn versions(&self) -> impl Future<Output = Result<Vec<StoreItem>, StoreError>>;
  /// Removes the record of a version; `false` when it was written after a revision.
  fn remove_version(
    &self,
    key: &Name,
    revision: u64,
  ) -> impl Future<Output = Result<bool, StoreError>>;
  /// Writes batches of origins by their names, under a lease; at most [`MAX_CHANGED_KEYS`] of them.
  fn put_origins(
    &self,
    batches: &[(Name, Bytes)],
    lease: StoreLease,
  ) -> impl Future<Output = Result<(), StoreError>>;
  /// Lists the batches of origins whose names begin with a prefix: a read that is up to date when it begins.
  fn origins(&self, prefix: &str) -> impl Future<Output = Result<Vec<StoreItem>, StoreError>>;
  /// Writes this box's entry under a lease.
  fn put_box(
    &self,
    name: &str,
    value: Bytes,
    lease: StoreLease,
  ) -> impl Future<Output = Result<(), StoreError>>;
}
