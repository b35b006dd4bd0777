//! Callers' connections and requests.

use {
  super::{
    answer::{LocalReply, ResponseBody},
    caller_identity::identify,
    plain::answer_plain,
    stream::answer_stream,
  },
  crate::gateway::{
    connections::{accept, remove_connection_headers, set_limits},
    decisions::{AllowedHalls, RETRY_AFTER_LEAVING_MS, RETRY_AFTER_NO_CONFIGURATION_MS},
    edge::{RouteKind, RouteTable},
    limits::{Beyond, Charge, admit},
    quarantine::{Held, release_unsent, vet},
    settings::EnginePriority,
    stages::RoutedRequest,
    state::{Gateway, InFlight, Phase},
  },
  bytes::Bytes,
  http::{
    HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, HOST},
  },
  http_body_util::{BodyExt, LengthLimitError, Limited},
  hyper::{body::Incoming, server::conn::http1, service::service_fn},
  hyper_util::rt::{TokioIo, TokioTimer},
  std::{
    cell::{Cell, OnceCell},
    convert::Infallible,
    pin::pin,
    rc::Rc,
    time::Duration,
  },
  tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::timeout,
  },
};

/// How long a connection may rest before a configuration says so.
const REST_MS: u64 = 60_000;
/// The connection's one timer covers its rest and the next head: it must outlast both, also after a change.
const REST_FACTOR: u64 = 2;
/// The longest head before a configuration says so.
const HEAD_BYTES: usize = 16 * 1024;
/// The smallest buffer that the HTTP library takes.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;

/// What a request is told while the configuration that it needs has not come.
const NO_CONFIGURATION: LocalReply = LocalReply::NotRun {
  retry_after_ms: RETRY_AFTER_NO_CONFIGURATION_MS,
};

/// Accepts callers until the process ends.
pub(crate) async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
  let mut phase = gateway.phase.subscribe();
  loop {
    let stream = tokio::select! {
      stream = accept(&listener) => stream,
      _ = phase.wait_for(|phase| *phase == Phase::Closed) => return,
    };
    gateway.connections.set(gateway.connections.get() + 1);
    let gateway = gateway.clone();
    spawn_local(async move {
      serve_caller(gateway.clone(), stream).await;
      gateway.connections.set(gateway.connections.get() - 1);
    });
  }
}

/// Serves one connection until it ends; what rests is closed once the box is closing.
async fn serve_caller(gateway: Rc<Gateway>, stream: TcpStream) {
  if let Err(error) = set_limits(&stream) {
    log::debug!("a caller's connection ended at once: {error}");
    return;
  }
  let limits = gateway.table().map(|table| table.limits());
  let rest_ms = limits.map_or(REST_MS, |limits| {
    limits.idle_ms * REST_FACTOR + limits.head_ms
  });
  let head_bytes = limits.map_or(HEAD_BYTES, |limits| limits.head_bytes);
  let mut phase = gateway.phase.subscribe();
  let service = service_fn(move |request| handle(gateway.clone(), request));
  let connection = http1::Builder::new()
    .timer(TokioTimer::new())
    .header_read_timeout(Duration::from_millis(rest_ms))
    .max_buf_size(head_bytes.max(LEAST_BUFFER_BYTES))
    .serve_connection(TokioIo::new(stream), service);
  let mut connection = pin!(connection);
  let ended = tokio::select! {
    ended = connection.as_mut() => ended,
    _ = phase.wait_for(|phase| *phase >= Phase::Closing) => {
      connection.as_mut().graceful_shutdown();
      connection.await
    }
  };
  if let Err(error) = ended {
    log::debug!("a caller's connection ended: {error}");
  }
}

/// Answers one request, and asks its caller to go elsewhere while the box is leaving.
async fn handle(
  gateway: Rc<Gateway>,
  request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
  let in_flight = InFlight::new(&gateway);
  gateway.counters.requests.inc();
  let arrived_ms = gateway.now_ms();
  let mut response = respond(gateway.clone(), request, in_flight).await;
  count(&gateway, &response, arrived_ms);
  if *gateway.phase.borrow() != Phase::Serving {
    response
      .headers_mut()
      .insert(CONNECTION, HeaderValue::from_static("close"));
  }
  Ok(response)
}

/// Counts an answer by its status.
fn count(gateway: &Gateway, response: &Response<ResponseBody>, arrived_ms: u64) {
  let counters = &gateway.counters;
  match response.status().as_u16() {
    200..300 => {
      counters.answered.inc();
      counters.head_ms.note(gateway.now_ms() - arrived_ms);
    }
    502 => counters.unknown.inc(),
    503 => counters.not_run.inc(),
    504 => counters.timed_out.inc(),
    400..500 => counters.refused.inc(),
    _ => {}
  }
}

/// The answer to a request, from an endpoint or this box's own.
async fn respond(
  gateway: Rc<Gateway>,
  request: Request<Incoming>,
  in_flight: InFlight,
) -> Response<ResponseBody> {
  match route(&gateway, request).await {
    Ok(request) => serve_routed(gateway, request, in_flight).await,
    Err(own) => own.response(),
  }
}

/// The answer to a request that has a route.
async fn serve_routed(
  gateway: Rc<Gateway>,
  request: RoutedRequest,
  in_flight: InFlight,
) -> Response<ResponseBody> {
  if let Err(Held { retry_after_ms }) = vet(&gateway, &request).await {
    return LocalReply::NotRun { retry_after_ms }.response();
  }
  let request = Rc::new(request);
  let response = serve_admitted(&gateway, &request, in_flight).await;
  release_unsent(&gateway, &request);
  response
}

/// The answer to a request that may be sent, if it is within its organisation's limit.
async fn serve_admitted(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  in_flight: InFlight,
) -> Response<ResponseBody> {
  match admit_request(gateway, request).await {
    Ok(charge) => {
      let response = answer(gateway.clone(), request.clone(), in_flight).await;
      // No endpoint's answer says so: a request that has not run.
      if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && let Some(charge) = charge
      {
        charge.give_back();
      }
      response
    }
    Err(Beyond { retry_after_ms }) => LocalReply::OverLimit { retry_after_ms }.response(),
  }
}

/// Charges a request to its organisation.
async fn admit_request(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
) -> Result<Option<Charge>, Beyond> {
  match &request.organisation {
    Some(organisation) => admit(gateway, organisation, &request.attributes)
      .await
      .map(Some),
    None => Ok(None),
  }
}

/// Answers a request that is within its limit.
async fn answer(
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
  in_flight: InFlight,
) -> Response<ResponseBody> {
  gateway.note_request(&request.service);
  match request.route.kind {
    // It would outlast the process.
    RouteKind::Stream { .. } if *gateway.phase.borrow() >= Phase::Closing => {
      log::info!("E605 refused: {} the box is about to stop", request.id());
      LocalReply::NotRun {
        retry_after_ms: RETRY_AFTER_LEAVING_MS,
      }
      .response()
    }
    RouteKind::Stream { .. } => answer_stream(gateway, request, in_flight).await,
    RouteKind::Retryable | RouteKind::NonRetryable => answer_plain(gateway, request).await,
  }
}

/// Reads a request whole and finds its route.
async fn route(gateway: &Gateway, request: Request<Incoming>) -> Result<RoutedRequest, LocalReply> {
  let arrived_ms = gateway.now_ms();
  let (mut head, body) = request.into_parts();
  let host = head
    .headers
    .get(HOST)
    .and_then(|host| host.to_str().ok())
    .ok_or(LocalReply::Malformed)?;
  let table = gateway.table().ok_or(NO_CONFIGURATION)?;
  let route = table
    .find(host, head.uri.path())
    .cloned()
    .ok_or_else(|| no_route(gateway, &table, host, head.uri.path()))?;
  let organisation = identify(gateway, &table, &route, &mut head.headers)?;
  let mut attributes = gateway.codec.caller_attributes(&head.headers);
  if !gateway.settings.mechanisms.seat_by_estimate {
    attributes.answer_estimate = None;
  }
  let ends_ms = gateway.ends_ms.get().unwrap_or(u64::MAX);
  let timeout_ms = route
    .timeout_ms
    .min(attributes.deadline_ms.unwrap_or(u64::MAX))
    .min(ends_ms.saturating_sub(arrived_ms));
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
  let homes = [
    route.allowed_regions.as_ref(),
    organisation
      .as_ref()
      .and_then(|organisation| organisation.allowed_regions.as_ref()),
  ];
  let allowed_halls = AllowedHalls::of(&gateway.settings.regions, homes);
  let mut headers = head.headers;
  remove_connection_headers(&mut headers);
  gateway.codec.remove_reserved(&mut headers);
  Ok(RoutedRequest {
    allowed_halls,
    arrived_ms,
    body,
    attributes,
    fingerprint: OnceCell::new(),
    headers,
    method: head.method,
    organisation,
    rank,
    route,
    send_mode: Cell::default(),
    service,
    deadline_ms: arrived_ms + timeout_ms,
    uri: head.uri,
  })
}

/// The answer to a request without a route: a newer configuration that has not come may have one.
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

/// Reads a body within bounds on its length and time.
async fn read_body(body: Incoming, most_bytes: usize, limit_ms: u64) -> Result<Bytes, LocalReply> {
  let read = Limited::new(body, most_bytes).collect();
  match timeout(Duration::from_millis(limit_ms), read).await {
    Ok(Ok(body)) => Ok(body.to_bytes()),
    Ok(Err(error)) if error.is::<LengthLimitError>() => Err(LocalReply::TooLong),
    Ok(Err(_)) | Err(_) => Err(LocalReply::Malformed),
  }
}
