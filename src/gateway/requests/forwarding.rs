//! Forwards a request whose endpoints this box can't reach to a box that may reach them. There is one hop: the other box
//! treats it like a request of its own caller, and charges limits and retries there.

use {
  super::{
    forwarding_headers::{
      ACCEPTED, BUSY, CONFIGURATION, DECLINED, ENDPOINT, FORWARD_PATH, FORWARDED_BY, REMAINING_MS,
      header_text, remove_forwarding_headers, set_header,
    },
    relayed_body::RelayedBody,
    response::{LocalReply, ResponseBody},
  },
  crate::{
    gateway::{
      connections::{AddressedRequest, Connection, SendError, remove_connection_headers},
      decisions::{EndpointIncarnation, PeerList},
      stages::{RequestOrigin, RoutedRequest, apply_forwarded_notice},
      state::{Gateway, InFlight},
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{HeaderMap, Request, Response},
  http_body_util::Full,
  hyper::body::Incoming,
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::time::timeout,
};

/// The other box answers at the deadline itself, and knows whether the request has run.
const RESPONSE_MARGIN_MS: u64 = 100;
/// Why another box did not answer a request.
enum ForwardError {
  /// It has not received it, or accepts none for now.
  NotAccepted(String),
  /// It has too many forwarded requests in flight.
  Busy,
  /// It may have served it.
  Lost(String),
}

impl From<SendError> for ForwardError {
  fn from(error: SendError) -> Self {
    match error {
      SendError::Unreachable | SendError::Unsent(_) => Self::NotAccepted(error.to_string()),
      SendError::ConnectionLost(_) => Self::Lost(error.to_string()),
    }
  }
}

/// The connection on which another box responds, and its response.
type PeerResponse = (Connection, Response<Incoming>);

/// Forwards a request that no endpoint has received; `None` when no other box accepts it.
pub(super) async fn forward_to_box(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
) -> Option<Response<ResponseBody>> {
  let RequestOrigin::Caller { headers } = &request.origin else {
    return None;
  };
  let in_flight = InFlight::new(gateway);
  let peers = peers(gateway);
  let mut tried = Vec::new();
  while let Some(address) = next_peer(gateway, request, &peers, &tried) {
    tried.push(address);
    match send(gateway, request, headers, address).await {
      Ok(response) => {
        gateway.counters.forwarded.inc();
        gateway
          .peer_answers
          .borrow_mut()
          .record_accepted(&request.service, address);
        log::info!(
          "E550 forwarded: {} {} answered by box {address} with status {}, {} ms after arrival, asked {}",
          request.id(),
          request.service,
          response.1.status(),
          gateway.now_ms() - request.arrived_ms,
          tried.len()
        );
        return Some(into_response(
          gateway, request, in_flight, address, response,
        ));
      }
      Err(ForwardError::Busy) => {
        log::info!(
          "E551 not forwarded: {} to box {address}: busy",
          request.id()
        );
      }
      Err(ForwardError::NotAccepted(error)) => {
        log::info!(
          "E551 not forwarded: {} to box {address}: {error}",
          request.id()
        );
        record_declined(gateway, request, address);
      }
      Err(ForwardError::Lost(error)) => {
        log::info!(
          "E551 forwarded and lost: {} at box {address}: {error}",
          request.id()
        );
        record_declined(gateway, request, address);
        return Some(LocalReply::Unknown.response());
      }
    }
  }
  record_fruitless(gateway, request, tried.len());
  None
}

/// The box to ask next.
fn next_peer(
  gateway: &Gateway,
  request: &RoutedRequest,
  peers: &PeerList,
  tried: &[SocketAddr],
) -> Option<SocketAddr> {
  let answers = gateway.peer_answers.borrow();
  answers.next(&request.service, peers, tried, gateway.now_ms(), || {
    gateway.draw()
  })
}

fn record_declined(gateway: &Gateway, request: &RoutedRequest, address: SocketAddr) {
  let now_ms = gateway.now_ms();
  let mut answers = gateway.peer_answers.borrow_mut();
  answers.record_declined(&request.service, address, now_ms);
}

/// Records that none of the boxes that were asked accepted a request.
fn record_fruitless(gateway: &Gateway, request: &RoutedRequest, asked: usize) {
  log::info!(
    "E551 not forwarded: {} {}, {asked} boxes asked",
    request.id(),
    request.service
  );
  if asked == 0 {
    return;
  }
  gateway.counters.not_forwarded.inc();
  gateway
    .peer_answers
    .borrow_mut()
    .record_fruitless(&request.service, gateway.now_ms());
}

/// The boxes that a request may be forwarded to.
fn peers(gateway: &Gateway) -> PeerList {
  let identity = &gateway.settings.identity;
  let boxes = gateway.boxes.borrow();
  let (own_hall, other_halls) = boxes.peers(&identity.name, &identity.hall);
  PeerList {
    former: boxes.former_peers(&identity.name),
    other_halls,
    own_hall,
  }
}

/// Sends the request to a box and waits for the response's head.
async fn send(
  gateway: &Gateway,
  request: &RoutedRequest,
  headers: &HeaderMap,
  address: SocketAddr,
) -> Result<PeerResponse, ForwardError> {
  let remaining_ms = request.remaining_ms(gateway.now_ms());
  let forwarded = build(gateway, request, headers, remaining_ms)
    .map_err(|error| ForwardError::NotAccepted(error.to_string()))?;
  let peer: Name = address.to_string().into();
  let mut connection = Connection::open(
    peer.clone(),
    address,
    gateway.held_memory.socket_buffer_bytes(),
    || (),
  )
  .await?;
  let wait = Duration::from_millis(remaining_ms + RESPONSE_MARGIN_MS);
  let response = timeout(
    wait,
    connection.send(AddressedRequest::to_box(peer, forwarded)),
  )
  .await
  .map_err(|_| ForwardError::Lost(format!("no response within {} ms", wait.as_millis())))??;
  if response.headers().contains_key(ACCEPTED) {
    return Ok((connection, response));
  }
  Err(decline_error(&response))
}

/// Why a box did not accept a request, from its response.
fn decline_error(response: &Response<Incoming>) -> ForwardError {
  if response.status() == BUSY {
    return ForwardError::Busy;
  }
  let reason = header_text(response.headers(), &DECLINED);
  ForwardError::NotAccepted(format!(
    "declined with status {}: {reason}",
    response.status()
  ))
}

fn build(
  gateway: &Gateway,
  request: &RoutedRequest,
  headers: &HeaderMap,
  remaining_ms: u64,
) -> http::Result<Request<Full<Bytes>>> {
  let path = request.uri.path_and_query();
  let path = path.map_or(request.uri.path(), |path| path.as_str());
  let mut forwarded = Request::builder()
    .method(request.method.clone())
    .uri(format!("{FORWARD_PATH}{path}"))
    .body(Full::new(request.body.clone()))?;
  let mut headers = headers.clone();
  remove_forwarding_headers(&mut headers);
  set_header(&mut headers, FORWARDED_BY, &gateway.settings.identity.name);
  set_header(&mut headers, REMAINING_MS, &remaining_ms.to_string());
  let version = gateway.route_table().map_or(0, |table| table.version());
  set_header(&mut headers, CONFIGURATION, &version.to_string());
  *forwarded.headers_mut() = headers;
  Ok(forwarded)
}

/// The response for the caller. What the endpoint states about itself holds at this box too, which passes it on.
fn into_response(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  in_flight: InFlight,
  address: SocketAddr,
  (connection, response): PeerResponse,
) -> Response<ResponseBody> {
  let (mut head, body) = response.into_parts();
  if let Some((incarnation, id)) = header_text(&head.headers, &ENDPOINT).split_once(' ') {
    let incarnation = EndpointIncarnation::parse(incarnation);
    let entry = gateway.endpoints.borrow().entry(id).cloned();
    let is_same =
      |of: &EndpointIncarnation, started_ms| *of == EndpointIncarnation::of(id, started_ms);
    if let Some((entry, of)) = entry.zip(incarnation)
      && is_same(&of, entry.started_ms)
    {
      apply_forwarded_notice(gateway, &entry, &head);
    }
  }
  remove_forwarding_headers(&mut head.headers);
  remove_connection_headers(&mut head.headers);
  let due_ms = request.deadline_ms + RESPONSE_MARGIN_MS;
  let body = RelayedBody::new(gateway, request, (address, connection), body, due_ms);
  Response::from_parts(head, body.into_response_body(in_flight))
}
