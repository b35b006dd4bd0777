//! Waiting for changes of the simulated store.

use {
  super::{platform_store::PlatformStore, store_condition::StoreCondition},
  std::{future::pending, time::Duration},
  tokio::time::{Instant, sleep_until},
};

/// How the wait of a watch ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WatchEnd {
  /// There is something to respond, or the time is over.
  Ready,
  /// The connection is to be closed.
  Cut,
}

impl PlatformStore {
  /// Waits for an event below a prefix, until the timeout, or until the store is down.
  pub(crate) async fn wait_for_news(&self, prefix: &str, after: u64, wait: Duration) -> WatchEnd {
    let mut changed = self.changed.subscribe();
    let mut conditions = self.conditions.subscribe();
    let mut cuts = self.watch_cuts.subscribe();
    let deadline = Instant::now() + wait;
    let mut is_over = false;
    loop {
      match self.condition() {
        StoreCondition::Serving => {}
        StoreCondition::Busy | StoreCondition::Many => return WatchEnd::Cut,
        // The connection is reset, or stays silent.
        StoreCondition::Reset | StoreCondition::Silent => pending().await,
      }
      if self.ends_watch(prefix, after, is_over) {
        return WatchEnd::Ready;
      }
      // The senders live as long as the store.
      tokio::select! {
        _ = changed.changed() => {}
        _ = conditions.changed() => {}
        _ = cuts.changed() => return WatchEnd::Cut,
        () = sleep_until(deadline), if !is_over => is_over = true,
      }
    }
  }

  fn ends_watch(&self, prefix: &str, after: u64, is_over: bool) -> bool {
    let contents = self.contents();
    if contents.is_down {
      return true;
    }
    let is_deaf = contents.faults.deaf_watches.current().is_some();
    !is_deaf && (is_over || contents.has_news(prefix, after))
  }
}
