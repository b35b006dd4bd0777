//! What is asked of the book of endpoints, and what it answers.

use {
  super::allowed_halls::AllowedHalls,
  crate::{decide::Role, gateway::edge::EndpointEntry, ids::Name},
};

/// What is wanted of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
  /// The service.
  pub service: &'a str,
  /// The role; `None` takes any.
  pub role: Option<Role>,
  /// Size of the work: prompt tokens for engines, 1 for plain services.
  pub size: u64,
  /// Endpoints that were tried.
  pub tried: &'a [Name],
  /// The halls that may be chosen.
  pub allowed_halls: &'a AllowedHalls,
  /// The hall that is preferred.
  pub hall: &'a str,
  /// Whether the work may be repeated: only such work tries an endpoint that failed before.
  pub may_retry: bool,
}

/// The endpoint that was chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
  /// The endpoint.
  pub entry: EndpointEntry,
  /// Work of this box and, as far as known, of others that is ahead.
  pub ahead: u64,
  /// How long the work is expected to take with what is ahead, at the pace that was seen; nothing before the
  /// first answer.
  pub expected_ms: Option<u64>,
  /// Whether it said just now that it is full, or failed: no other is left.
  pub left_alone: bool,
}

impl Choice {
  /// Part of such work that has to go elsewhere for the rest to be done within a time; 0 before the first answer.
  pub fn share_beyond(&self, limit_ms: f64) -> f64 {
    let Some(expected_ms) = self.expected_ms else {
      return 0.0;
    };
    (1.0 - limit_ms / expected_ms.max(1) as f64).max(0.0)
  }
}

/// How an endpoint's part of the work ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartEnd {
  /// It answered.
  Answered {
    /// From sending to the answer, or to its first part.
    took_ms: u64,
  },
  /// It answered with a failure of its own.
  Failed,
  /// It said that it is full.
  Full,
  /// It does not answer at all: it, or the path to its hall, is gone.
  Unreachable,
  /// It refused a connection, fell silent or broke off.
  Lost,
  /// This box no longer wanted the answer.
  Dropped,
}
