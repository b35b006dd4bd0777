//! Typed calls to one endpoint. Failures are classified by whether the work may have begun.

use {
  crate::{
    decide::{Began, CancelAnswer, Event, Role, StageOutcome},
    endpoint_api::{
      AttemptsReply, CacheEventsReply, CancelReply, CancelRequest, CommandRejection, DecodeRequest,
      HoldsReply, HoldsRequest, ImportRequest, ImportResponse, LoadReply, PrefillRequest,
      PrefillResponse, RejectionReply, RoleRequest,
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

/// Timeout of a role command; shorter than the safety margin of the shortest lease.
const ROLE_COMMAND_TIMEOUT: Duration = Duration::from_millis(500);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a command failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CommandFailure {
  /// The endpoint has no free capacity; the work did not begin.
  Full,
  /// The work did not begin.
  NeverBegan,
  /// The work may have begun.
  PerhapsBegan,
}

impl CommandFailure {
  /// The outcome to report to `decide`; `offset` is the number of response bytes delivered.
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

impl From<CallError> for CommandFailure {
  fn from(error: CallError) -> Self {
    match error {
      CallError::NotSent(_) => Self::NeverBegan,
      CallError::Status { status, text, .. } => match parse_rejection(status, &text) {
        Some(CommandRejection::Full) => Self::Full,
        Some(CommandRejection::Cancelled | CommandRejection::NotServing) => Self::NeverBegan,
        Some(CommandRejection::ExportGone | CommandRejection::OldFence) | None => {
          Self::PerhapsBegan
        }
      },
      CallError::ConnectionLost(_) | CallError::TimedOut(_) | CallError::InvalidResponse(_) => {
        Self::PerhapsBegan
      }
    }
  }
}

/// Parses a rejection. An error status without a valid rejection body does not prove that the work did not begin.
fn parse_rejection(status: StatusCode, text: &str) -> Option<CommandRejection> {
  if !status.is_client_error() && status != StatusCode::SERVICE_UNAVAILABLE {
    return None;
  }
  serde_json::from_str::<RejectionReply>(text)
    .ok()
    .map(|reply| reply.refusal)
}

/// A client for one endpoint.
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

  /// Classifies a failed command, and reports the backoff that the endpoint may have asked for.
  fn failure(&self, error: CallError) -> CommandFailure {
    if let CallError::Status {
      status,
      retry_after_ms: Some(backoff_ms),
      ..
    } = &error
    {
      self.report_backoff(*status, *backoff_ms);
    }
    error.into()
  }

  /// Reports a `Retry-After` delay to `decide` if the status is a rejection.
  pub(super) fn report_backoff(&self, status: StatusCode, backoff_ms: u64) {
    let is_rejection = matches!(
      status,
      StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if !is_rejection {
      return;
    }
    let event = Event::EndpointBackoff(self.name.clone(), backoff_ms);
    // If the ring is full, the next rejection reports the delay again.
    let _ = self.to_decide.push(event);
  }

  pub(super) async fn prefill(
    &self,
    request: &PrefillRequest,
    timeout: Duration,
  ) -> Result<PrefillResponse, CommandFailure> {
    let uri = self.uri("/v1/prefill");
    let response = self.http.post(&uri, request, timeout).await;
    response.map_err(|error| self.failure(error))
  }

  pub(super) async fn import(
    &self,
    request: &ImportRequest,
    timeout: Duration,
  ) -> Result<ImportResponse, CommandFailure> {
    let uri = self.uri("/v1/import");
    let response = self.http.post(&uri, request, timeout).await;
    response.map_err(|error| self.failure(error))
  }

  pub(super) async fn decode(
    &self,
    request: &DecodeRequest,
  ) -> Result<Response<Incoming>, CommandFailure> {
    let uri = self.uri("/v1/decode");
    let response = self.http.post_stream(&uri, request).await;
    response.map_err(|error| self.failure(error))
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
      .post::<_, serde_json::Value>(&uri, &request, ROLE_COMMAND_TIMEOUT)
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

  /// Sends a short management call; `None` on any failure.
  async fn control<T: Serialize, R: serde::de::DeserializeOwned>(
    &self,
    path: &str,
    request: &T,
  ) -> Option<R> {
    self
      .http
      .post(&self.uri(path), request, CONTROL_TIMEOUT)
      .await
      .ok()
  }
}
