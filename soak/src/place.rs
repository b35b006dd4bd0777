//! The places of endpoints.

use {
  super::{link::Link, running_endpoint::RunningEndpoint},
  std::sync::{Mutex, MutexGuard, PoisonError},
};

/// An address behind a link, at which incarnations of an endpoint run one after another.
pub(crate) struct Place {
  pub(crate) link: Link,
  /// `None` while the endpoint is down.
  running_endpoint: Mutex<Option<RunningEndpoint>>,
}

impl Place {
  pub(crate) fn new(link: Link) -> Self {
    let running_endpoint = Mutex::new(None);
    Self {
      link,
      running_endpoint,
    }
  }

  /// The running endpoint, locked.
  pub(crate) fn running_endpoint(&self) -> MutexGuard<'_, Option<RunningEndpoint>> {
    self
      .running_endpoint
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
  }
}
