//! Announces an endpoint's new limit to the other boxes, which would otherwise learn it only from a response to a request of their
//! own.

use {
  super::relayed_limit::RelayedLimit,
  crate::{
    gateway::{
      connections::{read_message, send_message, status_response},
      decisions::{AdvertisedLimit, LimitChange},
      state::Gateway,
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde::{Deserialize, Serialize},
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::task::spawn_local,
};

/// The path on which a box receives announcements of limits.
pub(crate) const LIMITS_PATH: &str = "/limits";
/// Limit of a message body: a name and some numbers.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// How long an announcement may take; a box that misses it learns the limit from the endpoint's next response.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Announces that an endpoint has begun to advertise a limit.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LimitAnnouncement {
  endpoint: Name,
  started_ms: Option<u64>,
  limit: RelayedLimit,
  /// Whether a store reader forwarded it to the boxes of its hall, which do not forward it again.
  is_forwarded: bool,
}

/// Announces a limit that an endpoint has begun to advertise to this box; does not wait for the calls.
pub(crate) fn announce_limit(gateway: &Rc<Gateway>, endpoint: &Name, started_ms: Option<u64>) {
  let limit = gateway
    .endpoints
    .borrow()
    .limits()
    .advertised_by(endpoint, started_ms);
  let Some(limit) = limit else {
    return;
  };
  let own_name = &gateway.settings.identity.name;
  let (coordinators, own_hall) = {
    let boxes = gateway.boxes.borrow();
    (
      boxes.other_coordinators(own_name),
      boxes.forwarded_by(own_name),
    )
  };
  let message = LimitAnnouncement {
    started_ms,
    endpoint: endpoint.clone(),
    is_forwarded: false,
    limit: RelayedLimit::new(limit, gateway.now_ms()),
  };
  send(gateway, coordinators, &message);
  forward(gateway, own_hall, message);
}

fn forward(gateway: &Rc<Gateway>, addresses: Vec<SocketAddr>, message: LimitAnnouncement) {
  let message = LimitAnnouncement {
    is_forwarded: true,
    ..message
  };
  send(gateway, addresses, &message);
}

fn send(gateway: &Rc<Gateway>, addresses: Vec<SocketAddr>, message: &LimitAnnouncement) {
  for address in addresses {
    let (gateway, message) = (gateway.clone(), message.clone());
    spawn_local(async move {
      let http = &gateway.box_client;
      if let Err(error) = send_message(http, address, LIMITS_PATH, &message, ANNOUNCE_TIMEOUT).await
      {
        log::debug!("limit not announced to {address}: {error}");
      }
    });
  }
}

/// Records a limit that another box announces; a store reader forwards a new one to its hall.
pub(crate) async fn handle_limit(
  gateway: &Rc<Gateway>,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message::<LimitAnnouncement>(request, MAX_BODY_BYTES).await {
    Ok(message) => {
      receive_announcement(gateway, message);
      status_response(StatusCode::OK)
    }
    Err(error) => {
      log::info!("E609 limit announcement rejected: {error}");
      status_response(StatusCode::BAD_REQUEST)
    }
  }
}

fn receive_announcement(gateway: &Rc<Gateway>, message: LimitAnnouncement) {
  let now_ms = gateway.now_ms();
  let LimitAnnouncement {
    endpoint,
    started_ms,
    ..
  } = &message;
  let limit = message.limit.on_local_clock(now_ms);
  let change = record_relayed_limit(gateway, endpoint, *started_ms, limit);
  if change == LimitChange::Started && !message.is_forwarded {
    let addresses = {
      let boxes = gateway.boxes.borrow();
      boxes.forwarded_by(&gateway.settings.identity.name)
    };
    let limit = RelayedLimit::new(limit, now_ms);
    forward(gateway, addresses, LimitAnnouncement { limit, ..message });
  }
}

/// Records a limit that another box received, and logs it when it is new.
pub(super) fn record_relayed_limit(
  gateway: &Gateway,
  endpoint: &Name,
  started_ms: Option<u64>,
  limit: AdvertisedLimit,
) -> LimitChange {
  let mut endpoints = gateway.endpoints.borrow_mut();
  let change = endpoints
    .limits_mut()
    .record_reported(endpoint, started_ms, limit);
  if change == LimitChange::Started {
    log::info!(
      "E540 limit advertised: {endpoint} started {started_ms:?} takes {} requests per second from all boxes, received by another box {} ms ago",
      limit.per_s.unwrap_or_default(),
      gateway.now_ms().saturating_sub(limit.received_ms)
    );
  }
  change
}
