//! What the router asks of the key-value store that holds the configuration and the lists of endpoints and
//! boxes: its items, its calls and their errors.

use {
  crate::ids::Name,
  bytes::Bytes,
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// What a key of the store is about.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreKey {
  /// The configuration.
  Configuration,
  /// An endpoint, by its incarnation.
  Endpoint(Name),
  /// A box of this router, by its name.
  Box(Name),
  /// Which box is steward of the engines' roles.
  Steward,
  /// Something else.
  Other,
  /// What boxes know of a request that ends endpoints, by the last part of its key.
  Quarantine(Name),
  /// Operators drain a data hall as long as this stands, whatever its value.
  HallDrain(Name),
}

/// One item, as it was written or removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreItem {
  /// What it is about.
  pub key: StoreKey,
  /// The revision of this change.
  pub revision: u64,
  /// The value; nothing when it was removed.
  pub value: Option<Bytes>,
}

/// One page of a listing. Pages are not a snapshot.
#[derive(Clone, Debug)]
pub struct StorePage {
  /// The items.
  pub items: Vec<StoreItem>,
  /// The store's revision when the page was made.
  pub revision: u64,
  /// Where the next page begins.
  pub next_after: Option<String>,
}

/// How old a page of a listing may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PageAge {
  /// As the store is now.
  Current,
  /// As it was up to some seconds ago: cheap for the store, and of use only if the changes since then are asked for.
  MayLag,
}

/// What a watch came to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreChanges {
  /// Changes in order; none when the wait ran out.
  Some {
    /// The changes.
    items: Vec<StoreItem>,
    /// Where to go on.
    revision: u64,
  },
  /// The store no longer has the history asked for.
  HistoryLost,
}

/// Which box is steward.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stewardship {
  /// The box.
  pub holder: Name,
  /// The revision at which it became steward: its fencing token.
  pub fence: u64,
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreLease(pub u64);

/// Why a call to the store came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
  /// The lease is over.
  #[error("the lease is over")]
  LeaseOver,
  /// The call failed, or its answer can't be read.
  #[error("{0}")]
  Call(String),
}

/// Keys that one call to the store may change.
pub const MOST_CHANGED_KEYS: usize = 32;

/// The calls of the store that this router uses.
pub trait Store: Clone + 'static {
  /// Lists configuration, endpoints and boxes, a page at a time.
  fn page(
    &self,
    after: Option<&str>,
    age: PageAge,
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
  /// Ends a lease, and its keys with it.
  fn end(&self, lease: StoreLease) -> impl Future<Output = Result<(), StoreError>>;
  /// Makes a box the steward under its lease, unless there is one; answers with the fencing token.
  fn become_steward(
    &self,
    name: &str,
    lease: StoreLease,
  ) -> impl Future<Output = Result<Option<u64>, StoreError>>;
  /// Reads who is steward now.
  fn steward(&self) -> impl Future<Output = Result<Option<Stewardship>, StoreError>>;
  /// Writes that something is known of requests that end endpoints, all with one value; at most [`MOST_CHANGED_KEYS`] keys. They
  /// outlast all leases.
  fn put_quarantine(
    &self,
    keys: &[Name],
    value: Bytes,
  ) -> impl Future<Output = Result<(), StoreError>>;
  /// Writes one such key unless it is there; whether it was not.
  fn claim_quarantine(
    &self,
    key: &Name,
    value: Bytes,
  ) -> impl Future<Output = Result<bool, StoreError>>;
  /// Removes such keys; at most [`MOST_CHANGED_KEYS`].
  fn remove_quarantine(&self, keys: &[Name]) -> impl Future<Output = Result<(), StoreError>>;
  /// Writes this box's entry under a lease.
  fn put_box(
    &self,
    name: &str,
    value: Bytes,
    lease: StoreLease,
  ) -> impl Future<Output = Result<(), StoreError>>;
}
