//! Results of a permit simulation.

/// Results of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlaceFigures {
  /// The highest number of requests within 4 s from boxes that knew the limit, starting 3 s after it was first advertised.
  pub most_in_window: u32,
  /// Requests that the endpoint received from 5 s after it began to advertise the limit, as a fraction of that limit.
  pub used_share: f64,
  /// Requests, sent after the limit was first advertised, of boxes that had not yet received a response with it.
  pub untold: u32,
  /// Requests that were not sent to this endpoint.
  pub elsewhere: u32,
  /// Messages between boxes.
  pub messages: u32,
  /// Bytes per second, sent and received, of the box with the most bytes, while the limit is advertised.
  pub busiest_bytes_per_s: f64,
  /// Bytes per second, sent and received, of the average box.
  pub mean_bytes_per_s: f64,
}
