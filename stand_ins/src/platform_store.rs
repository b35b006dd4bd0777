//! The platform's store, in memory, with what a test or a run may do to it.

use {
  super::store_contents::{Contents, OldItems},
  axum::response::Response,
  base64::{Engine, engine::general_purpose::STANDARD},
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
  /// Where it listens.
  pub address: SocketAddr,
  pub(crate) contents: Arc<Mutex<Contents>>,
  pub(crate) changed: watch::Sender<u64>,
}

impl PlatformStore {
  /// The contents, locked.
  pub(crate) fn contents(&self) -> MutexGuard<'_, Contents> {
    // A task that panicked between two changes leaves them whole.
    self.contents.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Changes the contents, and tells those who wait.
  pub(crate) fn alter<T>(&self, change: impl FnOnce(&mut Contents) -> T) -> T {
    let (result, revision) = {
      let mut contents = self.contents();
      let result = change(&mut contents);
      (result, contents.revision)
    };
    self.changed.send_replace(revision);
    result
  }

  /// Writes a key, as the operator and the endpoints do.
  pub fn put(&self, key: &str, value: &[u8]) {
    self.alter(|contents| contents.write(key, STANDARD.encode(value), 0));
  }

  /// Writes a key with a value that need not be base64.
  pub fn put_text(&self, key: &str, value: &str) {
    self.alter(|contents| contents.write(key, value.into(), 0));
  }

  /// Removes a key.
  pub fn remove(&self, key: &str) {
    self.alter(|contents| contents.remove(key));
  }

  /// Forgets what has changed so far: a watch from before is told so.
  pub fn forget_history(&self) {
    self.alter(|contents| {
      contents.revision += 1;
      contents.history_from = contents.revision;
      contents.history.clear();
    });
  }

  /// Answers every call with 503, or serves again.
  pub fn set_down(&self, is_down: bool) {
    self.alter(|contents| contents.is_down = is_down);
  }

  /// Carries out writes without answering them, or answers again.
  pub fn set_loses_answers(&self, loses_answers: bool) {
    self.alter(|contents| contents.loses_answers = loses_answers);
  }

  /// Answers so much later.
  pub fn set_delay(&self, delay: Duration) {
    self.alter(|contents| contents.delay = delay);
  }

  /// Ends all leases at once, and their keys with them.
  pub fn end_leases(&self) {
    self.alter(|contents| {
      let leases: Vec<u64> = contents.leases.keys().copied().collect();
      for lease in leases {
        contents.end_lease(lease);
      }
    });
  }

  /// Withholds every page of a listing but the first.
  pub fn set_holds_pages(&self, holds_pages: bool) {
    self.contents().holds_pages = holds_pages;
  }

  /// From now on, pages that need not be as of now show what is there at this moment.
  pub fn lag(&self) {
    let mut contents = self.contents();
    contents.old = Some(OldItems {
      items: contents.items.clone(),
      revision: contents.revision,
    });
  }

  /// How many pages that need not be as of now were asked for.
  pub fn old_pages(&self) -> usize {
    self.contents().old_pages
  }

  /// The keys that are there.
  pub fn keys(&self) -> Vec<String> {
    self.contents().items.keys().cloned().collect()
  }

  /// Refuses so many pages of listings, none of them a first one, as a store does that is asked too often.
  pub fn refuse_pages(&self, count: usize) {
    self.contents().pages_to_refuse = count;
  }

  /// Whether a page is to be refused.
  pub(crate) fn takes_refusal(&self) -> bool {
    let mut contents = self.contents();
    let is_refused = contents.pages_to_refuse > 0;
    contents.pages_to_refuse = contents.pages_to_refuse.saturating_sub(1);
    is_refused
  }

  /// How many listings began.
  pub fn first_pages(&self) -> usize {
    self.contents().first_pages
  }

  /// How many pages were asked for.
  pub fn listings(&self) -> usize {
    self.contents().listings
  }

  /// Waits as long as a slow store does; `false` when it is down.
  pub(crate) async fn takes_call(&self) -> bool {
    let delay = self.contents().delay;
    sleep(delay).await;
    !self.contents().is_down
  }

  /// Waits for a revision after the given one, for the end of the wait, or until the store is down.
  pub(crate) async fn wait_past(&self, after: u64, wait: Duration) {
    let mut changed = self.changed.subscribe();
    // Without a change the answer says that there is none.
    let _ = timeout(
      wait,
      changed.wait_for(|revision| *revision > after || self.contents().is_down),
    )
    .await;
  }

  /// The answer to a call that changed something, unless answers are lost.
  pub(crate) async fn answer(&self, answer: Response) -> Response {
    if self.contents().loses_answers {
      pending::<()>().await;
    }
    answer
  }
}
