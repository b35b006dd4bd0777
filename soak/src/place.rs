//! Where endpoints serve.

use {
  super::{link::Link, running_endpoint::RunningEndpoint},
  std::sync::{Mutex, MutexGuard, PoisonError},
};

/// One endpoint's place: an address behind a link, where one incarnation serves after the other.
pub(crate) struct Place {
  pub(crate) link: Link,
  /// Nothing while the endpoint is down.
  running_endpoint: Mutex<Option<RunningEndpoint>>,
}

impl Place {
  /// A place where nothing serves yet.
  pub(crate) fn new(link: Link) -> Self {
    let running_endpoint = Mutex::new(None);
    Self {
      link,
      running_endpoint,
    }
  }

  /// What serves here, locked.
  pub(crate) fn running_endpoint(&self) -> MutexGuard<'_, Option<RunningEndpoint>> {
    self
      .running_endpoint
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
  }
}
