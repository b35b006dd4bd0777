//! Reads a whole request and finds its route.

use {
  super::{authentication::authenticate, response::LocalReply},
  crate::gateway::{
    connections::remove_connection_headers,
    decisions::{AllowedHalls, RETRY_AFTER_NO_CONFIGURATION_MS},
    edge::RouteTable,
    settings::EnginePriority,
    stages::{RequestOrigin, Resumption, RoutedRequest},
    state::Gateway,
  },
  bytes::Bytes,
  http::{Request, header::HOST},
  http_body_util::{BodyExt, LengthLimitError, Limited},
  hyper::body::Incoming,
  std::{
    cell::{Cell, OnceCell, RefCell},
    time::Duration,
  },
  tokio::time::timeout,
};

/// The response while the configuration that a request needs is missing.
pub(super) const NO_CONFIGURATION: LocalReply = LocalReply::NotRun {
  retry_after_ms: RETRY_AFTER_NO_CONFIGURATION_MS,
};

/// Reads a whole request and finds its route.
///
/// `box_remaining_ms` is the time that another box leaves for a request that it forwards.
pub(super) async fn route_request(
  gateway: &Gateway,
  request: Request<Incoming>,
  box_remaining_ms: Option<u64>,
) -> Result<RoutedRequest, LocalReply> {
  let arrived_ms = gateway.now_ms();
  let (mut head, body) = request.into_parts();
  let host = head
    .headers
    .get(HOST)
    .and_then(|host| host.to_str().ok())
    .ok_or(LocalReply::Malformed)?;
  let table = gateway.route_table().ok_or(NO_CONFIGURATION)?;
  let route = table
    .find(host, head.uri.path())
    .cloned()
    .ok_or_else(|| no_route(gateway, &table, host, head.uri.path()))?;
  let origin = match box_remaining_ms {
    Some(_) => RequestOrigin::Box,
    None => {
      let mut headers = head.headers.clone();
      remove_connection_headers(&mut headers);
      RequestOrigin::Caller { headers }
    }
  };
  let organisation = authenticate(gateway, &table, &route, &mut head.headers)?;
  let mut attributes = gateway.codec.caller_attributes(&head.headers);
  if !gateway.settings.mechanisms.slot_by_estimate {
    attributes.answer_estimate = None;
  }
  let exit_ms = gateway.exit_ms.get().unwrap_or(u64::MAX);
  let timeout_ms = route
    .timeout_ms
    .min(attributes.deadline_ms.unwrap_or(u64::MAX))
    .min(box_remaining_ms.unwrap_or(u64::MAX))
    .min(exit_ms.saturating_sub(arrived_ms));
  let caller_ms = attributes.deadline_ms.unwrap_or(u64::MAX);
  let refused_for_ms = gateway.longest_deadlines.borrow_mut().refused_for_ms(
    &route.name,
    route.timeout_ms.min(caller_ms),
    arrived_ms,
  );
  let body = read_body(body, table.limits().body_bytes, timeout_ms).await?;
  let service = route
    .service(gateway.draw())
    .cloned()
    .ok_or(NO_CONFIGURATION)?;
  let mut rank = gateway
    .policy
    .rank(&route, &service, &attributes, organisation.as_deref());
  if gateway.settings.engines.engine_priority == EnginePriority::Organisation {
    rank.engine_priority = rank.priority;
  }
  let region_sets = [
    route.allowed_regions.as_ref(),
    organisation
      .as_ref()
      .and_then(|organisation| organisation.allowed_regions.as_ref()),
  ];
  let allowed_halls = AllowedHalls::of(&gateway.settings.regions, region_sets);
  let mut headers = head.headers;
  remove_connection_headers(&mut headers);
  gateway.codec.remove_reserved(&mut headers);
  Ok(RoutedRequest {
    allowed_halls,
    arrived_ms,
    attributes,
    body,
    deadline_ms: arrived_ms + timeout_ms,
    fingerprint: OnceCell::new(),
    probes: RefCell::default(),
    refused_for_ms,
    segment_fingerprints: OnceCell::new(),
    headers,
    method: head.method,
    organisation,
    rank,
    route,
    met_unreachable: Cell::default(),
    origin,
    resumption: Resumption::None,
    send_mode: Cell::default(),
    sends: Cell::default(),
    service,
    uri: head.uri,
  })
}

/// The response to a request without a route. While the box is out of contact with the store, a newer configuration may have one.
fn no_route(gateway: &Gateway, table: &RouteTable, host: &str, path: &str) -> LocalReply {
  let current = gateway.is_current();
  log::info!(
    "E602 no route: {host}{path} in configuration {}, current {current}",
    table.version()
  );
  if current {
    LocalReply::NoRoute
  } else {
    NO_CONFIGURATION
  }
}

/// Reads a body within limits on its length and time.
async fn read_body(body: Incoming, max_bytes: usize, timeout_ms: u64) -> Result<Bytes, LocalReply> {
  let read = Limited::new(body, max_bytes).collect();
  match timeout(Duration::from_millis(timeout_ms), read).await {
    Ok(Ok(body)) => Ok(body.to_bytes()),
    Ok(Err(error)) if error.is::<LengthLimitError>() => Err(LocalReply::BodyTooLarge),
    Ok(Err(_)) | Err(_) => Err(LocalReply::Malformed),
  }
}
