//! What a caller is told of an ending that is no answer: status, `Retry-After`, machine-readable body.

use {
  crate::decide::{Doubt, Ending, Refusal},
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

fn refusal_status(reason: Refusal) -> StatusCode {
  match reason {
    Refusal::OrganisationLimit => StatusCode::TOO_MANY_REQUESTS,
    Refusal::AlreadyClaimed => StatusCode::CONFLICT,
    Refusal::QueueFull
    | Refusal::Shed
    | Refusal::TooLate
    | Refusal::NoEndpoint
    | Refusal::ClaimUnavailable
    | Refusal::NeverBegan
    | Refusal::RetryBudget
    | Refusal::Stopping
    | Refusal::Busy
    | Refusal::NotReady => StatusCode::SERVICE_UNAVAILABLE,
  }
}

fn refusal_text(reason: Refusal) -> &'static str {
  match reason {
    Refusal::OrganisationLimit => "your organisation has too many requests in progress",
    Refusal::QueueFull => "the queue is full",
    Refusal::Shed => "shed for work that ranks higher",
    Refusal::TooLate => "the first token would come after the deadline",
    Refusal::NoEndpoint => "no live endpoint serves this",
    Refusal::ClaimUnavailable => "the claim for this key can't be made now",
    Refusal::AlreadyClaimed => "a request with this key was taken on before; see its own answer",
    Refusal::NeverBegan => "each endpoint tried confirmed that the work never began",
    Refusal::RetryBudget => "the work never began, and no retry is left",
    Refusal::Stopping => "this box is stopping",
    Refusal::Busy => "this box is busy",
    Refusal::NotReady => "this box has no configuration yet",
  }
}

fn doubt_text(reason: Doubt) -> &'static str {
  match reason {
    Doubt::EndpointFailed => "an endpoint failed after the work may have begun",
    Doubt::TimedOut => "the work may have begun and did not end in time",
    Doubt::AnswerBroken => "the answer broke off and could not be resumed",
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
pub(crate) fn outcome_body(ending: Ending) -> Option<OutcomeBody> {
  let error = match ending {
    Ending::Answered | Ending::Abandoned => return None,
    Ending::NotRun {
      reason,
      retry_after_ms,
    } => OutcomeError {
      code: code(reason),
      message: format!("not run: {}", refusal_text(reason)),
      outcome: Outcome::NotRun,
      retry_after_ms: (reason != Refusal::AlreadyClaimed).then_some(retry_after_ms),
      r#type: "not_run",
    },
    Ending::Unknown { reason } => OutcomeError {
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
pub(crate) fn outcome_response(ending: Ending) -> Response {
  let status = match ending {
    Ending::NotRun { reason, .. } => refusal_status(reason),
    Ending::Unknown {
      reason: Doubt::TimedOut,
    } => StatusCode::GATEWAY_TIMEOUT,
    Ending::Unknown { .. } | Ending::Answered | Ending::Abandoned => StatusCode::BAD_GATEWAY,
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
