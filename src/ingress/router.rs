//! The callers' routes.

use {
  super::{
    Desk, caller_headers::read_headers, completions, desk::Phase, outcome::mistake, services,
  },
  crate::ids::Name,
  axum::{
    Json, Router,
    extract::{DefaultBodyLimit, State},
    response::{IntoResponse, Response},
    routing::{any, get, post},
  },
  http::{HeaderMap, StatusCode},
  serde::Serialize,
  std::sync::Arc,
};

/// The routes for callers.
pub(super) fn router(desk: Arc<Desk>) -> Router {
  let limit = DefaultBodyLimit::max(desk.limits.body_bytes);
  Router::new()
    .route("/health", get(health))
    .route("/v1/models", get(models))
    .route("/v1/chat/completions", post(completions::chat))
    .route("/v1/completions", post(completions::plain))
    .route("/services/{service}", any(services::root))
    .route("/services/{service}/", any(services::root))
    .route("/services/{service}/{*path}", any(services::below))
    .fallback(|| async { mistake(StatusCode::NOT_FOUND, "no_such_path", "no such path") })
    .layer(limit)
    .with_state(desk)
}

async fn health(State(desk): State<Arc<Desk>>) -> Response {
  match desk.phase.get() {
    Phase::Ready => (StatusCode::OK, "ready\n").into_response(),
    Phase::Unready => (StatusCode::SERVICE_UNAVAILABLE, "no configuration\n").into_response(),
    Phase::Leaving | Phase::Closed => {
      (StatusCode::SERVICE_UNAVAILABLE, "stopping\n").into_response()
    }
  }
}

#[derive(Serialize)]
struct Model {
  id: Name,
  object: &'static str,
  owned_by: &'static str,
}

#[derive(Serialize)]
struct ModelList {
  object: &'static str,
  data: Vec<Model>,
}

async fn models(State(desk): State<Arc<Desk>>, headers: HeaderMap) -> Response {
  if let Err(refusal) = read_headers(&desk, &headers) {
    return *refusal;
  }
  let data = desk
    .models
    .iter()
    .map(|id| Model {
      id: id.clone(),
      object: "model",
      owned_by: "rillford",
    })
    .collect();
  Json(ModelList {
    data,
    object: "list",
  })
  .into_response()
}
