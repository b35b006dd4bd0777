//! Serves a routed request: by an endpoint, or by another box while this one can't reach the endpoints.

use {
  super::{
    forwarding::forward_to_box,
    response::{LocalReply, ResponseBody},
    stream::serve_stream,
    unary::serve_unary,
  },
  crate::gateway::{
    decisions::{
      RETRY_AFTER_LEAVING_MS, RETRY_AFTER_NO_ENDPOINT_MS, RETRY_AFTER_UNKNOWN_ORIGIN_MS,
    },
    edge::RouteKind,
    limits::{Charge, OverLimit, admit},
    quarantine::{Quarantined, release_unsent_probe, screen},
    resumption::resolve_resumption,
    stages::{Resumption, RoutedRequest},
    state::{Gateway, InFlight, Phase},
  },
  http::{Response, StatusCode},
  std::rc::Rc,
};

/// Serves a caller's request, through another box while its endpoints can't be reached from this one.
pub(super) async fn serve_here_or_forward(
  gateway: Rc<Gateway>,
  request: RoutedRequest,
  in_flight: InFlight,
) -> Response<ResponseBody> {
  if gateway.is_cut_off(&request.service) {
    let request = Rc::new(request);
    let forwarded = forward_to_box(&gateway, &request).await;
    return forwarded.unwrap_or_else(|| reject_unreachable(&gateway, &request));
  }
  let request = Rc::new(resolve_resumption(&gateway, request).await);
  let response = serve_routed(&gateway, &request, in_flight).await;
  if !is_unreached(&gateway, &request, &response) {
    return response;
  }
  let forwarded = forward_to_box(&gateway, &request).await;
  if forwarded.is_some() {
    gateway.withdraw_request(&request.service);
  }
  forwarded.unwrap_or(response)
}

/// Rejects a request whose endpoints neither this box nor another one reaches.
fn reject_unreachable(gateway: &Gateway, request: &RoutedRequest) -> Response<ResponseBody> {
  let retry_after_ms = RETRY_AFTER_NO_ENDPOINT_MS;
  log::info!(
    "E501 rejected: {} {} with status 503, endpoints unreachable, {}, retry after {retry_after_ms} ms",
    request.id(),
    request.service,
    gateway.endpoint_summary(&request.service)
  );
  LocalReply::NotRun { retry_after_ms }.response()
}

/// Rejects a request that resumes a stream of which no box knows where it began.
fn reject_unknown_origin(request: &RoutedRequest) -> Response<ResponseBody> {
  let retry_after_ms = RETRY_AFTER_UNKNOWN_ORIGIN_MS;
  log::info!(
    "E501 rejected: {} {} with status 503, origin unknown, retry after {retry_after_ms} ms",
    request.id(),
    request.service
  );
  LocalReply::NotRun { retry_after_ms }.response()
}

/// Whether a request was rejected since endpoints can't be reached, and none has received it.
pub(super) fn is_unreached(
  gateway: &Gateway,
  request: &RoutedRequest,
  response: &Response<ResponseBody>,
) -> bool {
  let is_path_at_fault = request.met_unreachable.get() || gateway.is_cut_off(&request.service);
  response.status() == StatusCode::SERVICE_UNAVAILABLE
    && is_path_at_fault
    && request.sends.get() == 0
}

/// Serves a request that has a route, unless it is quarantined.
pub(super) async fn serve_routed(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  in_flight: InFlight,
) -> Response<ResponseBody> {
  if let Err(Quarantined { retry_after_ms }) = screen(gateway, request).await {
    return LocalReply::NotRun { retry_after_ms }.response();
  }
  let response = serve_admitted(gateway, request, in_flight).await;
  release_unsent_probe(gateway, request);
  response
}

/// Serves a request that may be sent, if it is within its organisation's limit.
async fn serve_admitted(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  in_flight: InFlight,
) -> Response<ResponseBody> {
  match admit_request(gateway, request).await {
    Ok(charge) => {
      let response = dispatch(gateway.clone(), request.clone(), in_flight).await;
      // Only this box answers with this status: the request has not run.
      if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && let Some(charge) = charge
      {
        charge.refund();
      }
      response
    }
    Err(OverLimit { retry_after_ms }) => LocalReply::OverLimit { retry_after_ms }.response(),
  }
}

/// Charges a request to its organisation's limit.
async fn admit_request(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
) -> Result<Option<Charge>, OverLimit> {
  match &request.organisation {
    Some(organisation) => {
      let priority = request.route.priority;
      let charge = admit(gateway, organisation, &request.attributes, priority).await;
      charge.map(Some)
    }
    None => Ok(None),
  }
}

/// Serves an admitted request as its route's kind requires.
async fn dispatch(
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
  in_flight: InFlight,
) -> Response<ResponseBody> {
  gateway.record_request(&request.service);
  match request.route.kind {
    // The stream would outlast the process.
    RouteKind::Stream { .. } if *gateway.phase.borrow() >= Phase::Closing => {
      log::info!("E605 rejected: {} the box is about to stop", request.id());
      LocalReply::NotRun {
        retry_after_ms: RETRY_AFTER_LEAVING_MS,
      }
      .response()
    }
    RouteKind::Stream { .. } if request.resumption == Resumption::UnknownOrigin => {
      reject_unknown_origin(&request)
    }
    RouteKind::Stream { .. } => serve_stream(gateway, request, in_flight).await,
    RouteKind::Retryable | RouteKind::NonRetryable => serve_unary(gateway, request).await,
  }
}
