//! Telling other boxes of an endpoint that comes to name a limit: each of them would send it one request before it hears so.

use {
  super::told_limit::ToldLimit,
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

/// The path on which a box is told that an endpoint names a limit.
pub(crate) const LIMITS_PATH: &str = "/limits";
/// The longest message: a name and some numbers.
const MOST_BYTES: usize = 4 * 1024;
/// A box that does not answer in this time hears of the limit in the endpoint's own answer.
const TELL_LIMIT: Duration = Duration::from_millis(200);

/// What a box tells of an endpoint that comes to name a limit.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LimitMessage {
  endpoint: Name,
  started_ms: Option<u64>,
  told: ToldLimit,
  /// Whether a reader tells it on to the boxes of its hall; these tell nobody.
  is_told_on: bool,
}

/// Tells others that this box heard an endpoint begin to name a limit; nobody waits for it.
pub(crate) fn tell_limit(gateway: &Rc<Gateway>, endpoint: &Name, started_ms: Option<u64>) {
  let heard = gateway
    .book
    .borrow()
    .limits()
    .advertised_by(endpoint, started_ms);
  let Some(heard) = heard else {
    return;
  };
  let own_name = &gateway.settings.identity.name;
  let (all, own_hall) = {
    let boxes = gateway.boxes.borrow();
    (
      boxes.other_coordinators(own_name),
      boxes.forwarded_by(own_name),
    )
  };
  let message = LimitMessage {
    started_ms,
    endpoint: endpoint.clone(),
    is_told_on: false,
    told: ToldLimit::new(heard, gateway.now_ms()),
  };
  tell(gateway, all, &message);
  tell_on(gateway, own_hall, message);
}

fn tell_on(gateway: &Rc<Gateway>, addresses: Vec<SocketAddr>, message: LimitMessage) {
  let message = LimitMessage {
    is_told_on: true,
    ..message
  };
  tell(gateway, addresses, &message);
}

fn tell(gateway: &Rc<Gateway>, addresses: Vec<SocketAddr>, message: &LimitMessage) {
  for address in addresses {
    let (gateway, message) = (gateway.clone(), message.clone());
    spawn_local(async move {
      let http = &gateway.box_calls;
      if let Err(error) = send_message(http, address, LIMITS_PATH, &message, TELL_LIMIT).await {
        log::debug!("a limit was not told to {address}: {error}");
      }
    });
  }
}

/// Takes over what another box tells, and tells it on in this box's hall when it is new and that is this box's part.
pub(crate) async fn answer_limit(
  gateway: &Rc<Gateway>,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message::<LimitMessage>(request, MOST_BYTES).await {
    Ok(message) => {
      hear_told(gateway, message);
      status_response(StatusCode::OK)
    }
    Err(error) => {
      log::info!("E609 an endpoint's limit not read: {error}");
      status_response(StatusCode::BAD_REQUEST)
    }
  }
}

fn hear_told(gateway: &Rc<Gateway>, message: LimitMessage) {
  let now_ms = gateway.now_ms();
  let LimitMessage {
    endpoint,
    started_ms,
    ..
  } = &message;
  let told = message.told.heard(now_ms);
  if note_told(gateway, endpoint, *started_ms, told) == LimitChange::Started && !message.is_told_on
  {
    let addresses = {
      let boxes = gateway.boxes.borrow();
      boxes.forwarded_by(&gateway.settings.identity.name)
    };
    let told = ToldLimit::new(told, now_ms);
    tell_on(gateway, addresses, LimitMessage { told, ..message });
  }
}

/// Takes over a word that another box heard, and says so where it begins.
pub(super) fn note_told(
  gateway: &Gateway,
  endpoint: &Name,
  started_ms: Option<u64>,
  told: AdvertisedLimit,
) -> LimitChange {
  let mut book = gateway.book.borrow_mut();
  let news = book
    .limits_mut()
    .record_reported(endpoint, started_ms, told);
  if news == LimitChange::Started {
    log::info!(
      "E540 names a limit: {endpoint} born {started_ms:?} takes {} requests a second of all boxes, as another box heard {} ms ago",
      told.per_s.unwrap_or_default(),
      gateway.now_ms().saturating_sub(told.received_ms)
    );
  }
  news
}
