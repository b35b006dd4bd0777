//! One of the requests that an engine holds at once.

use {super::endpoint::Endpoint, std::sync::Arc};

/// A seat of an engine, taken until this is dropped.
pub(crate) struct Seat(Arc<Endpoint>);

impl Seat {
  /// Takes the reserved seat, or a free one.
  pub(crate) fn take(endpoint: &Arc<Endpoint>, hold: Option<&str>) -> Option<Self> {
    if !endpoint.take_seat(hold) {
      return None;
    }
    Some(Self(endpoint.clone()))
  }
}

impl Drop for Seat {
  fn drop(&mut self) {
    self.0.free_seat();
  }
}
