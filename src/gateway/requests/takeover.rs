//! The takeover of a stream from a silent engine by another one. The silent engine is kept until the other one has responded, and
//! goes on with the stream if it continues before that.

use {
  super::stream_request::{StreamFailure, StreamRequest},
  crate::gateway::{
    edge::RouteTable,
    quarantine::{LostStage, record_lost_stage, record_silent_stage},
    stages::{ResponseHead, RoutedRequest},
    state::Gateway,
  },
  futures_util::{FutureExt, future::LocalBoxFuture},
  std::fmt,
};

/// Why no other engine takes a stream over.
pub(crate) enum NoTakeover {
  /// The settings disable takeovers.
  Disabled,
  /// The request is quarantined.
  Blocked,
  /// The route allows no further attempt.
  NoAttempt,
  /// The silent engine went on first.
  WentOn,
  /// No other engine has responded with the stream.
  Failed(StreamFailure),
}

impl fmt::Display for NoTakeover {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    match self {
      Self::Disabled => formatter.write_str("takeovers are disabled"),
      Self::Blocked => formatter.write_str("request is quarantined"),
      Self::NoAttempt => formatter.write_str("no attempt left"),
      Self::WentOn => formatter.write_str("it went on"),
      Self::Failed(failure) => failure.fmt(formatter),
    }
  }
}

/// The result of a silent attempt and its takeover, which run at the same time.
pub(super) enum Race<T> {
  /// The silent engine went on.
  Current(T),
  /// The silent engine failed, and no other one takes the stream over.
  Failed(T),
  /// Another engine has responded; the silent one's failure, if it failed before that.
  TakenOver(Box<ResponseHead>, Option<T>),
  /// No other engine takes the stream over; the silent one may still go on.
  Stays,
}

/// A takeover from an engine that is silent.
pub(super) struct Takeover<F> {
  /// The stage that the silent engine runs.
  pub(super) silent: LostStage,
  /// Whether a result of the silent engine is a failure.
  pub(super) has_failed: F,
}

impl StreamRequest {
  /// Runs a takeover beside the `current` attempt until one of them has a result. A current attempt that fails does not end the
  /// takeover. The silent engine's stage is recorded as lost when it fails or is taken over.
  pub(super) async fn race_takeover<T>(
    &mut self,
    mut current: impl Future<Output = T> + Unpin,
    takeover: Takeover<impl FnOnce(&T) -> bool>,
  ) -> Race<T> {
    let Takeover { has_failed, silent } = takeover;
    let (gateway, request) = (self.gateway.clone(), self.request.clone());
    let (engine, stage) = (silent.entry.id.clone(), silent.clone());
    let mut taking_over = self.take_over(silent);
    let race = tokio::select! {
      biased;
      result = &mut current => {
        if has_failed(&result) {
          // A crash is to be known before the request reaches another engine.
          record_lost_stage(&gateway, &request, stage).await;
          match (&mut taking_over).await {
            Ok(head) => Ok(Race::TakenOver(head, Some(result))),
            Err(reason) => Err((Race::Failed(result), reason)),
          }
        } else {
          Err((Race::Current(result), NoTakeover::WentOn))
        }
      }
      taken = &mut taking_over => match taken {
        Ok(head) => {
          record_lost_stage(&gateway, &request, stage).await;
          Ok(Race::TakenOver(head, None))
        }
        Err(reason) => Err((Race::Stays, reason)),
      },
    };
    drop(taking_over);
    race.unwrap_or_else(|(race, reason)| {
      self.end_takeover(&engine, &reason);
      race
    })
  }

  /// Has another engine respond with the stream, after its last event. The retry is charged first, and returned unless the request
  /// is sent. Dropping the future gives the takeover up.
  fn take_over(
    &mut self,
    silent: LostStage,
  ) -> LocalBoxFuture<'_, Result<Box<ResponseHead>, NoTakeover>> {
    async move {
      if !self.gateway.settings.mechanisms.silence_takeover {
        return Err(NoTakeover::Disabled);
      }
      if self.request.is_blocked(&self.gateway) {
        return Err(NoTakeover::Blocked);
      }
      if !self.has_attempts_left() {
        return Err(NoTakeover::NoAttempt);
      }
      self.settle_version().await.map_err(NoTakeover::Failed)?;
      let Some(charge) = self.take_charge().await else {
        return Err(NoTakeover::Failed(StreamFailure::NoRetry));
      };
      record_silent_stage(&self.gateway, &self.request, silent).await;
      if self.request.is_blocked(&self.gateway) {
        return Err(NoTakeover::Blocked);
      }
      let response = self.begin_charged(Some(charge)).await;
      response.map(Box::new).map_err(NoTakeover::Failed)
    }
    .boxed_local()
  }

  /// Ends a silence: engines that did not run the request in a takeover may be tried again.
  pub(super) fn end_silence(&mut self) {
    let not_run_at = std::mem::take(&mut self.not_run_at);
    self.tried.retain(|tried| !not_run_at.contains(tried));
    self.rejections = 0;
    self.restarted = 0;
    self.lacking_start = 0;
  }

  /// Releases what a takeover had secured.
  fn end_takeover(&mut self, engine: &str, reason: &NoTakeover) {
    self.export = None;
    self.rejected_by = None;
    log::info!(
      "E565 not taken over: {} stays at {engine}: {reason}",
      self.request.id()
    );
  }

  /// Logs that another engine has taken the stream over.
  pub(super) fn log_taken_over(&self, engine: &str, head: &ResponseHead) {
    log::info!(
      "E566 taken over: {} from {engine} by {}",
      self.request.id(),
      head.entry.id
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
}

/// The version of the configuration that routed a request, and of the one in force, for logs.
pub(super) fn configurations(gateway: &Gateway, request: &RoutedRequest) -> String {
  let table = gateway.route_table();
  let current = table.as_deref().map_or(0, RouteTable::version);
  format!("configuration {}, {current} now", request.configuration)
}
