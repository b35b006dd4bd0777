//! The takeover of a stream from a silent engine by another one.

use {
  super::stream_request::StreamRequest,
  crate::gateway::{edge::RouteTable, stages::RoutedRequest, state::Gateway},
};

/// Why no other engine takes a stream over.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum NoTakeover {
  /// The settings disable takeovers.
  #[error("takeovers are disabled")]
  Disabled,
  /// The request is quarantined.
  #[error("request is quarantined")]
  Blocked,
  /// The route allows no further attempt.
  #[error("no attempt left")]
  NoAttempt,
  /// The retry budget is spent.
  #[error("no retry left")]
  NoRetry,
  /// No other engine has a free slot.
  #[error("no free slot")]
  NoSlot,
}

impl StreamRequest {
  /// Logs that an engine is silent, and under which configurations its stream began and goes on.
  pub(crate) fn log_silence(&self, engine: &str, silent_ms: u64) {
    log::info!(
      "E564 engine silent: {} at {engine} for {silent_ms} ms after event {:?}, {}",
      self.request.id(),
      self.last_event_id,
      configurations(&self.gateway, &self.request)
    );
  }

  /// Logs that a stream stays at its engine.
  pub(crate) fn log_no_takeover(&self, engine: &str, reason: NoTakeover) {
    log::info!(
      "E565 not taken over: {} stays at {engine}: {reason}",
      self.request.id()
    );
  }

  /// Logs that an engine went on while its stream was being taken over.
  pub(crate) fn log_went_on(&self, engine: &str) {
    log::info!(
      "E565 not taken over: {} stays at {engine}: it went on",
      self.request.id()
    );
  }
}

/// The version of the configuration that routed a request, and of the one in force, for logs.
pub(crate) fn configurations(gateway: &Gateway, request: &RoutedRequest) -> String {
  let table = gateway.route_table();
  let current = table.as_deref().map_or(0, RouteTable::version);
  format!("configuration {}, {current} now", request.configuration)
}
