//! Boxes and endpoints of the notice simulation.

/// Number of boxes and plain endpoints, and the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoticeFleet {
  pub boxes: usize,
  /// Endpoints of one service.
  pub endpoints: usize,
  /// Requests per second and endpoint.
  pub requests_per_s: f64,
}

impl NoticeFleet {
  /// A small deployment at normal load.
  pub const SMALL: Self = Self {
    boxes: 8,
    endpoints: 3,
    requests_per_s: 12.0,
  };
  /// Many boxes with few, busy endpoints.
  pub const WIDE: Self = Self {
    boxes: 300,
    endpoints: 3,
    requests_per_s: 60.0,
  };
  /// Many boxes with many endpoints.
  pub const LARGE: Self = Self {
    boxes: 300,
    endpoints: 60,
    requests_per_s: 30.0,
  };
}
