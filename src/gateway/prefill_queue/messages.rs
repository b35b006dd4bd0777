//! Messages between boxes on places.

use {
  super::coordination::{Coordinator, coordinator_of, finish, grant},
  crate::{
    CallError, HttpClient,
    gateway::{
      connections::{message_response, read_message, send_message, status_response},
      decisions::{EndpointIncarnation, Place, PlaceId, PlaceRequest, PrefillGroup},
      settings::Activation,
      state::{Gateway, PlaceReport},
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde::{Deserialize, Serialize, de::DeserializeOwned},
  std::{net::SocketAddr, time::Duration},
};

/// The path on which a coordinator receives requests for places.
pub(crate) const PLACE_PATH: &str = "/prefill-place";
/// The path on which a coordinator receives reports on places.
pub(crate) const FINISH_PATH: &str = "/prefill-finish";
/// Limit of a message body: three names, and some tens of numbers or reports of 30 bytes.
const MAX_BODY_BYTES: usize = 8 * 1024;

/// A request for a place in a group.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct PlaceMessage {
  pub(super) service: Name,
  pub(super) hall: Name,
  pub(super) shard: u32,
  pub(super) box_name: Name,
  pub(super) id: PlaceId,
  pub(super) prompt_tokens: u64,
  /// Time left until the first event is due.
  pub(super) target_left_ms: u64,
  /// Engines that may not be granted.
  pub(super) excluded: Vec<EndpointIncarnation>,
}

/// The coordinator's response.
#[derive(Debug, Deserialize, Serialize)]
struct PlaceResponse {
  /// `None` when no engine of the group is available.
  place: Option<Place>,
}

/// Reports on places of a group.
#[derive(Debug, Deserialize, Serialize)]
struct FinishMessage {
  service: Name,
  hall: Name,
  shard: u32,
  reports: Vec<PlaceReport>,
}

/// Requests a place from a group's coordinator.
pub(super) async fn request_place(
  http: &HttpClient,
  address: SocketAddr,
  message: &PlaceMessage,
  timeout: Duration,
) -> Result<Option<Place>, CallError> {
  let body = send_message(http, address, PLACE_PATH, message, timeout).await?;
  postcard::from_bytes::<PlaceResponse>(&body)
    .map(|response| response.place)
    .map_err(|error| CallError::InvalidResponse(error.to_string()))
}

/// Sends reports to a group's coordinator.
pub(super) async fn send_reports(
  http: &HttpClient,
  address: SocketAddr,
  group: PrefillGroup,
  reports: Vec<PlaceReport>,
  timeout: Duration,
) -> Result<(), CallError> {
  let message = FinishMessage {
    hall: group.hall,
    reports,
    service: group.service,
    shard: group.shard,
  };
  send_message(http, address, FINISH_PATH, &message, timeout)
    .await
    .map(drop)
}

/// Handles another box's request for a place; responds with 409 when this box does not coordinate the group.
pub(crate) async fn handle_place(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  let Some(message) = decode_message::<PlaceMessage>(request).await else {
    return status_response(StatusCode::BAD_REQUEST);
  };
  let group = PrefillGroup {
    hall: message.hall,
    service: message.service,
    shard: message.shard,
  };
  if !coordinates(gateway, &group) {
    return status_response(StatusCode::CONFLICT);
  }
  let request = PlaceRequest {
    excluded: &message.excluded,
    id: message.id,
    prompt_tokens: message.prompt_tokens,
    target_left_ms: message.target_left_ms,
  };
  let place = grant(gateway, &group, request);
  message_response(&PlaceResponse { place })
}

/// Handles another box's reports; responds with 409 when this box does not coordinate the group.
pub(crate) async fn handle_finish(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  let Some(message) = decode_message::<FinishMessage>(request).await else {
    return status_response(StatusCode::BAD_REQUEST);
  };
  let group = PrefillGroup {
    hall: message.hall,
    service: message.service,
    shard: message.shard,
  };
  if !coordinates(gateway, &group) {
    return status_response(StatusCode::CONFLICT);
  }
  finish(gateway, &group, &message.reports);
  status_response(StatusCode::OK)
}

/// Whether this box grants the places of a group.
fn coordinates(gateway: &Gateway, group: &PrefillGroup) -> bool {
  gateway.settings.prefill_queue.enabled != Activation::Never
    && matches!(coordinator_of(gateway, group), Some(Coordinator::Own))
}

async fn decode_message<M: DeserializeOwned>(request: Request<Incoming>) -> Option<M> {
  read_message(request, MAX_BODY_BYTES)
    .await
    .inspect_err(|error| log::info!("E574 message on queue places rejected: {error}"))
    .ok()
}
