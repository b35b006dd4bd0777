//! What came of a replay of places.

/// Figures of one replay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlaceFigures {
  /// The most requests in four seconds of boxes that had been told, from three seconds after the first word.
  pub most_in_window: u32,
  /// Requests that the endpoint got from five seconds after its first word on, as a part of what it named.
  pub used_share: f64,
  /// Requests that it got after its first word from boxes that had not heard it.
  pub untold: u32,
  /// Requests that went elsewhere.
  pub elsewhere: u32,
  /// Messages between boxes.
  pub messages: u32,
  /// Bytes a second at the box that had most of them, from the first word on.
  pub busiest_bytes_per_s: f64,
  /// Bytes a second of a box at the mean.
  pub mean_bytes_per_s: f64,
}
