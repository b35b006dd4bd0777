//! The places of endpoints.

use {
  super::{link::Link, running_endpoint::RunningEndpoint},
  std::sync::{Mutex, MutexGuard, PoisonError},
};

/// An address behind a link, at which incarnations of an endpoint run one after another.
pub(crate) struct Place {
  pub(crate) link: Link,
  /// `None` while the endpoint is down.
  running: Mutex<Option<RunningEndpoint>>,
}

impl Place {
  pub(crate) fn new(link: Link) -> Self {
    let running = Mutex::new(None);
    Self { link, running }
  }

  /// The running endpoint, locked.
  pub(crate) fn running(&self) -> MutexGuard<'_, Option<RunningEndpoint>> {
    self.running.lock().unwrap_or_else(PoisonError::into_inner)
  }
}
