//! Reads a whole request and finds its route.

use {
  super::{authentication::authenticate, response::LocalReply},
  crate::gateway::{
    connections::remove_connection_headers,
    decisions::{
      AllowedHalls, HeldKind, RETRY_AFTER_MEMORY_MS, RETRY_AFTER_NO_CONFIGURATION_MS,
      retry_after_backoff_ms,
    },
    edge::RouteTable,
    settings::EnginePriority,
    stages::{RequestOrigin, Resumption, RoutedRequest},
    state::{Gateway, HeldGuard},
  },
  bytes::Bytes,
  http::{Request, header::HOST},
  http_body_util::{BodyExt, Limited},
  hyper::body::{Body, Incoming},
  std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    time::Duration,
  },
  tokio::time::timeout,
};

/// How long the body of a rejected request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

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
  let reading = BodyReading {
    max_bytes: table.limits().body_bytes,
    request_id: attributes.request_id.as_deref().unwrap_or("-"),
    timeout_ms,
  };
  let (body, held_body) = read_body(gateway, body, reading).await?;
  let service = route
    .service(gateway.draw())
    .cloned()
    .ok_or(NO_CONFIGURATION)?;
  let is_split = table
    .service(&service)
    .is_some_and(|service| service.engine.is_some());
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
    asked_holders: Rc::default(),
    attributes,
    body,
    configuration: table.version(),
    deadline_ms: arrived_ms + timeout_ms,
    fingerprint: OnceCell::new(),
    probes: RefCell::default(),
    refused_for_ms,
    prefill_segment_fingerprints: OnceCell::new(),
    segment_fingerprints: OnceCell::new(),
    headers,
    _held_body: held_body,
    is_split,
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
    waits_for_memory: Cell::default(),
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

/// How a body is read.
#[derive(Clone, Copy, Debug)]
struct BodyReading<'a> {
  request_id: &'a str,
  max_bytes: usize,
  timeout_ms: u64,
}

/// Reads a body within limits on its length and time, if the box may hold it.
async fn read_body(
  gateway: &Gateway,
  mut body: Incoming,
  reading: BodyReading<'_>,
) -> Result<(Bytes, HeldGuard), LocalReply> {
  let BodyReading {
    request_id,
    max_bytes,
    timeout_ms,
  } = reading;
  let memory = &gateway.held_memory;
  let length = body.size_hint().exact();
  let expected = length.filter(|length| *length <= max_bytes as u64);
  if !memory.accepts_request(expected.unwrap_or(0)) {
    let reply = reject_for_memory(gateway, request_id, length);
    discard(body, max_bytes).await;
    return Err(reply);
  }
  let mut guard = memory.hold(HeldKind::RequestBodies, expected.unwrap_or(0));
  let read = async {
    let mut chunks = Vec::new();
    let mut total = 0;
    while let Some(frame) = body.frame().await {
      let Ok(data) = frame.map_err(|_| LocalReply::Malformed)?.into_data() else {
        continue;
      };
      total += data.len();
      if total > max_bytes {
        return Err(LocalReply::BodyTooLarge);
      }
      if expected.is_none() {
        if !memory.accepts_request(data.len() as u64) {
          return Err(reject_for_memory(gateway, request_id, None));
        }
        guard.extend(data.len() as u64);
      }
      chunks.push(data);
    }
    Ok(join(chunks))
  };
  let body = timeout(Duration::from_millis(timeout_ms), read)
    .await
    .unwrap_or(Err(LocalReply::BodyTooSlow))?;
  Ok((body, guard))
}

/// The chunks of a body in one piece.
fn join(mut chunks: Vec<Bytes>) -> Bytes {
  match (chunks.pop(), chunks.is_empty()) {
    (None, _) => Bytes::new(),
    (Some(only), true) => only,
    (Some(last), false) => {
      chunks.push(last);
      chunks.concat().into()
    }
  }
}

/// Rejects a request, of which nothing was sent, because the box holds too many bytes.
fn reject_for_memory(gateway: &Gateway, request_id: &str, length: Option<u64>) -> LocalReply {
  gateway.counters.rejected_for_memory.inc();
  let retry_after_ms = retry_after_backoff_ms(RETRY_AFTER_MEMORY_MS, gateway.draw());
  let (held, bound) = gateway.held_memory.usage();
  log::info!(
    "E585 rejected: {request_id} with status 503 for memory, {held} bytes held of {bound:?}, body of {length:?} bytes, retry after \
     {retry_after_ms} ms"
  );
  LocalReply::NotRun { retry_after_ms }
}

/// Reads the body of a rejected request without holding it: a connection that is closed with unread bytes is reset, and the
/// caller may lose the response.
async fn discard(body: Incoming, max_bytes: usize) {
  let mut body = Limited::new(body, max_bytes);
  let read = async { while let Some(Ok(_)) = body.frame().await {} };
  let _ = timeout(DISCARD_TIMEOUT, read).await;
}
