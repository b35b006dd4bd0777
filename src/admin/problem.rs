//! What an operator is told of a refused call.

use {
  axum::{
    Json,
    response::{IntoResponse, Response},
  },
  http::StatusCode,
  serde::{Deserialize, Serialize},
};

/// The body of a refused call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProblemBody {
  /// What is wrong, and where.
  pub error: String,
  /// The present revision, on a conflict.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub revision: Option<u64>,
}

/// A refused call.
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

  pub(super) fn conflict(present: u64) -> Self {
    let error =
      format!("the document is at revision {present}; read it again and repeat the change");
    Self {
      body: ProblemBody {
        error,
        revision: Some(present),
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
