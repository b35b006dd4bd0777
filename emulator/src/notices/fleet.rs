//! How many boxes and endpoints a replay of notices has.

/// Boxes and plain endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoticeFleet {
  /// Boxes.
  pub boxes: usize,
  /// Endpoints of one service.
  pub endpoints: usize,
  /// Requests a second for each endpoint.
  pub requests_per_s: f64,
}

impl NoticeFleet {
  /// The users' smallest deployment, at a usual load.
  pub const SMALL: Self = Self {
    boxes: 8,
    endpoints: 3,
    requests_per_s: 12.0,
  };
  /// Many boxes before few endpoints, which are busy.
  pub const WIDE: Self = Self {
    boxes: 300,
    endpoints: 3,
    requests_per_s: 60.0,
  };
  /// Many boxes before many endpoints.
  pub const LARGE: Self = Self {
    boxes: 300,
    endpoints: 60,
    requests_per_s: 30.0,
  };
}
