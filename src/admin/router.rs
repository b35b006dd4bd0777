//! Routes of the administration API, and the key check before each.

use {
  super::{configuration, problem::Problem, state::AdminState},
  crate::{
    bearer_key::BearerKey,
    configuration::hash_key,
    decide::{Event, Status},
    observe::EventPage,
  },
  axum::{
    Json, Router,
    extract::{Path, Query, Request, State},
    middleware::{self, Next},
    response::Response,
    routing::{get, post},
  },
  http::{HeaderMap, StatusCode},
  serde::Deserialize,
  std::sync::Arc,
};

pub(super) fn router(state: Arc<AdminState>) -> Router {
  Router::new()
    .route("/status", get(status))
    .route("/events", get(events))
    .route("/endpoints/{name}/drain", post(drain))
    .route("/endpoints/{name}/undrain", post(undrain))
    .route(
      "/configuration/{*key}",
      get(configuration::read).put(configuration::write),
    )
    .route("/history/{*key}", get(configuration::history))
    .fallback(|| async { Problem::new(StatusCode::NOT_FOUND, "no such path") })
    .layer(middleware::from_fn_with_state(state.clone(), check_key))
    .with_state(state)
}

async fn check_key(
  State(state): State<Arc<AdminState>>,
  request: Request,
  next: Next,
) -> Result<Response, Problem> {
  if !is_allowed(&state, request.headers()) {
    let message = "the Authorization header must carry an administration key";
    return Err(Problem::new(StatusCode::UNAUTHORIZED, message));
  }
  Ok(next.run(request).await)
}

fn is_allowed(state: &AdminState, headers: &HeaderMap) -> bool {
  let Some(key) = BearerKey::read(headers).key() else {
    return false;
  };
  let hash = hash_key(key);
  state
    .keys_sha256
    .iter()
    .any(|known| known.eq_ignore_ascii_case(&hash))
}

async fn status(State(state): State<Arc<AdminState>>) -> Json<Status> {
  Json(state.status.load().as_ref().clone())
}

#[derive(Deserialize)]
struct Since {
  #[serde(default)]
  since: u64,
}

async fn events(
  State(state): State<Arc<AdminState>>,
  Query(query): Query<Since>,
) -> Json<EventPage> {
  Json(state.timeline.since(query.since))
}

async fn drain(
  state: State<Arc<AdminState>>,
  path: Path<String>,
) -> Result<Json<Drained>, Problem> {
  set_leaving(state, path, true).await
}

async fn undrain(
  state: State<Arc<AdminState>>,
  path: Path<String>,
) -> Result<Json<Drained>, Problem> {
  set_leaving(state, path, false).await
}

#[derive(serde::Serialize)]
struct Drained {
  endpoint: String,
  leaving: bool,
}

async fn set_leaving(
  State(state): State<Arc<AdminState>>,
  Path(name): Path<String>,
  leaving: bool,
) -> Result<Json<Drained>, Problem> {
  let known = state.endpoints.iter().find(|known| known.as_ref() == name);
  let Some(endpoint) = known.cloned() else {
    let message = format!("`{name}` is no endpoint of this box's settings");
    return Err(Problem::new(StatusCode::NOT_FOUND, message));
  };
  state.to_decide.send(Event::Drain(endpoint, leaving)).await;
  Ok(Json(Drained {
    endpoint: name,
    leaving,
  }))
}
