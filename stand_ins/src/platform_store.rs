//! The simulated store, in memory, with the changes and faults that tests control.

use {
  super::{
    store_condition::StoreCondition,
    store_contents::{Contents, StaleItems},
    store_limits::{CallCost, StoreLimits},
    write_loss::WriteFate,
  },
  axum::response::{IntoResponse, Response},
  base64::{Engine, engine::general_purpose::STANDARD},
  http::StatusCode,
  serde_json::Value,
  std::{
    future::pending,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
  },
  tokio::{sync::watch, time::sleep},
};

/// A running store.
#[derive(Clone)]
pub struct PlatformStore {
  /// Listen address.
  pub address: SocketAddr,
  pub(crate) contents: Arc<Mutex<Contents>>,
  pub(crate) changed: watch::Sender<u64>,
  /// Number of changes of the conditions of views.
  pub(crate) conditions: watch::Sender<u64>,
  /// Number of times that waiting watches were cut.
  pub(crate) watch_cuts: watch::Sender<u64>,
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
    self.update(Contents::compact);
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

  /// Sets the limits; without them every call is allowed, and the history stays.
  pub fn set_limits(&self, limits: StoreLimits) {
    self.contents().set_limits(limits);
  }

  /// Ends the leases that this view granted, at once.
  pub fn end_leases_of_view(&self) {
    self.update(|contents| {
      let granted = contents.leases.iter();
      let granted: Vec<u64> = granted
        .filter(|(_, lease)| lease.view == self.address)
        .map(|(id, _)| *id)
        .collect();
      for lease in granted {
        contents.revoke_lease(lease);
      }
    });
  }

  /// Whether a lease that this view granted lasts.
  pub fn has_leases_of_view(&self) -> bool {
    let contents = self.contents();
    let mut leases = contents.leases.values();
    leases.any(|lease| lease.view == self.address)
  }

  /// Address of the view that last wrote a key with a lease under a condition, as a box does that becomes a leader.
  pub fn last_leader(&self) -> Option<SocketAddr> {
    self.contents().last_leader
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

  /// How the callers of this view are treated.
  pub fn condition(&self) -> StoreCondition {
    self.contents().condition(self.address)
  }

  /// Waits for the latency. Fails with the response when the call is rejected.
  pub(crate) async fn admit(&self, cost: CallCost) -> Result<(), Response> {
    let latency = self.contents().latency();
    sleep(latency).await;
    if self.contents().is_down {
      return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    match self.condition() {
      StoreCondition::Serving => {}
      StoreCondition::Busy => return Err(StatusCode::SERVICE_UNAVAILABLE.into_response()),
      StoreCondition::Many => return Err(StatusCode::TOO_MANY_REQUESTS.into_response()),
      // The connection is reset, or stays silent.
      StoreCondition::Reset | StoreCondition::Silent => pending().await,
    }
    if !self.contents().take(cost) {
      return Err(StatusCode::TOO_MANY_REQUESTS.into_response());
    }
    Ok(())
  }

  /// Carries out a write, and responds unless responses are lost.
  pub(crate) async fn carry_out(
    &self,
    write: impl FnOnce(&mut Contents) -> Response + Send + 'static,
  ) -> Response {
    let fate = self.contents().next_fate();
    match fate {
      WriteFate::Answered => {
        let response = self.update(write);
        self.respond(response).await
      }
      WriteFate::Unanswered => {
        self.update(write);
        pending().await
      }
      WriteFate::Late(late) => {
        let store = self.clone();
        // Outlives the connection.
        tokio::spawn(async move {
          sleep(late).await;
          store.update(write);
        });
        pending().await
      }
    }
  }

  /// Responds to a call that changed something, unless responses are dropped.
  pub(crate) async fn respond(&self, response: Response) -> Response {
    if self.contents().drops_responses {
      pending::<()>().await;
    }
    response
  }
}
