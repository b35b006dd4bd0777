//! Calls to endpoints, typed; failures are told apart by whether the work may have begun.

use {
  crate::{
    decide::{Began, CancelAnswer, Event, Role, StageOutcome},
    endpoint_api::{
      AttemptsReply, CacheEventsReply, CancelReply, CancelRequest, DecodeRequest, HoldsReply,
      HoldsRequest, ImportAnswer, ImportRequest, LoadReply, OrderRefusal, PrefillAnswer,
      PrefillRequest, RefusalReply, RoleRequest,
    },
    http_client::{CallError, HttpClient},
    ids::{AttemptId, Name},
    ring::Sender,
  },
  http::{Response, StatusCode},
  hyper::body::Incoming,
  serde::Serialize,
  std::time::Duration,
};

/// Longest life of a role order; shorter than the margin of the shortest lease.
const ROLE_ORDER_LIFE: Duration = Duration::from_millis(500);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an order failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderFailure {
  /// The endpoint has no room; nothing began.
  Full,
  /// Nothing began.
  NeverBegan,
  /// The work may have begun.
  PerhapsBegan,
}

impl OrderFailure {
  /// What `decide` is told.
  pub(super) fn outcome(self, offset: u64) -> StageOutcome {
    let began = match self {
      Self::Full => return StageOutcome::Full,
      Self::NeverBegan => Began::Never,
      Self::PerhapsBegan => Began::Perhaps,
    };
    StageOutcome::Failed {
      began,
      offset,
      resumable: true,
    }
  }
}

impl From<CallError> for OrderFailure {
  fn from(error: CallError) -> Self {
    match error {
      CallError::NotSent(_) => Self::NeverBegan,
      CallError::Status { status, text, .. } => match refusal(status, &text) {
        Some(OrderRefusal::Full) => Self::Full,
        Some(OrderRefusal::Cancelled | OrderRefusal::NotServing) => Self::NeverBegan,
        Some(OrderRefusal::ExportGone | OrderRefusal::OldFence) | None => Self::PerhapsBegan,
      },
      CallError::Broke(_) | CallError::TimedOut(_) | CallError::Answer(_) => Self::PerhapsBegan,
    }
  }
}

/// A refusal is believed only with its own body: any other error status says nothing.
fn refusal(status: StatusCode, text: &str) -> Option<OrderRefusal> {
  if !status.is_client_error() && status != StatusCode::SERVICE_UNAVAILABLE {
    return None;
  }
  serde_json::from_str::<RefusalReply>(text)
    .ok()
    .map(|reply| reply.refusal)
}

/// The client of one endpoint.
#[derive(Clone)]
pub(super) struct EndpointClient {
  pub(super) http: HttpClient,
  pub(super) name: Name,
  pub(super) url: std::sync::Arc<str>,
  pub(super) to_decide: Sender<Event>,
}

impl EndpointClient {
  fn uri(&self, path: &str) -> String {
    format!("{}{path}", self.url)
  }

  /// What a failed order means; an endpoint that turns orders away may want none for a while.
  fn refused(&self, error: CallError) -> OrderFailure {
    if let CallError::Status {
      status,
      retry_after_ms: Some(wanted_ms),
      ..
    } = &error
    {
      self.hear_pause(*status, *wanted_ms);
    }
    error.into()
  }

  /// The endpoint answers with a status, and with for how long it wants to be left alone.
  pub(super) fn hear_pause(&self, status: StatusCode, wanted_ms: u64) {
    let turns_away = matches!(
      status,
      StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if !turns_away {
      return;
    }
    let pauses = Event::EndpointBackoff(self.name.clone(), wanted_ms);
    // With a full ring the next refusal tells it.
    let _ = self.to_decide.push(pauses);
  }

  pub(super) async fn prefill(
    &self,
    request: &PrefillRequest,
    limit: Duration,
  ) -> Result<PrefillAnswer, OrderFailure> {
    let uri = self.uri("/v1/prefill");
    let answer = self.http.post(&uri, request, limit).await;
    answer.map_err(|error| self.refused(error))
  }

  pub(super) async fn import(
    &self,
    request: &ImportRequest,
    limit: Duration,
  ) -> Result<ImportAnswer, OrderFailure> {
    let uri = self.uri("/v1/import");
    let answer = self.http.post(&uri, request, limit).await;
    answer.map_err(|error| self.refused(error))
  }

  pub(super) async fn decode(
    &self,
    request: &DecodeRequest,
  ) -> Result<Response<Incoming>, OrderFailure> {
    let uri = self.uri("/v1/decode");
    let answer = self.http.post_stream(&uri, request).await;
    answer.map_err(|error| self.refused(error))
  }

  pub(super) async fn cancel(&self, attempt: AttemptId) -> CancelAnswer {
    let request = CancelRequest { attempt };
    self
      .control::<_, CancelReply>("/v1/cancel", &request)
      .await
      .map_or(CancelAnswer::Unreachable, |reply| reply.answer)
  }

  pub(super) async fn extend_holds(&self, request: &HoldsRequest) -> Option<HoldsReply> {
    self.control("/v1/holds", request).await
  }

  pub(super) async fn change_role(&self, role: Role, fence: u64) -> bool {
    let request = RoleRequest { fence, role };
    let uri = self.uri("/v1/role");
    self
      .http
      .post::<_, serde_json::Value>(&uri, &request, ROLE_ORDER_LIFE)
      .await
      .is_ok()
  }

  pub(super) async fn load(&self) -> Option<LoadReply> {
    let uri = self.uri("/v1/load");
    self.http.get(&uri, CONTROL_TIMEOUT).await.ok()
  }

  pub(super) async fn attempts(&self) -> Option<AttemptsReply> {
    let uri = self.uri("/v1/attempts");
    self.http.get(&uri, CONTROL_TIMEOUT).await.ok()
  }

  pub(super) async fn cache_events(&self, since: u64) -> Option<CacheEventsReply> {
    let uri = self.uri(&format!("/v1/cache-events?since={since}"));
    self.http.get(&uri, CONTROL_TIMEOUT).await.ok()
  }

  async fn control<Q: Serialize, A: serde::de::DeserializeOwned>(
    &self,
    path: &str,
    request: &Q,
  ) -> Option<A> {
    self
      .http
      .post(&self.uri(path), request, CONTROL_TIMEOUT)
      .await
      .ok()
  }
}
