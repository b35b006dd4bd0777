//! A stand-in for a plain service: it counts what it runs.

use {
  axum::{
    Json, Router,
    body::{Body, to_bytes},
    extract::{Request, State},
    response::{IntoResponse, Response},
    routing::{get, post},
  },
  bytes::Bytes,
  http::{StatusCode, header::RETRY_AFTER},
  rillford::endpoint_api::LoadReply,
  serde::{Deserialize, Serialize},
  std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
  },
  tokio::time::sleep,
};

const CUT_PAUSE: Duration = Duration::from_millis(100);
const MOST_BODY_BYTES: usize = 1024 * 1024;

/// Fault switches of a plain service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
  /// Answers late.
  pub slow_ms: u64,
  /// Runs, then never answers.
  pub lose_answer: bool,
  /// Answers 500 before running.
  pub fail_before: bool,
  /// Cuts its answer in the middle.
  pub cut_answer: bool,
  /// Reports that it is leaving.
  pub leaving: bool,
  /// Turns calls away, and wants none for so many seconds.
  pub pause_s: Option<u32>,
}

#[derive(Debug, Default)]
struct Inner {
  faults: ServiceFaults,
  incarnation: u64,
  runs: BTreeMap<String, u64>,
  busy: u32,
  turned_away: u32,
}

/// A plain service. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct ServiceStandIn {
  inner: Arc<Mutex<Inner>>,
  seats: u32,
}

/// What a service says it was asked.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Echo {
  /// The method.
  pub method: String,
  /// Path and query.
  pub path: String,
  /// The body.
  pub body: String,
  /// Names of the headers that came.
  pub headers: Vec<String>,
}

impl ServiceStandIn {
  /// A service that has run nothing.
  pub fn new(seats: u32) -> Self {
    Self {
      inner: Arc::default(),
      seats,
    }
  }

  fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
    self.inner.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Sets the fault switches.
  pub fn set_faults(&self, faults: ServiceFaults) {
    self.inner().faults = faults;
  }

  /// How often each body (or path, where there is no body) was run.
  pub fn runs(&self) -> BTreeMap<String, u64> {
    self.inner().runs.clone()
  }

  /// Calls that were turned away.
  pub fn turned_away(&self) -> u32 {
    self.inner().turned_away
  }

  /// The routes of the stand-in.
  pub fn router(&self) -> Router {
    Router::new()
      .route("/v1/load", get(load))
      .route("/tally", get(tally))
      .route("/switch", post(switch))
      .fallback(run)
      .with_state(self.clone())
  }
}

async fn load(State(service): State<ServiceStandIn>) -> Json<LoadReply> {
  let inner = service.inner();
  Json(LoadReply {
    age_ms: 0,
    incarnation: inner.incarnation + 1,
    leaving: inner.faults.leaving,
    queue_tokens: 0,
    role: None,
    seats: service.seats,
    used_seats: inner.busy,
  })
}

async fn tally(State(service): State<ServiceStandIn>) -> Json<BTreeMap<String, u64>> {
  Json(service.runs())
}

async fn switch(State(service): State<ServiceStandIn>, Json(faults): Json<ServiceFaults>) {
  service.set_faults(faults);
}

async fn run(State(service): State<ServiceStandIn>, request: Request) -> Response {
  let faults = service.inner().faults.clone();
  if faults.fail_before {
    return StatusCode::INTERNAL_SERVER_ERROR.into_response();
  }
  if let Some(pause_s) = faults.pause_s {
    service.inner().turned_away += 1;
    let retry_after = [(RETRY_AFTER, pause_s.to_string())];
    return (StatusCode::SERVICE_UNAVAILABLE, retry_after).into_response();
  }
  let method = request.method().to_string();
  let path = request.uri().to_string();
  let headers = request.headers().keys().map(ToString::to_string).collect();
  let bytes = to_bytes(request.into_body(), MOST_BODY_BYTES)
    .await
    .unwrap_or_default();
  let body = String::from_utf8_lossy(&bytes).to_string();
  let subject = if body.is_empty() { &path } else { &body };
  *service.inner().runs.entry(subject.clone()).or_default() += 1;
  service.inner().busy += 1;
  sleep(Duration::from_millis(faults.slow_ms)).await;
  service.inner().busy -= 1;
  if faults.lose_answer {
    std::future::pending::<()>().await;
  }
  if faults.cut_answer {
    return cut();
  }
  Json(Echo {
    body,
    headers,
    method,
    path,
  })
  .into_response()
}

/// An answer whose connection breaks before its announced end.
fn cut() -> Response {
  let pieces = futures_util::stream::unfold(0, |piece| async move {
    if piece == 0 {
      return Some((Ok(Bytes::from("half of an ans")), 1));
    }
    // The first half is on its way before the cut.
    sleep(CUT_PAUSE).await;
    Some((Err(std::io::Error::other("cut")), 2))
  });
  Body::from_stream(pieces).into_response()
}
