//! Has other boxes hold the record of a stream before it begins at a process whose version is not known, so that the record outlives
//! this box. A box without this feature answers with 404, and holds nothing.

use {
  super::{
    call_request::CALL_TIMEOUT, incarnation_check::request_report,
    open_connection::open_lone_connection, outgoing_call::BeginningStream, stage_error::StageError,
  },
  crate::{
    CallError,
    gateway::{
      connections::{Connection, SentHold, SharedConnection, closes_connection, send_message},
      decisions::{ObservedProcess, StreamKey, Unavailable, WatchedProcess, record_holders},
      edge::EndpointEntry,
      state::Gateway,
    },
    ids::Name,
  },
  futures_util::{StreamExt, stream::FuturesUnordered},
  http::StatusCode,
  serde::{Deserialize, Serialize},
  std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration},
  tokio::{
    task::spawn_local,
    time::{Instant, timeout, timeout_at},
  },
};

/// The path on which a box is asked to hold a stream.
pub(crate) const HOLD_PATH: &str = "/streams/hold";
/// The path on which a box is told that a stream that it holds has begun.
pub(crate) const BEGIN_PATH: &str = "/streams/begin";
/// Boxes that hold a stream: one of the own hall, and one of another.
const HOLDERS: usize = 2;
/// For how long a stream waits for one of them before it is sent all the same.
const HOLD_TIMEOUT: Duration = Duration::from_millis(50);
/// Timeout of a message, longer than that where the receiver is throttled.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(150);
/// Heartbeats for which a process is watched: its version is known by then, or won't be.
const WATCHED_HEARTBEATS: u64 = 3;

/// Asks a box to observe the process of an endpoint, where a stream is about to begin.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct HoldMessage {
  pub(crate) key: StreamKey,
  pub(crate) service: Name,
  pub(crate) endpoint: Name,
  pub(crate) address: SocketAddr,
  /// Distinguishes the sends of a stream.
  pub(crate) send: u64,
  /// Time until the record expires.
  pub(crate) ttl_ms: u64,
}

/// Tells a box that a stream which it holds has begun at the process that it observes.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct BeginMessage {
  pub(crate) key: StreamKey,
  pub(crate) send: u64,
}

/// Has other boxes hold a stream that is about to be sent on an open connection: what that connection brings afterwards comes from
/// the process that they observe. This box watches the process itself if none does in time, for boxes that join.
pub(super) async fn hold_stream(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  begins: Option<BeginningStream>,
) -> Option<SentHold> {
  let BeginningStream { asked, key, ttl_ms } = begins?;
  let send = gateway.next_send();
  let message = HoldMessage {
    address: entry.address,
    endpoint: entry.id.clone(),
    key,
    send,
    service: entry.service.clone(),
    ttl_ms,
  };
  let holders = ask_to_hold(gateway, &message, &asked).await;
  if !holders.is_empty() {
    gateway.counters.streams_held.inc();
    return Some(SentHold {
      holders,
      send,
      watched: None,
    });
  }
  let watched = timeout(HOLD_TIMEOUT, watch_process(gateway, entry)).await;
  let watched = watched.ok()?.ok()?;
  Some(SentHold {
    holders: Vec::new(),
    send,
    watched: Some(watched),
  })
}

/// Asks boxes to hold a stream; returns those that do, none if there is no other box.
async fn ask_to_hold(
  gateway: &Rc<Gateway>,
  message: &HoldMessage,
  asked: &RefCell<BTreeSet<SocketAddr>>,
) -> Vec<SocketAddr> {
  let identity = &gateway.settings.identity;
  let mut others = record_holders(
    &gateway.boxes.borrow(),
    &message.key,
    &identity.name,
    &identity.hall,
  );
  if others.is_empty() {
    return Vec::new();
  }
  let asked_ms = gateway.now_ms();
  let most = HOLDERS.min(others.len());
  let copies = gateway
    .copy_budget
    .borrow_mut()
    .take_holders(most, asked_ms);
  others.truncate(copies);
  asked.borrow_mut().extend(&others);
  let holders = wait_for_holders(gateway, &others, message).await;
  if holders.is_empty() {
    gateway.counters.streams_unheld.inc();
    log::info!(
      "E598 stream held by no other box: begins at {}, {copies} asked, waited for {} ms",
      message.endpoint,
      gateway.now_ms() - asked_ms
    );
  }
  holders
}

/// The boxes that hold a stream: the first one, and those that take no longer than twice its time.
async fn wait_for_holders(
  gateway: &Rc<Gateway>,
  others: &[SocketAddr],
  message: &HoldMessage,
) -> Vec<SocketAddr> {
  let calls = others.iter().map(|address| async move {
    let result = request_hold(gateway, *address, message).await;
    (*address, result)
  });
  let mut calls: FuturesUnordered<_> = calls.collect();
  let asked_at = Instant::now();
  let mut wait = HOLD_TIMEOUT;
  let mut holders = Vec::new();
  while let Ok(Some((address, result))) = timeout_at(asked_at + wait, calls.next()).await {
    match result {
      Ok(()) => {
        wait = wait.min(asked_at.elapsed() * 2);
        holders.push(address);
      }
      Err(error) => log::debug!("stream not held at {address}: {error}"),
    }
  }
  holders
}

/// Has a box hold a stream.
pub(crate) async fn request_hold(
  gateway: &Gateway,
  address: SocketAddr,
  message: &HoldMessage,
) -> Result<(), CallError> {
  let http = &gateway.box_client;
  let sent = send_message(http, address, HOLD_PATH, message, MESSAGE_TIMEOUT).await;
  sent.map(drop)
}

/// Tells a box that a stream which it holds has begun; does not wait for it.
pub(crate) fn confirm_hold(gateway: &Rc<Gateway>, address: SocketAddr, message: BeginMessage) {
  let gateway = gateway.clone();
  spawn_local(async move {
    let http = &gateway.box_client;
    let sent = send_message(http, address, BEGIN_PATH, &message, MESSAGE_TIMEOUT).await;
    if let Err(error) = sent {
      log::info!("E599 holder not told that a stream has begun: {address}: {error}");
    }
  });
}

/// The process that runs at a listed endpoint now, watched for some heartbeats.
pub(crate) async fn watch_process(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
) -> Result<WatchedProcess, StageError> {
  let heartbeat_ms = gateway.settings.endpoints.heartbeat_ms;
  let until_ms = gateway.now_ms() + WATCHED_HEARTBEATS * heartbeat_ms;
  let shared = gateway.watching_connections.get(entry, until_ms);
  let shared = shared.ok_or(Unavailable::VersionUnknown)?;
  // A caller that waits no longer leaves the connection to the streams that are held already.
  let opened = spawn_local(open_alive(gateway.clone(), entry.clone(), shared));
  let process = opened.await.unwrap_or(Err(StageError::Unreachable))?;
  Ok(WatchedProcess {
    address: entry.address,
    endpoint: entry.id.clone(),
    process,
  })
}

/// The process behind a shared connection, which is opened anew if no process answers on it.
async fn open_alive(
  gateway: Rc<Gateway>,
  entry: EndpointEntry,
  shared: Rc<SharedConnection>,
) -> Result<Rc<ObservedProcess>, StageError> {
  let mut shared = shared.lock().await;
  let open = shared.take_if(|open| open.closed().is_none());
  let connection = if gateway.has_engines(&entry.service) {
    let alive = match open {
      Some(open) => shown_alive(&gateway, &entry, open).await,
      None => None,
    };
    match alive {
      Some(connection) => Some(connection),
      None => {
        let opened = open_lone_connection(&gateway, &entry).await?;
        shown_alive(&gateway, &entry, opened).await
      }
    }
  } else if open.is_some() {
    // Nothing asks a plain service whether it runs; the streams that are held already need the connection.
    *shared = open;
    None
  } else {
    Some(open_lone_connection(&gateway, &entry).await?)
  };
  let connection = connection.ok_or(Unavailable::Unconfirmed)?;
  let process = shared.insert(connection).process.clone();
  process.ok_or_else(|| Unavailable::VersionUnknown.into())
}

/// A connection on which the endpoint's process has answered now; `None` if it has not. One whose process is gone may seem to be
/// open, and another endpoint may have the address.
async fn shown_alive(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  mut connection: Connection,
) -> Option<Connection> {
  let report = request_report(gateway, entry, &mut connection);
  let report = timeout(CALL_TIMEOUT, report).await.ok()?;
  let is_alive = report.is_ok_and(|report| {
    report.head.status == StatusCode::OK && !closes_connection(&report.head.headers)
  });
  is_alive.then_some(connection)
}
