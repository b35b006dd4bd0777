//! A stand-in for a plain service that counts the calls that it runs.

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
    convert::Infallible,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
  },
  tokio::time::sleep,
};

const DELAY_BEFORE_CUT: Duration = Duration::from_millis(100);
const MAX_BODY_BYTES: usize = 1024 * 1024;
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Faults that can be injected into a plain service; all are off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
  /// Delay of each response.
  pub slow_ms: u64,
  /// Calls run but never receive a response.
  pub lose_answer: bool,
  /// Calls fail with status 500 before they run.
  pub fail_before: bool,
  /// Closes the connection in the middle of the response body.
  pub cut_answer: bool,
  /// The body of a response stalls in the middle until this is reset.
  pub stall_answer: bool,
  /// Load reports signal that the service is leaving.
  pub leaving: bool,
  /// Rejects calls with status 503 and this `Retry-After`, in seconds.
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
  slots: u32,
}

/// The response of a service: the request that it received.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Echo {
  /// Method.
  pub method: String,
  /// Path and query.
  pub path: String,
  /// Body.
  pub body: String,
  /// Names of the request headers.
  pub headers: Vec<String>,
}

impl ServiceStandIn {
  /// Creates a service that reports room for this many calls at once.
  pub fn new(slots: u32) -> Self {
    Self {
      inner: Arc::default(),
      slots,
    }
  }

  fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
    self.inner.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Replaces the injected faults.
  pub fn set_faults(&self, faults: ServiceFaults) {
    self.inner().faults = faults;
  }

  /// Number of runs by body, or by path for calls without a body.
  pub fn runs(&self) -> BTreeMap<String, u64> {
    self.inner().runs.clone()
  }

  /// Number of calls rejected with a `Retry-After`.
  pub fn turned_away(&self) -> u32 {
    self.inner().turned_away
  }

  /// The HTTP API. All paths but the listed ones run a call.
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
    seats: service.slots,
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
  let bytes = to_bytes(request.into_body(), MAX_BODY_BYTES)
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
    return truncated_response();
  }
  if faults.stall_answer {
    return stalled_response(service);
  }
  Json(Echo {
    body,
    headers,
    method,
    path,
  })
  .into_response()
}

/// A chunked response whose second chunk waits until the fault is reset.
fn stalled_response(service: ServiceStandIn) -> Response {
  let chunks = futures_util::stream::unfold((service, 0), |(service, index)| async move {
    match index {
      0 => Some((Ok::<_, Infallible>(Bytes::from("half of ")), (service, 1))),
      1 => {
        while service.inner().faults.stall_answer {
          sleep(STALL_CHECK_PERIOD).await;
        }
        Some((Ok(Bytes::from("an answer")), (service, 2)))
      }
      _ => None,
    }
  });
  Body::from_stream(chunks).into_response()
}

/// A chunked response whose connection breaks before the last chunk.
fn truncated_response() -> Response {
  let chunks = futures_util::stream::unfold(0, |index| async move {
    if index == 0 {
      return Some((Ok(Bytes::from("half of an ans")), 1));
    }
    // Lets the first chunk leave before the connection breaks.
    sleep(DELAY_BEFORE_CUT).await;
    Some((Err(std::io::Error::other("cut")), 2))
  });
  Body::from_stream(chunks).into_response()
}
