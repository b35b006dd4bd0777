//! HTTP routes for callers.

use {
  super::{
    IngressState, caller_headers::parse_headers, completions, outcome::invalid_request, services,
    state::Phase,
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

pub(super) fn router(state: Arc<IngressState>) -> Router {
  let body_limit = DefaultBodyLimit::max(state.limits.body_bytes);
  Router::new()
    .route("/health", get(health))
    .route("/v1/models", get(models))
    .route("/v1/chat/completions", post(completions::chat))
    .route("/v1/completions", post(completions::text))
    .route("/services/{service}", any(services::root))
    .route("/services/{service}/", any(services::root))
    .route("/services/{service}/{*path}", any(services::path))
    .fallback(|| async { invalid_request(StatusCode::NOT_FOUND, "no_such_path", "no such path") })
    .layer(body_limit)
    .with_state(state)
}

async fn health(State(state): State<Arc<IngressState>>) -> Response {
  match state.phase.get() {
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

async fn models(State(state): State<Arc<IngressState>>, headers: HeaderMap) -> Response {
  if let Err(rejection) = parse_headers(&state, &headers) {
    return *rejection;
  }
  let data = state
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
