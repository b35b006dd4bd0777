//! Messages between boxes on where streams began. A box without this feature answers them with 404.

use {
  crate::{
    CallError, HttpClient,
    gateway::{
      connections::{message_response, read_message, send_message, status_response},
      decisions::{RecordSource, RecordedOrigin, StreamKey, StreamOrigin},
      edge::SoftwareVersion,
      state::Gateway,
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde::{Deserialize, Serialize},
  std::{net::SocketAddr, time::Duration},
};

/// The path on which a box receives records of streams.
pub(crate) const STREAMS_PATH: &str = "/streams";
/// The path on which a box is asked for the record of a stream.
pub(crate) const FIND_STREAM_PATH: &str = "/streams/find";
/// Limit of a message body: room for the records of a burst.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Timeout of a message: a reachable box answers in milliseconds, and within 100 ms when it has used up its CPU quota.
const TIMEOUT: Duration = Duration::from_millis(150);
/// Longest lifetime of a record that another box may set.
const MAX_TTL_MS: u64 = 3_600_000;

/// Where a stream began.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct StreamRecordMessage {
  pub(super) key: StreamKey,
  pub(super) origin: StreamOrigin,
  /// Time until the record expires.
  pub(super) ttl_ms: u64,
}

/// Asks where a stream began.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct LookupMessage {
  pub(super) key: StreamKey,
  /// The service of the request that resumes it.
  pub(super) service: Name,
}

/// The response to a lookup.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct LookupResponse {
  pub(super) origin: RecordedOrigin,
  /// The versions of the service that the answering box knows, for boxes of older builds.
  pub(super) versions: Vec<SoftwareVersion>,
}

/// Sends records to a box.
pub(super) async fn send_records(
  http: &HttpClient,
  address: SocketAddr,
  records: &[StreamRecordMessage],
) -> Result<(), CallError> {
  send_message(http, address, STREAMS_PATH, &records, TIMEOUT)
    .await
    .map(drop)
}

/// Asks a box where a stream began.
pub(super) async fn ask(
  http: &HttpClient,
  address: SocketAddr,
  message: &LookupMessage,
) -> Result<LookupResponse, CallError> {
  let body = send_message(http, address, FIND_STREAM_PATH, message, TIMEOUT).await?;
  postcard::from_bytes(&body).map_err(|error| CallError::InvalidResponse(error.to_string()))
}

/// Keeps another box's records.
pub(crate) async fn handle_records(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message::<Vec<StreamRecordMessage>>(request, MAX_BODY_BYTES).await {
    Ok(records) => {
      records.into_iter().for_each(|record| keep(gateway, record));
      status_response(StatusCode::OK)
    }
    Err(error) => {
      log::info!("E609 records of streams rejected: {error}");
      status_response(StatusCode::BAD_REQUEST)
    }
  }
}

fn keep(gateway: &Gateway, record: StreamRecordMessage) {
  let StreamOrigin { service, version } = &record.origin;
  // The version may not be listed here yet.
  gateway
    .endpoints
    .borrow_mut()
    .versions_mut()
    .report(service, version);
  let expires_ms = gateway.now_ms() + record.ttl_ms.min(MAX_TTL_MS);
  gateway.stream_records.borrow_mut().record(
    record.key,
    record.origin,
    RecordSource::Peer,
    expires_ms,
  );
}

/// Responds with what this box knows of a stream.
pub(crate) async fn handle_lookup(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message::<LookupMessage>(request, MAX_BODY_BYTES).await {
    Ok(message) => {
      let now_ms = gateway.now_ms();
      gateway.endpoints.borrow().settle_versions();
      let origin = gateway.stream_records.borrow().find(&message.key, now_ms);
      let versions = gateway.endpoints.borrow().versions().of(&message.service);
      message_response(&LookupResponse {
        origin,
        versions: versions.into_iter().collect(),
      })
    }
    Err(error) => {
      log::info!("E609 lookup of a stream rejected: {error}");
      status_response(StatusCode::BAD_REQUEST)
    }
  }
}
