//! Error responses of the administration API.

use {
  axum::{
    Json,
    response::{IntoResponse, Response},
  },
  http::StatusCode,
  serde::{Deserialize, Serialize},
};

/// The body of an error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProblemBody {
  /// What is wrong, and where.
  pub error: String,
  /// The current revision, on a conflict.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub revision: Option<u64>,
}

/// An error response.
#[derive(Debug)]
pub(super) struct Problem {
  pub(super) status: StatusCode,
  pub(super) body: ProblemBody,
}

impl Problem {
  pub(super) fn new(status: StatusCode, error: impl ToString) -> Self {
    Self {
      body: ProblemBody {
        error: error.to_string(),
        revision: None,
      },
      status,
    }
  }

  /// The response to a write that expected another revision than the current one.
  pub(super) fn conflict(current: u64) -> Self {
    let error =
      format!("the document is at revision {current}; read it again and repeat the change");
    Self {
      body: ProblemBody {
        error,
        revision: Some(current),
      },
      status: StatusCode::CONFLICT,
    }
  }
}

impl IntoResponse for Problem {
  fn into_response(self) -> Response {
    (self.status, Json(self.body)).into_response()
  }
}
