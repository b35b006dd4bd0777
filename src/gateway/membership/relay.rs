//! Relays changes of the store from the boxes that read it to their followers, and responds to messages of other boxes.

use {
  crate::{
    CallError, HttpClient,
    gateway::{
      connections::{message_response, status_response},
      edge::StoreChanges,
      limits::{
        DEMAND_PATH, RANKED_USAGE_PATH, TOTALS_PATH, USAGE_PATH, handle_demand,
        handle_ranked_usage, handle_totals, handle_usage,
      },
      permits::{LIMITS_PATH, PERMITS_PATH, handle_limit, handle_permits},
      prefill_queue::{FINISH_PATH, PLACE_PATH, handle_finish, handle_place},
      quarantine::{MARKS_PATH, SUSPECTS_PATH, handle_marks, handle_suspects},
      resumption::{
        FIND_ORIGIN_PATH, FIND_STREAM_PATH, ORIGINS_PATH, STREAMS_PATH, handle_begin,
        handle_find_origin, handle_hold, handle_lookup, handle_origins, handle_records,
      },
      retries::{LEND_RETRY_PATH, RETURN_RETRY_PATH, handle_lend_retry, handle_return_retry},
      stages::{BEGIN_PATH, HOLD_PATH},
      state::Gateway,
    },
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde::{Deserialize, Serialize},
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::time::timeout,
};

/// How long a follower's long poll waits for a change. A follower whose two readers fail one after the other loses twice this and
/// the margin, which has to stay within the 2 s in which a configuration must apply.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Time for the response after the wait: a box in the same hall needs milliseconds, and 100 ms when it has used up its CPU quota.
const POLL_MARGIN: Duration = Duration::from_millis(250);

/// The query of a follower that can decode recorded versions. Older readers ignore it.
const KNOWS_VERSIONS: &str = "versions";

/// A reader without store contact for this long is not followed. The second reader of a hall follows the first, so its contact may
/// be as old as a watch, a pause and a long poll together.
pub(super) const READER_STALE_MS: u64 = 1_500;

/// Response to a follower.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct RelayResponse {
  pub(crate) changes: StoreChanges,
  /// Time since the last contact with the store; `None` when there was none.
  pub(crate) store_age_ms: Option<u64>,
}

/// Polls a box for the changes after a revision.
pub(crate) async fn poll_changes(
  http: &HttpClient,
  address: SocketAddr,
  revision: u64,
) -> Result<RelayResponse, CallError> {
  let request = Request::get(format!(
    "http://{address}/changes/{revision}?{KNOWS_VERSIONS}"
  ))
  .body(Full::new(Bytes::new()))
  .map_err(|error| CallError::NotSent(error.to_string()))?;
  let body = http.fetch_bytes(request, POLL_WAIT + POLL_MARGIN).await?;
  postcard::from_bytes(&body).map_err(|error| CallError::InvalidResponse(error.to_string()))
}

/// Responds to a message of another box.
pub(crate) async fn handle_message(
  gateway: Rc<Gateway>,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match request.uri().path() {
    USAGE_PATH => handle_usage(&gateway, request).await,
    RANKED_USAGE_PATH => handle_ranked_usage(&gateway, request).await,
    TOTALS_PATH => handle_totals(&gateway, request).await,
    DEMAND_PATH => handle_demand(&gateway, request).await,
    LIMITS_PATH => handle_limit(&gateway, request).await,
    PERMITS_PATH => handle_permits(&gateway, request).await,
    PLACE_PATH => handle_place(&gateway, request).await,
    FINISH_PATH => handle_finish(&gateway, request).await,
    MARKS_PATH => handle_marks(&gateway, request).await,
    SUSPECTS_PATH => handle_suspects(&gateway, request).await,
    STREAMS_PATH => handle_records(&gateway, request).await,
    FIND_STREAM_PATH => handle_lookup(&gateway, request).await,
    ORIGINS_PATH => handle_origins(&gateway, request).await,
    FIND_ORIGIN_PATH => handle_find_origin(&gateway, request).await,
    HOLD_PATH => handle_hold(&gateway, request).await,
    BEGIN_PATH => handle_begin(&gateway, request).await,
    LEND_RETRY_PATH => handle_lend_retry(&gateway, request).await,
    RETURN_RETRY_PATH => handle_return_retry(&gateway, request).await,
    _ => handle_changes(gateway, request).await,
  }
}

/// Responds to `/changes/REVISION` with the changes after a revision, once there are some or the wait is over.
async fn handle_changes(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Full<Bytes>> {
  let knows_versions = request.uri().query() == Some(KNOWS_VERSIONS);
  let revision = request
    .uri()
    .path()
    .strip_prefix("/changes/")
    .and_then(|text| text.parse().ok());
  let Some(revision) = revision else {
    return status_response(StatusCode::NOT_FOUND);
  };
  let contact_ms = gateway.store_contact_ms.get();
  let is_fresh =
    contact_ms.is_some_and(|contact_ms| gateway.now_ms() < contact_ms + READER_STALE_MS);
  // A box without store contact responds at once, so that its followers turn to another one.
  if is_fresh {
    // After a timeout the response has no changes.
    let _ = timeout(POLL_WAIT, gateway.change_log.wait_after(revision)).await;
  }
  let mut changes = gateway.change_log.after(revision);
  if !knows_versions {
    changes.remove_versions();
  }
  let response = RelayResponse {
    changes,
    store_age_ms: gateway
      .store_contact_ms
      .get()
      .map(|contact_ms| gateway.now_ms() - contact_ms),
  };
  message_response(&response)
}
