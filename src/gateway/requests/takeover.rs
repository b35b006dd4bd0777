//! The takeover of a stream from a silent engine by another one. The silent engine is kept until the other one has responded, and
//! goes on with the stream if it continues before that.

use {
  super::stream_request::{AttemptKind, StreamFailure, StreamRequest},
  crate::gateway::{
    edge::RouteTable,
    quarantine::{LostStage, record_lost_stage},
    stages::{ResponseHead, RoutedRequest},
    state::Gateway,
  },
  futures_util::{FutureExt, future::LocalBoxFuture},
  std::{fmt, pin::pin},
};

/// Why no other engine takes a stream over.
pub(crate) enum NoTakeover {
  /// The settings disable takeovers.
  Disabled,
  /// The request is quarantined.
  Blocked,
  /// The route allows no further attempt.
  NoAttempt,
  /// No other engine has responded with the stream.
  Failed(StreamFailure),
}

impl fmt::Display for NoTakeover {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    match self {
      Self::Disabled => formatter.write_str("takeovers are disabled"),
      Self::Blocked => formatter.write_str("request is quarantined"),
      Self::NoAttempt => formatter.write_str("no attempt left"),
      Self::Failed(failure) => failure.fmt(formatter),
    }
  }
}

/// The result of a silent attempt and its takeover, which run at the same time.
pub(super) enum Race<T> {
  /// The silent engine went on, or failed and no other one took the stream over.
  Current(T),
  /// Another engine has responded.
  TakenOver(Box<ResponseHead>),
  /// No other engine takes the stream over; the silent one may still go on.
  Stays(NoTakeover),
}

/// Runs a takeover beside the `current` attempt until one of them has a result. A current attempt that fails does not end the
/// takeover.
pub(super) async fn race<T>(
  mut current: impl Future<Output = T> + Unpin,
  has_failed: impl FnOnce(&T) -> bool,
  takeover: impl Future<Output = Result<Box<ResponseHead>, NoTakeover>>,
) -> Race<T> {
  let mut takeover = pin!(takeover);
  tokio::select! {
    biased;
    result = &mut current => {
      if !has_failed(&result) {
        return Race::Current(result);
      }
      takeover.await.map_or(Race::Current(result), Race::TakenOver)
    }
    taken = takeover.as_mut() => taken.map_or_else(Race::Stays, Race::TakenOver),
  }
}

impl StreamRequest {
  /// Has another engine respond with the stream, after its last event. The retry is charged first, and returned unless the request
  /// is sent. `silent` is the stage that it replaces. Dropping the future gives the takeover up.
  pub(super) fn take_over(
    &mut self,
    silent: LostStage,
  ) -> LocalBoxFuture<'_, Result<Box<ResponseHead>, NoTakeover>> {
    async move {
      if !self.gateway.settings.mechanisms.silence_takeover {
        return Err(NoTakeover::Disabled);
      }
      if !self.has_attempts_left() {
        return Err(NoTakeover::NoAttempt);
      }
      let Some(charge) = self.take_charge() else {
        return Err(NoTakeover::Failed(StreamFailure::NoRetry));
      };
      // A crash is to be known before the request reaches another engine.
      record_lost_stage(&self.gateway, &self.request, silent).await;
      if self.request.is_blocked(&self.gateway) {
        return Err(NoTakeover::Blocked);
      }
      let response = self.run_attempts(AttemptKind::Takeover, Some(charge)).await;
      self.export = None;
      response.map(Box::new).map_err(NoTakeover::Failed)
    }
    .boxed_local()
  }

  /// Releases what a takeover had secured: the silent engine has continued.
  pub(super) fn cancel_takeover(&mut self, engine: &str) {
    self.export = None;
    log::info!(
      "E565 not taken over: {} stays at {engine}: it went on",
      self.request.id()
    );
  }

  /// Logs that an engine is silent, and under which configurations its stream began and goes on.
  pub(super) fn log_silence(&self, engine: &str, silent_ms: u64) {
    log::info!(
      "E564 engine silent: {} at {engine} for {silent_ms} ms after event {:?}, {}",
      self.request.id(),
      self.last_event_id,
      configurations(&self.gateway, &self.request)
    );
  }

  /// Logs that a stream stays at its engine.
  pub(super) fn log_no_takeover(&self, engine: &str, reason: &NoTakeover) {
    log::info!(
      "E565 not taken over: {} stays at {engine}: {reason}",
      self.request.id()
    );
  }
}

/// The version of the configuration that routed a request, and of the one in force, for logs.
pub(super) fn configurations(gateway: &Gateway, request: &RoutedRequest) -> String {
  let table = gateway.route_table();
  let current = table.as_deref().map_or(0, RouteTable::version);
  format!("configuration {}, {current} now", request.configuration)
}
