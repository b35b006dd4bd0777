//! The simulated store, in memory, with the changes and faults that tests control.

use {
  super::store_contents::{Contents, StaleItems},
  axum::response::Response,
  base64::{Engine, engine::general_purpose::STANDARD},
  serde_json::Value,
  std::{
    future::pending,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
  },
  tokio::{
    sync::watch,
    time::{sleep, timeout},
  },
};

/// A running store.
#[derive(Clone)]
pub struct PlatformStore {
  /// Listen address.
  pub address: SocketAddr,
  pub(crate) contents: Arc<Mutex<Contents>>,
  pub(crate) changed: watch::Sender<u64>,
  pub(crate) show: Option<Show>,
}

/// The value of a key as it is shown to callers.
pub(crate) type Show = Arc<dyn Fn(&str, Vec<u8>) -> Vec<u8> + Send + Sync>;

impl PlatformStore {
  /// An item or event as it is shown to callers.
  pub(crate) fn shown(&self, mut item: Value) -> Value {
    let Some(show) = &self.show else {
      return item;
    };
    let value = item["value"]
      .as_str()
      .and_then(|text| STANDARD.decode(text).ok());
    if let (Some(key), Some(value)) = (item["key"].as_str(), value) {
      item["value"] = STANDARD.encode(show(key, value)).into();
    }
    item
  }

  /// The contents, locked.
  pub(crate) fn contents(&self) -> MutexGuard<'_, Contents> {
    // A panic between two changes leaves consistent contents.
    self.contents.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Changes the contents and wakes up the watches.
  pub(crate) fn update<T>(&self, change: impl FnOnce(&mut Contents) -> T) -> T {
    let (result, revision) = {
      let mut contents = self.contents();
      let result = change(&mut contents);
      (result, contents.revision)
    };
    self.changed.send_replace(revision);
    result
  }

  /// Writes a base64-encoded value without a lease, as the operator and the endpoints do.
  pub fn put(&self, key: &str, value: &[u8]) {
    self.update(|contents| contents.write(key, STANDARD.encode(value), 0));
  }

  /// Writes a value that need not be base64.
  pub fn put_raw(&self, key: &str, value: &str) {
    self.update(|contents| contents.write(key, value.into(), 0));
  }

  /// Removes a key.
  pub fn remove(&self, key: &str) {
    self.update(|contents| contents.remove(key));
  }

  /// Compacts the history: a watch from an earlier revision fails as gone.
  pub fn compact_history(&self) {
    self.update(|contents| {
      contents.revision += 1;
      contents.compacted_revision = contents.revision;
      contents.history.clear();
    });
  }

  /// Responds to every call with 503, or serves again.
  pub fn set_down(&self, is_down: bool) {
    self.update(|contents| contents.is_down = is_down);
  }

  /// Applies writes without responding, or responds again.
  pub fn set_drops_responses(&self, drops_responses: bool) {
    self.update(|contents| contents.drops_responses = drops_responses);
  }

  /// Sets the latency of every call.
  pub fn set_delay(&self, delay: Duration) {
    self.update(|contents| contents.delay = delay);
  }

  /// Expires all leases and removes their keys.
  pub fn expire_leases(&self) {
    self.update(|contents| {
      let leases: Vec<u64> = contents.leases.keys().copied().collect();
      for lease in leases {
        contents.revoke_lease(lease);
      }
    });
  }

  /// Withholds every page of a listing but the first.
  pub fn set_withholds_pages(&self, withholds_pages: bool) {
    self.contents().withholds_pages = withholds_pages;
  }

  /// Freezes the current items for reads that may be stale.
  pub fn freeze_stale_reads(&self) {
    let mut contents = self.contents();
    contents.stale = Some(StaleItems {
      items: contents.items.clone(),
      revision: contents.revision,
    });
  }

  /// Number of pages requested by reads that may be stale.
  pub fn stale_pages(&self) -> usize {
    self.contents().stale_pages
  }

  /// The keys in the store.
  pub fn keys(&self) -> Vec<String> {
    self.contents().items.keys().cloned().collect()
  }

  /// Rejects the next `count` pages after the first of a listing with 429, as a rate limit would.
  pub fn reject_pages(&self, count: usize) {
    self.contents().pages_to_reject = count;
  }

  /// Whether to reject a page; counts the rejection.
  pub(crate) fn takes_rejection(&self) -> bool {
    let mut contents = self.contents();
    let is_rejected = contents.pages_to_reject > 0;
    contents.pages_to_reject = contents.pages_to_reject.saturating_sub(1);
    is_rejected
  }

  /// Number of first pages requested.
  pub fn first_pages(&self) -> usize {
    self.contents().first_pages
  }

  /// Number of pages requested.
  pub fn listings(&self) -> usize {
    self.contents().listings
  }

  /// Waits for the configured latency. Returns `false` when the store is down.
  pub(crate) async fn admit_call(&self) -> bool {
    let delay = self.contents().delay;
    sleep(delay).await;
    !self.contents().is_down
  }

  /// Waits for a revision after `after`, until the timeout, or until the store is down.
  #[expect(
    clippy::disallowed_methods,
    reason = "no guard is held across an await"
  )]
  pub(crate) async fn wait_for_revision_after(&self, after: u64, wait: Duration) {
    let mut changed = self.changed.subscribe();
    // After a timeout the response has no events.
    let _ = timeout(
      wait,
      changed.wait_for(|revision| *revision > after || self.contents().is_down),
    )
    .await;
  }

  /// Responds to a call that changed something, unless responses are dropped.
  pub(crate) async fn respond(&self, response: Response) -> Response {
    if self.contents().drops_responses {
      pending::<()>().await;
    }
    response
  }
}
