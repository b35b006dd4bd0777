//! Error responses to callers: status, `Retry-After` and a machine-readable body.

use {
  crate::decide::{NotRunReason, RequestOutcome, UnknownReason},
  axum::{
    Json,
    response::{IntoResponse, Response},
  },
  http::{HeaderValue, StatusCode, header},
  serde::Serialize,
};

const MS_PER_S: u64 = 1_000;

/// Whether a failed request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
  /// The work did not run.
  NotRun,
  /// The work may have run.
  Unknown,
}

/// The body of an error response.
#[derive(Debug, Serialize)]
pub(crate) struct OutcomeBody {
  pub(crate) error: OutcomeError,
}

/// The error, in the form that OpenAI clients expect.
#[derive(Debug, Serialize)]
pub(crate) struct OutcomeError {
  pub(crate) outcome: Outcome,
  pub(crate) r#type: &'static str,
  pub(crate) code: String,
  pub(crate) message: String,
  #[serde(skip_serializing_if = "Option::is_none")]
  pub(crate) retry_after_ms: Option<u64>,
}

fn rejection_status(reason: NotRunReason) -> StatusCode {
  match reason {
    NotRunReason::OrganisationLimit => StatusCode::TOO_MANY_REQUESTS,
    NotRunReason::AlreadyClaimed => StatusCode::CONFLICT,
    NotRunReason::QueueFull
    | NotRunReason::Shed
    | NotRunReason::TooLate
    | NotRunReason::NoEndpoint
    | NotRunReason::ClaimUnavailable
    | NotRunReason::NeverBegan
    | NotRunReason::RetryBudget
    | NotRunReason::Stopping
    | NotRunReason::Busy
    | NotRunReason::NotReady => StatusCode::SERVICE_UNAVAILABLE,
  }
}

fn rejection_text(reason: NotRunReason) -> &'static str {
  match reason {
    NotRunReason::OrganisationLimit => "your organisation has too many requests in progress",
    NotRunReason::QueueFull => "the queue is full",
    NotRunReason::Shed => "shed for work that ranks higher",
    NotRunReason::TooLate => "the first token would come after the deadline",
    NotRunReason::NoEndpoint => "no live endpoint serves this",
    NotRunReason::ClaimUnavailable => "the claim for this key can't be made now",
    NotRunReason::AlreadyClaimed => {
      "a request with this key was taken on before; see its own answer"
    }
    NotRunReason::NeverBegan => "each endpoint tried confirmed that the work never began",
    NotRunReason::RetryBudget => "the work never began, and no retry is left",
    NotRunReason::Stopping => "this box is stopping",
    NotRunReason::Busy => "this box is busy",
    NotRunReason::NotReady => "this box has no configuration yet",
  }
}

fn unknown_text(reason: UnknownReason) -> &'static str {
  match reason {
    UnknownReason::EndpointFailed => "an endpoint failed after the work may have begun",
    UnknownReason::TimedOut => "the work may have begun and did not end in time",
    UnknownReason::AnswerBroken => "the answer broke off and could not be resumed",
  }
}

/// The name of an enum variant as `serde` writes it.
fn error_code<T: Serialize>(value: T) -> String {
  serde_json::to_value(value)
    .ok()
    .and_then(|value| value.as_str().map(ToString::to_string))
    .unwrap_or_default()
}

/// The error body for an outcome; `None` for outcomes that are not reported to the caller.
pub(crate) fn outcome_body(outcome: RequestOutcome) -> Option<OutcomeBody> {
  let error = match outcome {
    RequestOutcome::Answered | RequestOutcome::Abandoned => return None,
    RequestOutcome::NotRun {
      reason,
      retry_after_ms,
    } => OutcomeError {
      code: error_code(reason),
      message: format!("not run: {}", rejection_text(reason)),
      outcome: Outcome::NotRun,
      retry_after_ms: (reason != NotRunReason::AlreadyClaimed).then_some(retry_after_ms),
      r#type: "not_run",
    },
    RequestOutcome::Unknown { reason } => OutcomeError {
      code: error_code(reason),
      message: format!("unknown: {}", unknown_text(reason)),
      outcome: Outcome::Unknown,
      retry_after_ms: None,
      r#type: "unknown",
    },
  };
  Some(OutcomeBody { error })
}

/// The error response for a request that failed before the first response byte.
pub(crate) fn outcome_response(outcome: RequestOutcome) -> Response {
  let status = match outcome {
    RequestOutcome::NotRun { reason, .. } => rejection_status(reason),
    RequestOutcome::Unknown {
      reason: UnknownReason::TimedOut,
    } => StatusCode::GATEWAY_TIMEOUT,
    RequestOutcome::Unknown { .. } | RequestOutcome::Answered | RequestOutcome::Abandoned => {
      StatusCode::BAD_GATEWAY
    }
  };
  let Some(body) = outcome_body(outcome) else {
    return status.into_response();
  };
  let retry_after_ms = body.error.retry_after_ms;
  let mut response = (status, Json(body)).into_response();
  if let Some(retry_after_ms) = retry_after_ms {
    let seconds = retry_after_ms.div_ceil(MS_PER_S).max(1);
    response
      .headers_mut()
      .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
  }
  response
}

/// The response to an invalid request: the work did not run, and a retry without changes fails again.
pub(crate) fn invalid_request(
  status: StatusCode,
  code: &str,
  message: impl Into<String>,
) -> Response {
  let error = OutcomeError {
    code: code.into(),
    message: message.into(),
    outcome: Outcome::NotRun,
    retry_after_ms: None,
    r#type: "invalid_request_error",
  };
  (status, Json(OutcomeBody { error })).into_response()
}
