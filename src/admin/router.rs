//! The administration routes and the check of keys before each.

use {
  super::{configuration, desk::Desk, problem::Problem},
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

pub(super) fn router(desk: Arc<Desk>) -> Router {
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
    .layer(middleware::from_fn_with_state(desk.clone(), check_key))
    .with_state(desk)
}

async fn check_key(
  State(desk): State<Arc<Desk>>,
  request: Request,
  next: Next,
) -> Result<Response, Problem> {
  if !is_allowed(&desk, request.headers()) {
    let message = "the Authorization header must carry an administration key";
    return Err(Problem::new(StatusCode::UNAUTHORIZED, message));
  }
  Ok(next.run(request).await)
}

fn is_allowed(desk: &Desk, headers: &HeaderMap) -> bool {
  let Some(key) = BearerKey::read(headers).given() else {
    return false;
  };
  let hash = hash_key(key);
  desk
    .keys_sha256
    .iter()
    .any(|known| known.eq_ignore_ascii_case(&hash))
}

async fn status(State(desk): State<Arc<Desk>>) -> Json<Status> {
  Json(desk.status.load().as_ref().clone())
}

#[derive(Deserialize)]
struct Since {
  #[serde(default)]
  since: u64,
}

async fn events(State(desk): State<Arc<Desk>>, Query(query): Query<Since>) -> Json<EventPage> {
  Json(desk.timeline.since(query.since))
}

async fn drain(state: State<Arc<Desk>>, path: Path<String>) -> Result<Json<Drained>, Problem> {
  set_leaving(state, path, true).await
}

async fn undrain(state: State<Arc<Desk>>, path: Path<String>) -> Result<Json<Drained>, Problem> {
  set_leaving(state, path, false).await
}

#[derive(serde::Serialize)]
struct Drained {
  endpoint: String,
  leaving: bool,
}

async fn set_leaving(
  State(desk): State<Arc<Desk>>,
  Path(name): Path<String>,
  leaving: bool,
) -> Result<Json<Drained>, Problem> {
  let known = desk.endpoints.iter().find(|known| known.as_ref() == name);
  let Some(endpoint) = known.cloned() else {
    let message = format!("`{name}` is no endpoint of this box's settings");
    return Err(Problem::new(StatusCode::NOT_FOUND, message));
  };
  desk.to_decide.send(Event::Drain(endpoint, leaving)).await;
  Ok(Json(Drained {
    endpoint: name,
    leaving,
  }))
}
