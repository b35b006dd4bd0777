//! Accepts callers' connections, and responds to their requests.

use {
  super::{response::ResponseBody, routing::route_request, serving::serve_here_or_forward},
  crate::{
    gateway::{
      connections::{
        CallerSocket, EndsWithConnection, StallTimeout, Stalled, accept, set_send_buffer,
        set_socket_options, set_user_timeout,
      },
      state::{Gateway, InFlight, Phase},
    },
    wait_until,
  },
  http::{HeaderValue, Request, Response, Version, header::CONNECTION},
  hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
  },
  hyper_util::rt::{TokioIo, TokioTimer},
  std::{convert::Infallible, error::Error, io, pin::pin, rc::Rc, time::Duration},
  tokio::{
    net::{TcpListener, TcpStream},
    sync::watch::Receiver,
    task::spawn_local,
  },
};

/// Timeout of an idle connection before a configuration is known.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;
/// The HTTP library has one timer for the idle time and the next request head: it must outlast both, also when a new
/// configuration raises the idle timeout.
const IDLE_TIMEOUT_FACTOR: u64 = 2;
/// The kernel's timeout for data that a caller does not take is longer than the box's own, which is logged.
const USER_TIMEOUT_FACTOR: u32 = 2;
/// The longest request head before a configuration is known.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// The smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts callers' connections until the box has stopped serving.
pub(crate) async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
  let mut phase = gateway.phase.subscribe();
  loop {
    let stream = tokio::select! {
      stream = accept(&listener) => stream,
      () = reach(&mut phase, Phase::Closed) => return,
    };
    gateway.connections.set(gateway.connections.get() + 1);
    let gateway = gateway.clone();
    spawn_local(async move {
      serve_connection(gateway.clone(), stream).await;
      gateway.connections.set(gateway.connections.get() - 1);
    });
  }
}

/// Waits until the box has reached a phase.
async fn reach(phase: &mut Receiver<Phase>, target: Phase) {
  wait_until(phase, |phase| *phase >= target).await;
}

/// Serves one connection until it is closed; an idle one is closed when the box shuts down.
async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
  if let Err(error) = set_socket_options(&stream) {
    log::debug!("socket options of a caller's connection not set: {error}");
    return;
  }
  let limits = gateway.route_table().map(|table| table.limits());
  let idle_ms = limits.map_or(DEFAULT_IDLE_TIMEOUT_MS, |limits| limits.idle_ms);
  let ends_with_connection = EndsWithConnection::default();
  let Ok(stream) = with_stall_timeout(&gateway, stream, idle_ms, &ends_with_connection) else {
    return;
  };
  let timeout_ms = limits.map_or(DEFAULT_IDLE_TIMEOUT_MS, |limits| {
    limits.idle_ms * IDLE_TIMEOUT_FACTOR + limits.head_ms
  });
  let head_bytes = limits.map_or(DEFAULT_MAX_HEAD_BYTES, |limits| limits.head_bytes);
  let mut phase = gateway.phase.subscribe();
  let service = service_fn({
    let gateway = gateway.clone();
    move |request| handle(gateway.clone(), request, ends_with_connection.clone())
  });
  let connection = http1::Builder::new()
    .timer(TokioTimer::new())
    .header_read_timeout(Duration::from_millis(timeout_ms))
    .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
    .serve_connection(TokioIo::new(stream), service);
  let mut connection = pin!(connection);
  let result = tokio::select! {
    result = connection.as_mut() => result,
    () = reach(&mut phase, Phase::Closing) => {
      connection.as_mut().graceful_shutdown();
      connection.await
    }
  };
  if let Err(error) = result {
    if is_stalled(&error) {
      gateway.counters.stalled_callers.inc();
      log::info!("E588 caller's connection closed: it accepted nothing for {idle_ms} ms");
    }
    log::debug!("a caller's connection failed: {error}");
  }
}

/// Closes the connection of a caller that accepts nothing for the idle timeout, where held bytes are bounded: they count until
/// they are written.
fn with_stall_timeout(
  gateway: &Gateway,
  stream: TcpStream,
  idle_ms: u64,
  ends_with_connection: &EndsWithConnection,
) -> io::Result<StallTimeout<CallerSocket>> {
  let socket = |stream| CallerSocket::new(stream, ends_with_connection.clone());
  let Some(buffer_bytes) = gateway.held_memory.socket_buffer_bytes() else {
    return Ok(StallTimeout::without_limit(socket(stream)));
  };
  let limit = Duration::from_millis(idle_ms);
  // The timeout for unacknowledged data would close the connection of a caller that pauses for longer than that.
  set_user_timeout(&stream, limit * USER_TIMEOUT_FACTOR)?;
  set_send_buffer(&stream, buffer_bytes)?;
  Ok(StallTimeout::new(socket(stream), limit))
}

/// Whether a connection failed because the caller accepted nothing.
fn is_stalled(error: &hyper::Error) -> bool {
  let source = error
    .source()
    .and_then(|source| source.downcast_ref::<io::Error>());
  let cause = source.and_then(io::Error::get_ref);
  cause.is_some_and(|cause| cause.is::<Stalled>())
}

/// Serves one request. While the box shuts down, the response asks the caller to close the connection.
async fn handle(
  gateway: Rc<Gateway>,
  request: Request<Incoming>,
  ends_with_connection: EndsWithConnection,
) -> Result<Response<ResponseBody>, Infallible> {
  let in_flight = InFlight::new(&gateway);
  let may_send_chunks = request.version() >= Version::HTTP_11;
  gateway.counters.requests.inc();
  let arrived_ms = gateway.now_ms();
  let mut response = respond(gateway.clone(), request, in_flight).await;
  count_response(&gateway, &response, arrived_ms);
  if !may_send_chunks && response.body().size_hint().exact().is_none() {
    ends_with_connection.set();
  }
  if *gateway.phase.borrow() != Phase::Serving {
    response
      .headers_mut()
      .insert(CONNECTION, HeaderValue::from_static("close"));
  }
  Ok(response)
}

/// Counts a response by its status.
fn count_response(gateway: &Gateway, response: &Response<ResponseBody>, arrived_ms: u64) {
  let counters = &gateway.counters;
  match response.status().as_u16() {
    200..300 => {
      counters.answered.inc();
      counters
        .response_head_ms
        .record(gateway.now_ms() - arrived_ms);
    }
    502 => counters.unknown.inc(),
    503 => counters.not_run.inc(),
    504 => counters.timed_out.inc(),
    400..500 => counters.rejected.inc(),
    _ => {}
  }
}

/// The response to a request, from an endpoint or generated by this box.
async fn respond(
  gateway: Rc<Gateway>,
  request: Request<Incoming>,
  in_flight: InFlight,
) -> Response<ResponseBody> {
  match route_request(&gateway, request, None).await {
    Ok(request) => serve_here_or_forward(gateway, request, in_flight).await,
    Err(reply) => reply.response(),
  }
}
