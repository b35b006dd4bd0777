//! Queue reservations (places) at prefill engines, as boxes and coordinators exchange them. Free of I/O.

use {
  super::endpoint_incarnation::EndpointIncarnation,
  serde::{Deserialize, Serialize},
};

/// Identifies a place: the box that asked for it and the number of its request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PlaceId {
  /// Identifies one run of one box.
  pub box_incarnation: u64,
  /// Unique within the incarnation.
  pub sequence: u64,
}

/// A request for a place.
#[derive(Clone, Copy, Debug)]
pub struct PlaceRequest<'a> {
  pub id: PlaceId,
  pub prompt_tokens: u64,
  /// Time left until the first event is due.
  pub target_left_ms: u64,
  /// Engines that were tried before or are unknown to the box.
  pub excluded: &'a [EndpointIncarnation],
}

/// A granted place.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Place {
  pub engine: EndpointIncarnation,
  /// Time until the engine is expected to start the prompt.
  pub start_in_ms: u64,
  /// Time until the engine is expected to finish the prompt.
  pub end_in_ms: u64,
  /// Prompt tokens in the places ahead.
  pub tokens_ahead: u64,
  /// Places ahead.
  pub ahead: u32,
}

/// The load that an engine reported with its response; the request itself is part of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedEngineLoad {
  pub running: u32,
  pub waiting: u32,
  /// Duration of work on the engine's machine in percent of the usual; `None` when the engine does not report it.
  pub slowdown_percent: Option<u32>,
}

/// What became of a place.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PlaceOutcome {
  /// The engine finished the prompt.
  Completed {
    /// Time from sending the prompt to the response.
    took_ms: u64,
    load: Option<ReportedEngineLoad>,
  },
  /// The prompt was not sent to the engine.
  Unused,
  /// The engine did not answer, or broke off.
  Lost,
  /// The box cancelled the prompt after sending it.
  Cancelled,
}

/// The queue of one engine, for metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineQueue {
  pub engine: EndpointIncarnation,
  /// Places that are granted and not finished.
  pub places: u32,
  /// Age of the oldest place; 0 without places.
  pub oldest_ms: u64,
  /// Time until the engine is expected to have finished all places.
  pub queued_ms: u64,
}
