//! Messages between boxes on permits.

use {
  super::{
    announcement::record_relayed_limit, cold_period_message::ColdPeriodMessage,
    relayed_limit::RelayedLimit,
  },
  crate::{
    CallError, HttpClient,
    gateway::{
      connections::{message_response, read_message, send_message, status_response},
      decisions::{EndpointIncarnation, PermitRequest, PermitVerdict, coordinator_limit},
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

/// The path on which an endpoint's coordinator receives permit requests.
pub(crate) const PERMITS_PATH: &str = "/permits";
/// Limit of a message body: two names and some numbers.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// A request for permits, with what the requesting box knows of the endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct PermitRequestMessage {
  pub(super) box_name: Name,
  pub(super) endpoint: Name,
  pub(super) started_ms: Option<u64>,
  pub(super) hall: Name,
  /// The limit that the endpoint advertised; `None` when it advertised none.
  pub(super) advertised: Option<RelayedLimit>,
  /// `None` when the endpoint is warm as far as the requesting box knows.
  pub(super) cold: Option<ColdPeriodMessage>,
  pub(super) permits: u32,
  /// Permits of the last grant that were not used.
  pub(super) unused: u32,
  /// 0 is the most urgent.
  pub(super) priority: u8,
}

/// The coordinator's response.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct PermitResponse {
  pub(super) verdict: PermitVerdict,
  /// The latest limit of the endpoint that the coordinator knows.
  pub(super) advertised: Option<RelayedLimit>,
}

/// Requests permits from an endpoint's coordinator.
pub(super) async fn request_permits(
  http: &HttpClient,
  address: SocketAddr,
  request: &PermitRequestMessage,
  timeout: Duration,
) -> Result<PermitResponse, CallError> {
  let body = send_message(http, address, PERMITS_PATH, request, timeout).await?;
  postcard::from_bytes(&body).map_err(|error| CallError::InvalidResponse(error.to_string()))
}

/// Handles another box's request for permits; responds with 409 when this box is not the endpoint's coordinator.
pub(crate) async fn handle_permits(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message(request, MAX_BODY_BYTES).await {
    Ok(message) if !is_coordinator_of(gateway, &message) => status_response(StatusCode::CONFLICT),
    Ok(message) => message_response(&respond(gateway, &message)),
    Err(error) => {
      log::info!("E609 permit request rejected: {error}");
      status_response(StatusCode::BAD_REQUEST)
    }
  }
}

/// Whether this box grants the permits of the requested endpoint.
fn is_coordinator_of(gateway: &Gateway, message: &PermitRequestMessage) -> bool {
  let order = gateway.permit_coordinators(&message.endpoint, &message.hall, 1);
  let is_first = order
    .first()
    .is_some_and(|(name, _)| *name == gateway.settings.identity.name);
  is_first && gateway.settings.mechanisms.endpoint_limits
}

fn respond(gateway: &Gateway, message: &PermitRequestMessage) -> PermitResponse {
  let now_ms = gateway.now_ms();
  let (id, started_ms) = (&message.endpoint, message.started_ms);
  if let Some(advertised) = message.advertised {
    record_relayed_limit(gateway, id, started_ms, advertised.on_local_clock(now_ms));
  }
  let mut endpoints = gateway.endpoints.borrow_mut();
  if let Some(cold) = message.cold {
    let limits = endpoints.limits_mut();
    limits.record_cold(id, started_ms, cold.on_local_clock(now_ms));
  }
  let advertised = endpoints.limits().advertised_by(id, started_ms);
  let per_s = endpoints.limits().lowest_per_s(id, started_ms, now_ms);
  drop(endpoints);
  let permit_request = PermitRequest {
    box_name: message.box_name.clone(),
    permits: message.permits,
    priority: message.priority,
    unused: message.unused,
  };
  PermitResponse {
    advertised: advertised.map(|limit| RelayedLimit::new(limit, now_ms)),
    verdict: grant_permits(
      gateway,
      EndpointIncarnation::of(id, started_ms),
      per_s,
      &permit_request,
    ),
  }
}

/// Grants permits as the coordinator; without a limit as many as requested.
pub(super) fn grant_permits(
  gateway: &Gateway,
  incarnation: EndpointIncarnation,
  per_s: Option<f64>,
  permit_request: &PermitRequest,
) -> PermitVerdict {
  let Some(per_s) = per_s else {
    return PermitVerdict::Granted(permit_request.permits);
  };
  let verdict = gateway.permit_table.borrow_mut().request(
    incarnation,
    coordinator_limit(per_s),
    permit_request,
    gateway.now_ms(),
  );
  match verdict {
    PermitVerdict::Granted(permits) => gateway.counters.permits_granted.add(permits.into()),
    PermitVerdict::Rejected { .. } => gateway.counters.permits_rejected.inc(),
  }
  verdict
}
