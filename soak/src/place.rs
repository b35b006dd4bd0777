//! Where endpoints serve.

use {
  super::{link::Link, serving::Serving},
  std::sync::{Mutex, MutexGuard, PoisonError},
};

/// One endpoint's place: an address behind a link, where one incarnation serves after the other.
pub(crate) struct Place {
  pub(crate) link: Link,
  /// Nothing while the endpoint is down.
  serving: Mutex<Option<Serving>>,
}

impl Place {
  /// A place where nothing serves yet.
  pub(crate) fn new(link: Link) -> Self {
    let serving = Mutex::new(None);
    Self { link, serving }
  }

  /// What serves here, locked.
  pub(crate) fn serving(&self) -> MutexGuard<'_, Option<Serving>> {
    self.serving.lock().unwrap_or_else(PoisonError::into_inner)
  }
}
