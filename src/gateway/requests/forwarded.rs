//! Serves requests that other boxes forward, since they can't reach the endpoints.

use {
  super::{
    forwarding_headers::{
      ACCEPTED, BUSY, CONFIGURATION, DECLINED, DECLINED_FOR_NOW, ENDPOINT, FORWARD_PATH,
      FORWARDED_BY, REMAINING_MS, header_text, remove_forwarding_headers, set_header,
    },
    response::{AnsweredBy, ResponseBody, full_body},
    routing::route_request,
    serving::{is_unreached, serve_routed},
  },
  crate::gateway::{
    resumption::resolve_resumption,
    state::{Gateway, InFlight, Phase},
  },
  bytes::Bytes,
  futures_util::stream,
  http::{Request, Response, StatusCode, Uri, uri::PathAndQuery},
  http_body_util::{BodyExt, StreamBody},
  hyper::body::Incoming,
  std::rc::Rc,
};

/// Forwarded requests in flight at once; each holds a body and a connection to an endpoint.
const MAX_IN_FLIGHT: usize = 128;

/// Counts a forwarded request until it is dropped.
struct ForwardedInFlight(Rc<Gateway>);

impl ForwardedInFlight {
  fn new(gateway: &Rc<Gateway>) -> Self {
    let in_flight = &gateway.forwarded_in_flight;
    in_flight.set(in_flight.get() + 1);
    Self(gateway.clone())
  }
}

impl Drop for ForwardedInFlight {
  fn drop(&mut self) {
    let in_flight = &self.0.forwarded_in_flight;
    in_flight.set(in_flight.get() - 1);
  }
}

/// Serves a forwarded request, or declines it before any endpoint has received it.
pub(crate) async fn serve_forwarded(
  gateway: Rc<Gateway>,
  mut request: Request<Incoming>,
) -> Response<ResponseBody> {
  let by = header_text(request.headers(), &FORWARDED_BY).to_owned();
  let remaining_ms = header_text(request.headers(), &REMAINING_MS).parse::<u64>();
  let version = header_text(request.headers(), &CONFIGURATION).parse::<u64>();
  let (Ok(remaining_ms), Ok(version), Some(uri)) =
    (remaining_ms, version, original_uri(request.uri()))
  else {
    log::warn!("E553 forwarded request of box {by} declined: malformed");
    return Decline::Malformed.response();
  };
  if let Some(reason) = decline_reason(&gateway, version) {
    log::info!("E553 forwarded request of box {by} declined: {reason}");
    return reason.response();
  }
  *request.uri_mut() = uri;
  remove_forwarding_headers(request.headers_mut());
  let in_flight = ForwardedInFlight::new(&gateway);
  let served = respond(gateway.clone(), request, &by, remaining_ms, in_flight).await;
  let mut response = match served {
    Ok(response) => response,
    Err(reason) => {
      log::info!("E553 forwarded request of box {by} declined: {reason}");
      return reason.response();
    }
  };
  gateway.counters.accepted_from_boxes.inc();
  let answered_by = response.extensions().get::<AnsweredBy>().cloned();
  let headers = response.headers_mut();
  set_header(headers, ACCEPTED, "1");
  if let Some(AnsweredBy { incarnation, id }) = answered_by {
    set_header(headers, ENDPOINT, &format!("{} {id}", incarnation.key()));
  }
  response
}

/// Why a forwarded request is declined.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
enum Decline {
  #[error("leaving")]
  Leaving,
  #[error("too many in flight")]
  TooMany,
  #[error("too many bytes held")]
  Memory,
  /// The caller may have seen the effect of a newer configuration already.
  #[error("older configuration")]
  OlderConfiguration,
  #[error("endpoints unreachable")]
  CutOff,
  /// The endpoints that were tried for this request could not be reached.
  #[error("not reached for this request")]
  Unreached,
  #[error("malformed")]
  Malformed,
}

impl Decline {
  /// The response, by which the other box tries the next one.
  fn response(self) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = match self {
      Self::Leaving | Self::OlderConfiguration | Self::CutOff => DECLINED_FOR_NOW,
      Self::TooMany | Self::Memory => BUSY,
      Self::Unreached => StatusCode::SERVICE_UNAVAILABLE,
      Self::Malformed => StatusCode::BAD_REQUEST,
    };
    set_header(response.headers_mut(), DECLINED, &self.to_string());
    response
  }
}

/// Why this box does not serve forwarded requests now.
fn decline_reason(gateway: &Gateway, version: u64) -> Option<Decline> {
  if *gateway.phase.borrow() != Phase::Serving {
    return Some(Decline::Leaving);
  }
  if gateway.forwarded_in_flight.get() >= MAX_IN_FLIGHT {
    return Some(Decline::TooMany);
  }
  if !gateway.held_memory.accepts_request(0) {
    return Some(Decline::Memory);
  }
  let own_version = gateway.route_table().map(|table| table.version());
  if own_version.is_none_or(|own_version| own_version < version) {
    return Some(Decline::OlderConfiguration);
  }
  None
}

/// The caller's URI.
fn original_uri(uri: &Uri) -> Option<Uri> {
  let path = uri.path_and_query()?.as_str().strip_prefix(FORWARD_PATH)?;
  let path: PathAndQuery = path.parse().ok()?;
  Some(Uri::from(path))
}

/// The response to a request that another box forwards, unless its endpoints can't be reached from here either.
async fn respond(
  gateway: Rc<Gateway>,
  request: Request<Incoming>,
  by: &str,
  remaining_ms: u64,
  in_flight: ForwardedInFlight,
) -> Result<Response<ResponseBody>, Decline> {
  let own_in_flight = InFlight::new(&gateway);
  let request = match route_request(&gateway, request, Some(remaining_ms)).await {
    Ok(request) => request,
    Err(reply) => return Ok(reply.response()),
  };
  if gateway.is_cut_off(&request.service) {
    return Err(Decline::CutOff);
  }
  log::info!(
    "E552 forwarded request accepted: {} {} of box {by}, {remaining_ms} ms left",
    request.id(),
    request.service
  );
  let request = Rc::new(resolve_resumption(&gateway, request).await);
  let response = serve_routed(&gateway, &request, own_in_flight).await;
  let response = response.map(|body| hold_until_end(body, in_flight));
  if is_unreached(&gateway, &request, &response) {
    return Err(Decline::Unreached);
  }
  Ok(response)
}

/// Keeps a value until a body was read.
fn hold_until_end<T: 'static>(body: ResponseBody, held: T) -> ResponseBody {
  let frames = stream::unfold((body, held), |(mut body, held)| async move {
    let frame = body.frame().await?;
    Some((frame, (body, held)))
  });
  Box::pin(StreamBody::new(frames))
}
