//! Records where streams began, here and, while several versions serve, at other boxes, also at those that join later.

use {
  super::{
    handing_over::hand_over_watched,
    messages::{StreamRecordMessage, send_records},
    origin_reading::expire_stored,
    origin_sending::keep_origin,
  },
  crate::{
    gateway::{
      connections::SentHold,
      decisions::{RecordSource, StreamKey, StreamOrigin, asked_by_all_halls, record_holders},
      edge::SoftwareVersion,
      stages::{BeginMessage, ResponseHead, RoutedRequest, confirm_hold},
      state::Gateway,
    },
    ids::Name,
  },
  std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
  },
  tokio::{
    task::{spawn_local, yield_now},
    time::sleep,
  },
};

/// Records of a service that a box considers for boxes that have joined; as many fit into a message.
const MAX_HANDED_OVER: usize = 400;
/// Interval of checks for services that have got a second version.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Records which version began a stream whose first event is forwarded now.
pub(crate) fn record_stream(gateway: &Rc<Gateway>, request: &RoutedRequest, head: &ResponseHead) {
  let key = request.stream_key();
  let entry = &head.entry;
  let now_ms = gateway.now_ms();
  let expires_ms = now_ms + request.resumable_ms(now_ms);
  let hold = head.hold();
  if let Some(SentHold { holders, send, .. }) = hold {
    let message = BeginMessage { key, send: *send };
    let holders = holders.iter();
    holders.for_each(|holder| confirm_hold(gateway, *holder, message));
  }
  let mut records = gateway.stream_records.borrow_mut();
  if let Some(process) = head.process()
    && !head.version_evidence(gateway).is_known()
  {
    let watched = hold.and_then(|hold| hold.watched.clone());
    records.record_pending(key, &entry.service, process, watched, expires_ms);
    return;
  }
  let origin = StreamOrigin {
    service: entry.service.clone(),
    version: entry.version.clone(),
  };
  records.record(key, origin.clone(), RecordSource::Own, expires_ms);
  drop(records);
  tell_asked(gateway, request, key, &origin);
  publish_divided(gateway, vec![(key, origin, expires_ms)]);
}

/// Tells the boxes that were asked to hold a stream where it has begun: they may wait for an earlier send.
fn tell_asked(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  key: StreamKey,
  origin: &StreamOrigin,
) {
  for address in request.asked_holders.take() {
    let record = StreamRecordMessage {
      key,
      origin: origin.clone(),
      ttl_ms: request.resumable_ms(gateway.now_ms()),
    };
    send(gateway, address, vec![record]);
  }
}

/// Publishes the streams of services that have several versions, and all while this box does not know whether other boxes record
/// further versions.
fn publish_divided(gateway: &Rc<Gateway>, mut streams: Vec<(StreamKey, StreamOrigin, u64)>) {
  let is_current = gateway.is_current();
  streams.retain(|(_, origin, _)| !is_current || gateway.is_divided(&origin.service));
  if !streams.is_empty() {
    publish(gateway, streams);
  }
}

/// Publishes the streams of services that get a second version, which were recorded here only; and forgets versions and records
/// that no stream needs any more. Runs until the process exits.
pub(crate) async fn publish_streams(gateway: Rc<Gateway>) {
  let mut before: BTreeMap<Name, BTreeSet<SoftwareVersion>> = BTreeMap::new();
  let mut was_current = true;
  loop {
    sleep(CHECK_INTERVAL).await;
    expire(&gateway);
    let is_current = gateway.is_current();
    if was_current && !is_current {
      let own = gateway.stream_records.borrow().own(gateway.now_ms());
      publish(&gateway, own);
    }
    was_current = is_current;
    let settled = gateway.stream_records.borrow_mut().take_settled();
    publish_divided(&gateway, settled);
    let divided = gateway.endpoints.borrow().versions().divided();
    for (service, versions) in &divided {
      let names: BTreeSet<SoftwareVersion> = versions.keys().cloned().collect();
      if before.get(service) == Some(&names) {
        continue;
      }
      let counts = versions.iter();
      let counts: Vec<String> = counts
        .map(|(version, endpoints)| format!("{version}: {endpoints}"))
        .collect();
      log::info!("E560 versions of {service}: {}", counts.join(", "));
      if !before.contains_key(service) {
        let now_ms = gateway.now_ms();
        let own = gateway.stream_records.borrow().own_of(service, now_ms);
        publish(&gateway, own);
      }
    }
    let joined = take_joined(&gateway);
    hand_over_watched(&gateway, joined.clone());
    hand_over(&gateway, joined, divided.keys().cloned().collect());
    before = divided
      .into_iter()
      .map(|(service, versions)| (service, versions.into_keys().collect()))
      .collect();
  }
}

/// Forgets expired records, and versions that began no stream which may still be resumed.
fn expire(gateway: &Gateway) {
  let now_ms = gateway.now_ms();
  let lifetime_ms = gateway.stream_lifetime_ms();
  let mut endpoints = gateway.endpoints.borrow_mut();
  endpoints.settle_versions();
  endpoints.expire_processes();
  endpoints.expire_versions(now_ms, lifetime_ms);
  drop(endpoints);
  gateway.stream_records.borrow_mut().expire(now_ms);
  gateway.watching_connections.expire(now_ms);
  expire_stored(gateway);
}

/// The other boxes that have registered lately.
fn take_joined(gateway: &Gateway) -> BTreeSet<Name> {
  let mut joined = gateway.joined_boxes.borrow_mut().take();
  joined.remove(&gateway.settings.identity.name);
  joined
}

/// Sends the records of services to the boxes that have registered lately, which know none.
fn hand_over(gateway: &Rc<Gateway>, joined: BTreeSet<Name>, services: Vec<Name>) {
  if !joined.is_empty() && !services.is_empty() {
    spawn_local(send_to_joined(gateway.clone(), services, joined));
  }
}

/// Sends records to those of the joined boxes that all halls ask for them.
async fn send_to_joined(gateway: Rc<Gateway>, services: Vec<Name>, joined: BTreeSet<Name>) {
  let now_ms = gateway.now_ms();
  let mut by_box: BTreeMap<(Name, SocketAddr), Vec<StreamRecordMessage>> = BTreeMap::new();
  for service in services {
    let streams = gateway.stream_records.borrow().all_of(&service, now_ms);
    for (key, origin, expires_ms) in streams.into_iter().take(MAX_HANDED_OVER) {
      // The order of all boxes is computed for each record: requests go on in between.
      yield_now().await;
      let asked = asked_by_all_halls(&gateway.boxes.borrow(), &key);
      for receiver in asked.into_iter().filter(|(name, _)| joined.contains(name)) {
        by_box
          .entry(receiver)
          .or_default()
          .push(StreamRecordMessage {
            key,
            origin: origin.clone(),
            ttl_ms: expires_ms.saturating_sub(now_ms),
          });
      }
    }
  }
  for ((name, address), mut records) in by_box {
    records.truncate(MAX_HANDED_OVER);
    log::info!(
      "E554 {} records of streams sent to {name}, which has joined",
      records.len()
    );
    send(&gateway, address, records);
  }
}

/// Sends records to the boxes that hold them, in one message for each; does not wait for the calls.
fn publish(gateway: &Rc<Gateway>, streams: Vec<(StreamKey, StreamOrigin, u64)>) {
  let now_ms = gateway.now_ms();
  let identity = &gateway.settings.identity;
  let mut by_box: BTreeMap<SocketAddr, Vec<StreamRecordMessage>> = BTreeMap::new();
  for (key, origin, expires_ms) in streams {
    keep_origin(gateway, key, &origin, expires_ms);
    let copies = gateway.copy_budget.borrow_mut().take(now_ms);
    if copies == 0 {
      gateway.counters.streams_not_copied.inc();
    }
    let holders = record_holders(
      &gateway.boxes.borrow(),
      &key,
      &identity.name,
      &identity.hall,
    );
    for address in holders.into_iter().take(copies) {
      by_box
        .entry(address)
        .or_default()
        .push(StreamRecordMessage {
          key,
          origin: origin.clone(),
          ttl_ms: expires_ms.saturating_sub(now_ms),
        });
    }
  }
  for (address, records) in by_box {
    send(gateway, address, records);
  }
}

/// Sends records to a box; does not wait for the call.
fn send(gateway: &Rc<Gateway>, address: SocketAddr, records: Vec<StreamRecordMessage>) {
  gateway
    .counters
    .stream_copies
    .add(u64::try_from(records.len()).unwrap_or(u64::MAX));
  let gateway = gateway.clone();
  spawn_local(async move {
    if let Err(error) = send_records(&gateway.box_client, address, &records).await {
      gateway.counters.stream_copies_failed.inc();
      log::debug!("records of streams not sent to {address}: {error}");
    }
  });
}
