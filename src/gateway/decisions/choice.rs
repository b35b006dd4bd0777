//! Input and result of the selection of an endpoint, and the outcome of the attempt.

use {
  super::allowed_halls::AllowedHalls,
  crate::{
    decide::Role,
    gateway::edge::{EndpointEntry, SoftwareVersion},
    ids::Name,
  },
};

/// The criteria by which an endpoint is selected.
#[derive(Clone, Copy, Debug)]
pub struct EndpointCriteria<'a> {
  pub service: &'a str,
  /// The role; `None` takes any.
  pub role: Option<Role>,
  /// Size of the work: prompt tokens for engines, 1 for plain services.
  pub size: u64,
  /// Endpoints that were tried before and are excluded.
  pub tried: &'a [Name],
  /// The version that began the stream; `None` takes any.
  pub version: Option<&'a SoftwareVersion>,
  /// The halls that may be chosen.
  pub allowed_halls: &'a AllowedHalls,
  /// The preferred hall.
  pub hall: &'a str,
  /// Whether the work may be retried: only such work probes an endpoint that was lost.
  pub is_retryable: bool,
}

/// The selected endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
  pub entry: EndpointEntry,
  /// Work queued ahead: of this box and, as far as reported, of others.
  pub queued_ahead: u64,
  /// How long the work is expected to take with what is queued ahead, at the average pace of the endpoint; `None` before its
  /// first response.
  pub expected_ms: Option<u64>,
  /// Whether the box backs off from it after a loss or a full queue: no other endpoint is left.
  pub is_backing_off: bool,
}

impl Choice {
  /// Share of such work that has to go elsewhere for the rest to finish within a time; 0 before the first response.
  pub fn share_over(&self, limit_ms: f64) -> f64 {
    self
      .expected_ms
      .map_or(0.0, |expected_ms| share_over(expected_ms, limit_ms))
  }
}

/// Share of work that is expected to take `expected_ms` that has to go elsewhere for the rest to finish within `limit_ms`.
///
/// ```
/// use rillford::gateway::share_over;
/// assert_eq!(share_over(400, 300.0), 0.25);
/// assert_eq!(share_over(200, 300.0), 0.0);
/// ```
pub fn share_over(expected_ms: u64, limit_ms: f64) -> f64 {
  (1.0 - limit_ms / expected_ms.max(1) as f64).max(0.0)
}

/// The outcome of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
  /// It answered the request.
  Answered {
    /// Time from sending to the response, or to its first chunk.
    took_ms: u64,
  },
  /// It answered with an error of its own.
  Failed,
  /// It reported that it is full.
  Full,
  /// It could not be reached: it, or the path to its hall, is down.
  Unreachable,
  /// It refused the connection, stopped responding, or broke off.
  Lost,
  /// This box cancelled the attempt.
  Cancelled,
}
