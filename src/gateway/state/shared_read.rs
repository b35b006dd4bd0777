//! Reads of the store that requests share.

use {
  std::{cell::RefCell, mem},
  tokio::sync::{Notify, oneshot},
};

/// Reads of one range of the store: a read serves all requests that wait when it begins, and none that arrive later.
pub(crate) struct SharedRead<T> {
  waiting: RefCell<Vec<oneshot::Sender<T>>>,
  is_wanted: Notify,
}

impl<T> Default for SharedRead<T> {
  fn default() -> Self {
    Self {
      is_wanted: Notify::new(),
      waiting: RefCell::default(),
    }
  }
}

impl<T: Clone> SharedRead<T> {
  /// The result of a read that begins after this call; `None` if nothing reads any more.
  pub(crate) async fn read(&self) -> Option<T> {
    let (sender, receiver) = oneshot::channel();
    self.waiting.borrow_mut().push(sender);
    self.is_wanted.notify_one();
    receiver.await.ok()
  }

  /// Runs a read for each group of requests that wait, until the process exits.
  pub(crate) async fn serve(&self, mut read: impl AsyncFnMut() -> T) {
    loop {
      self.is_wanted.notified().await;
      let mut waiting = mem::take(&mut *self.waiting.borrow_mut());
      // Requests that have gone by then need no read.
      waiting.retain(|sender| !sender.is_closed());
      if waiting.is_empty() {
        continue;
      }
      let result = read().await;
      for sender in waiting {
        // The request may have gone.
        let _ = sender.send(result.clone());
      }
    }
  }
}
