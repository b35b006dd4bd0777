//! What the forwarding simulation measures.

/// Figures of one run, from the time at which a cut has to be noticed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ForwardingFigures {
  /// Requests of cut boxes' callers.
  pub requests: u32,
  /// Those that another box accepted.
  pub served: u32,
  /// Boxes that were asked for them.
  pub asked: u32,
  /// The most that boxes asked one box within a second.
  pub most_asked_per_s: u32,
  /// The most forwarded requests that one box accepted within a second.
  pub most_accepted_per_s: u32,
  /// Messages by which boxes learn which others are cut off, besides forwarded requests.
  pub announcements: u64,
}

impl ForwardingFigures {
  /// Share of cut boxes' requests that another box accepted.
  pub fn served_share(&self) -> f64 {
    f64::from(self.served) / f64::from(self.requests.max(1))
  }

  /// Boxes that are asked for a request.
  pub fn asked_per_request(&self) -> f64 {
    f64::from(self.asked) / f64::from(self.requests.max(1))
  }
}
