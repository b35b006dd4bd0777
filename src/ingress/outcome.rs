//! What a caller is told of an ending that is no answer: status, `Retry-After`, machine-readable body.

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

/// The outcome, as callers' programs go by it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
  /// The work truly did not run.
  NotRun,
  /// The work may have run.
  Unknown,
}

/// The body of an ending that is no answer.
#[derive(Debug, Serialize)]
pub(crate) struct OutcomeBody {
  pub(crate) error: OutcomeError,
}

/// What happened, in the form that OpenAI clients expect.
#[derive(Debug, Serialize)]
pub(crate) struct OutcomeError {
  pub(crate) outcome: Outcome,
  pub(crate) r#type: &'static str,
  pub(crate) code: String,
  pub(crate) message: String,
  #[serde(skip_serializing_if = "Option::is_none")]
  pub(crate) retry_after_ms: Option<u64>,
}

fn refusal_status(reason: NotRunReason) -> StatusCode {
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

fn refusal_text(reason: NotRunReason) -> &'static str {
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

fn doubt_text(reason: UnknownReason) -> &'static str {
  match reason {
    UnknownReason::EndpointFailed => "an endpoint failed after the work may have begun",
    UnknownReason::TimedOut => "the work may have begun and did not end in time",
    UnknownReason::AnswerBroken => "the answer broke off and could not be resumed",
  }
}

/// The word for an enum's variant as `serde` writes it.
fn code<T: Serialize>(value: T) -> String {
  serde_json::to_value(value)
    .ok()
    .and_then(|value| value.as_str().map(ToString::to_string))
    .unwrap_or_default()
}

/// The body for an ending; none for endings that have no body of their own.
pub(crate) fn outcome_body(ending: RequestOutcome) -> Option<OutcomeBody> {
  let error = match ending {
    RequestOutcome::Answered | RequestOutcome::Abandoned => return None,
    RequestOutcome::NotRun {
      reason,
      retry_after_ms,
    } => OutcomeError {
      code: code(reason),
      message: format!("not run: {}", refusal_text(reason)),
      outcome: Outcome::NotRun,
      retry_after_ms: (reason != NotRunReason::AlreadyClaimed).then_some(retry_after_ms),
      r#type: "not_run",
    },
    RequestOutcome::Unknown { reason } => OutcomeError {
      code: code(reason),
      message: format!("unknown: {}", doubt_text(reason)),
      outcome: Outcome::Unknown,
      retry_after_ms: None,
      r#type: "unknown",
    },
  };
  Some(OutcomeBody { error })
}

/// The response for an ending before the first byte.
pub(crate) fn outcome_response(ending: RequestOutcome) -> Response {
  let status = match ending {
    RequestOutcome::NotRun { reason, .. } => refusal_status(reason),
    RequestOutcome::Unknown {
      reason: UnknownReason::TimedOut,
    } => StatusCode::GATEWAY_TIMEOUT,
    RequestOutcome::Unknown { .. } | RequestOutcome::Answered | RequestOutcome::Abandoned => {
      StatusCode::BAD_GATEWAY
    }
  };
  let Some(body) = outcome_body(ending) else {
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

/// A refusal for a caller's own mistake: the work did not run, and coming back unchanged won't help.
pub(crate) fn mistake(status: StatusCode, code: &str, message: impl Into<String>) -> Response {
  let error = OutcomeError {
    code: code.into(),
    message: message.into(),
    outcome: Outcome::NotRun,
    retry_after_ms: None,
    r#type: "invalid_request_error",
  };
  (status, Json(OutcomeBody { error })).into_response()
}
