//! Has boxes that join hold the streams that have begun at processes of unknown version.

use {
  crate::{
    gateway::{
      decisions::{StreamKey, WatchedProcess, asked_by_all_halls},
      stages::{BeginMessage, HoldMessage, confirm_hold, request_hold, watch_process},
      state::Gateway,
    },
    ids::Name,
  },
  std::{collections::BTreeSet, net::SocketAddr, rc::Rc},
  tokio::task::{spawn_local, yield_now},
};

/// Streams that are handed over when boxes join: a box that is asked calls their engines.
const MAX_HANDED_OVER: usize = 50;

/// A stream that has begun at a watched process.
struct WatchedStream {
  key: StreamKey,
  service: Name,
  watched: WatchedProcess,
  ttl_ms: u64,
}

/// Has the boxes that have joined hold the streams at watched processes; does not wait for them.
pub(super) fn hand_over_watched(gateway: &Rc<Gateway>, joined: BTreeSet<Name>) {
  let now_ms = gateway.now_ms();
  if joined.is_empty() {
    return;
  }
  let watched = gateway.stream_records.borrow().watched(now_ms).into_iter();
  let streams = watched.map(|(key, service, watched, expires_ms)| WatchedStream {
    key,
    service,
    ttl_ms: expires_ms - now_ms,
    watched,
  });
  let streams: Vec<_> = streams.take(MAX_HANDED_OVER).collect();
  if !streams.is_empty() {
    spawn_local(send_to_joined(gateway.clone(), streams, joined));
  }
}

async fn send_to_joined(gateway: Rc<Gateway>, streams: Vec<WatchedStream>, joined: BTreeSet<Name>) {
  let (count, mut held) = (streams.len(), 0_usize);
  for stream in streams {
    yield_now().await;
    let asked = asked_by_all_halls(&gateway.boxes.borrow(), &stream.key);
    for (_, address) in asked.into_iter().filter(|(name, _)| joined.contains(name)) {
      held += usize::from(hand_over(&gateway, &stream, address).await);
    }
  }
  log::info!(
    "E554 {count} streams at processes of unknown version, {held} held by boxes that have joined"
  );
}

/// Whether a box observes the process of a stream from now on. It does if the process still runs once that box has observed one.
async fn hand_over(gateway: &Rc<Gateway>, stream: &WatchedStream, address: SocketAddr) -> bool {
  let WatchedProcess {
    endpoint, process, ..
  } = &stream.watched;
  let entry = gateway.endpoints.borrow().entry(endpoint).cloned();
  let Some(entry) = entry.filter(|entry| entry.address == stream.watched.address) else {
    return false;
  };
  let message = HoldMessage {
    address: entry.address,
    endpoint: endpoint.clone(),
    key: stream.key,
    send: gateway.next_send(),
    service: stream.service.clone(),
    ttl_ms: stream.ttl_ms,
  };
  if let Err(error) = request_hold(gateway, address, &message).await {
    log::debug!("stream not held at {address}: {error}");
    return false;
  }
  let current = watch_process(gateway, &entry).await;
  let runs_on = current.is_ok_and(|current| Rc::ptr_eq(&current.process, process));
  if runs_on {
    let HoldMessage { key, send, .. } = message;
    confirm_hold(gateway, address, BeginMessage { key, send });
  }
  runs_on
}
