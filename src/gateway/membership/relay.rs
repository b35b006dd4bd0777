//! Changes of the store on their way from the boxes that read it to those that follow them.

use {
  crate::{
    CallError, HttpClient,
    gateway::{
      connections::{message_response, serve_port, status_response},
      edge::StoreChanges,
      limits::{TOTALS_PATH, USE_PATH, answer_totals, answer_use},
      permits::{LIMITS_PATH, PERMITS_PATH, answer_limit, answer_permits},
      quarantine::{MARKS_PATH, answer_marks},
      state::Gateway,
    },
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde::{Deserialize, Serialize},
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::{net::TcpListener, time::timeout},
};

/// How long a follower's call waits for a change. Two readers that fail one after the other cost a follower
/// twice this and the margin, which has to stay within the users' 2 s for a configuration.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// A box in the same hall answers within milliseconds after that, one that has used up its share of a core
/// within 100 ms.
const FOLLOW_MARGIN: Duration = Duration::from_millis(250);

/// A reader that has not heard the store for this long is no source. The second reader of a hall hears it
/// through the first: a watch, a pause and a follower's wait old at the most.
pub(super) const READER_STALE_MS: u64 = 1_500;

/// What a box that is followed answers.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct RelayAnswer {
  pub(crate) changes: StoreChanges,
  /// How long ago it heard the store; nothing when it never did.
  pub(crate) store_age_ms: Option<u64>,
}

/// Asks a box for the changes after a revision.
pub(crate) async fn follow(
  http: &HttpClient,
  address: SocketAddr,
  revision: u64,
) -> Result<RelayAnswer, CallError> {
  let request = Request::get(format!("http://{address}/changes/{revision}"))
    .body(Full::new(Bytes::new()))
    .map_err(|error| CallError::NotSent(error.to_string()))?;
  let body = http
    .fetch_bytes(request, FOLLOW_WAIT + FOLLOW_MARGIN)
    .await?;
  postcard::from_bytes(&body).map_err(|error| CallError::InvalidResponse(error.to_string()))
}

/// Answers other boxes until the process ends.
pub(crate) async fn serve_boxes(gateway: Rc<Gateway>, listener: TcpListener) {
  serve_port(listener, "boxes", move |request| {
    answer(gateway.clone(), request)
  })
  .await;
}

/// Answers another box's call.
async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Full<Bytes>> {
  match request.uri().path() {
    USE_PATH => answer_use(&gateway, request).await,
    TOTALS_PATH => answer_totals(&gateway, request).await,
    LIMITS_PATH => answer_limit(&gateway, request).await,
    PERMITS_PATH => answer_permits(&gateway, request).await,
    MARKS_PATH => answer_marks(&gateway, request).await,
    _ => answer_changes(gateway, request).await,
  }
}

/// Answers `/changes/REVISION` with the changes after a revision, once there are some or the wait is over.
async fn answer_changes(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Full<Bytes>> {
  let revision = request
    .uri()
    .path()
    .strip_prefix("/changes/")
    .and_then(|text| text.parse().ok());
  let Some(revision) = revision else {
    return status_response(StatusCode::NOT_FOUND);
  };
  let heard_ms = gateway.store_heard_ms.get();
  let is_source = heard_ms.is_some_and(|heard_ms| gateway.now_ms() < heard_ms + READER_STALE_MS);
  // A box that does not hear the store says so at once: its followers turn to another one.
  if is_source {
    // An answer without changes says that there are none.
    let _ = timeout(FOLLOW_WAIT, gateway.change_log.wait_after(revision)).await;
  }
  let answer = RelayAnswer {
    changes: gateway.change_log.after(revision),
    store_age_ms: gateway
      .store_heard_ms
      .get()
      .map(|heard_ms| gateway.now_ms() - heard_ms),
  };
  message_response(&answer)
}
