//! Finds out which version began a stream that a caller resumes.

use {
  super::{
    messages::{LookupMessage, LookupResponse, ask},
    origin_reading::find_stored_origin,
  },
  crate::{
    CallError,
    gateway::{
      decisions::{BoxEntry, BoxList, RecordedOrigin, StreamKey, StreamOrigin, record_sources},
      edge::{RouteKind, SoftwareVersion},
      stages::{Resumption, RoutedRequest},
      state::Gateway,
    },
  },
  futures_util::{StreamExt, stream::FuturesUnordered},
  std::{collections::BTreeSet, fmt::Write, net::SocketAddr, rc::Rc, time::Duration},
  tokio::time::{sleep, timeout},
};

/// How long a request waits for a read of the store, which may begin after another one.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Heartbeats for which a stream is looked up again.
const MAX_HEARTBEATS: u64 = 3;
/// Pause between two lookups of a stream.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(200);

/// What boxes answered to a lookup.
#[derive(Debug, Default)]
struct Answers {
  /// Boxes that were asked.
  asked: usize,
  /// Boxes that answered.
  answered: usize,
  /// Where the stream began, and which box has recorded it.
  origin: Option<(RecordedOrigin, SocketAddr)>,
  /// Whether a box holds the stream, and does not know whether it has begun.
  is_held: bool,
}

/// Binds a request that resumes a stream to the service and the version that began the stream; other requests stay as they are.
pub(crate) async fn resolve_resumption(
  gateway: &Rc<Gateway>,
  mut request: RoutedRequest,
) -> RoutedRequest {
  let is_stream = matches!(request.route.kind, RouteKind::Stream { .. });
  let Some(last) = request.attributes.last_event_id.filter(|_| is_stream) else {
    return request;
  };
  log::info!(
    "E556 caller resumes: {} the stream of {} after event {last}",
    request.id(),
    request
      .attributes
      .resumed_request_id
      .as_deref()
      .unwrap_or("-")
  );
  match find_origin(gateway, &request).await {
    Some(StreamOrigin { service, version }) => {
      request.service = service;
      request.resumption = Resumption::At(version);
    }
    None => request.resumption = Resumption::UnknownOrigin,
  }
  request
}

/// Where the stream began that a request resumes; `None` if that is not known. While the version of the process that began it may still become known, it is looked
/// up again.
async fn find_origin(gateway: &Rc<Gateway>, request: &RoutedRequest) -> Option<StreamOrigin> {
  let heartbeat_ms = gateway.settings.endpoints.heartbeat_ms;
  let until_ms = gateway.now_ms() + MAX_HEARTBEATS * heartbeat_ms;
  loop {
    match look_up(gateway, request).await {
      Lookup::Known(origin) => return Some(origin),
      Lookup::Ambiguous(..) if gateway.now_ms() < until_ms && gateway.is_current() => {
        sleep(LOOKUP_INTERVAL).await;
      }
      Lookup::Ambiguous(own, answers) | Lookup::Unknown(own, answers) => {
        gateway.counters.origins_unknown.inc();
        log_unknown(gateway, request, own, &answers);
        return None;
      }
    }
  }
}

/// What boxes know of where a stream began.
enum Lookup {
  Known(StreamOrigin),
  /// A box has a record, which names no origin or none yet.
  Ambiguous(RecordedOrigin, Answers),
  Unknown(RecordedOrigin, Answers),
}

async fn look_up(gateway: &Rc<Gateway>, request: &RoutedRequest) -> Lookup {
  let key = request.stream_key();
  gateway.endpoints.borrow().settle_versions();
  let own = gateway.stream_records.borrow().find(&key, gateway.now_ms());
  if let RecordedOrigin::Known(origin) = own {
    gateway.counters.origins_own.inc();
    return Lookup::Known(along_route(request, origin, "recorded here"));
  }
  let mut answers = Answers::default();
  let is_recorded = !matches!(own, RecordedOrigin::Unknown | RecordedOrigin::Held);
  if !is_recorded {
    ask_boxes(gateway, request, key, &mut answers).await;
  }
  match &answers.origin {
    Some((RecordedOrigin::Known(origin), address)) => {
      gateway.counters.origins_asked.inc();
      let source = format!("recorded by {address}");
      return Lookup::Known(along_route(request, origin.clone(), &source));
    }
    None if own == RecordedOrigin::Unknown && !answers.is_held => {
      match recorded_versions(gateway, request).await {
        RecordedVersions::Only(version) => {
          gateway.counters.origins_only.inc();
          log_only_version(gateway, request, &version, &answers);
          return Lookup::Known(StreamOrigin {
            service: request.service.clone(),
            version,
          });
        }
        RecordedVersions::Several => {}
        RecordedVersions::Unread => return Lookup::Unknown(own, answers),
      }
    }
    _ => {}
  }
  if is_recorded || answers.origin.is_some() {
    return Lookup::Ambiguous(own, answers);
  }
  if request.attributes.resumed_request_id.is_some()
    && let Some(origin) = find_stored_origin(gateway, &key).await
  {
    gateway.counters.origins_stored.inc();
    return Lookup::Known(along_route(request, origin, "recorded in the store"));
  }
  Lookup::Unknown(own, answers)
}

/// The versions that may have begun streams of the services to which a request's route leads.
enum RecordedVersions {
  Only(SoftwareVersion),
  Several,
  /// The store has not shown them.
  Unread,
}

/// What the store shows after a request arrived. Without recent contact it is not asked: a request that waits for it in vain is
/// rejected late.
async fn recorded_versions(gateway: &Gateway, request: &RoutedRequest) -> RecordedVersions {
  if !gateway.is_current() {
    return RecordedVersions::Unread;
  }
  let mut versions = read_versions(gateway, request).await;
  if versions.as_ref().is_some_and(BTreeSet::is_empty) {
    // The listed versions are about to be recorded for the first time.
    await_first_record(gateway, &request.service).await;
    versions = read_versions(gateway, request).await;
  }
  let Some(mut versions) = versions else {
    return RecordedVersions::Unread;
  };
  if versions.is_empty() {
    return RecordedVersions::Unread;
  }
  // A box of an older build may have begun streams at a version that is not recorded.
  let endpoints = gateway.endpoints.borrow();
  let services = request.route.services.iter();
  versions.extend(services.flat_map(|target| endpoints.versions().of(&target.service)));
  match versions.pop_first() {
    Some(only) if versions.is_empty() => RecordedVersions::Only(only),
    _ => RecordedVersions::Several,
  }
}

/// The recorded versions of the services to which a request's route leads; `None` if the store does not answer.
async fn read_versions(
  gateway: &Gateway,
  request: &RoutedRequest,
) -> Option<BTreeSet<SoftwareVersion>> {
  let read = timeout(READ_TIMEOUT, gateway.version_reads.read()).await;
  let recorded = read.ok()???;
  let of_route = recorded
    .iter()
    .filter(|recorded| request.route.names(&recorded.service));
  Some(of_route.map(|recorded| recorded.version.clone()).collect())
}

/// Waits until a listed version of a service is recorded.
async fn await_first_record(gateway: &Gateway, service: &str) {
  let missing = || {
    let endpoints = gateway.endpoints.borrow();
    let listed = endpoints.versions().all_listed();
    let listed: BTreeSet<_> = listed
      .filter(|listed| &*listed.service == service)
      .collect();
    let records = endpoints.version_records();
    match listed
      .iter()
      .any(|listed| records.covers(listed, 0).is_some())
    {
      true => BTreeSet::new(),
      false => listed,
    }
  };
  // The read shows whether it came in time.
  let _ = gateway.await_version_records(missing).await;
}

/// An origin, at the service that the request's route leads to now.
fn along_route(request: &RoutedRequest, origin: StreamOrigin, source: &str) -> StreamOrigin {
  let service = match request.route.leads_to(&origin.service) {
    true => origin.service.clone(),
    false => request.service.clone(),
  };
  log::info!(
    "E558 origin known: {} began at {} version {}, {source}; goes on at {service}",
    request.id(),
    origin.service,
    origin.version
  );
  StreamOrigin {
    service,
    version: origin.version,
  }
}

fn log_only_version(
  gateway: &Gateway,
  request: &RoutedRequest,
  version: &SoftwareVersion,
  answers: &Answers,
) {
  log::info!(
    "E567 origin shown: {} goes on at {} version {version}, the only one recorded; {} of {} boxes answered, running for {} ms",
    request.id(),
    request.service,
    answers.answered,
    answers.asked,
    gateway.now_ms()
  );
}

fn log_unknown(gateway: &Gateway, request: &RoutedRequest, own: RecordedOrigin, answers: &Answers) {
  let mut versions = String::new();
  let known = gateway.endpoints.borrow().versions().of(&request.service);
  for version in known {
    // Writing to a string never fails.
    let _ = write!(versions, " {version}");
  }
  log::info!(
    "E559 origin unknown: {} of {}, own record {own:?}, {} of {} boxes answered, versions:{versions}, store contact current: {}, running for {} ms",
    request.id(),
    request.service,
    answers.answered,
    answers.asked,
    gateway.is_current(),
    gateway.now_ms()
  );
}

/// The boxes that may have recorded a stream; former ones if no other is listed.
fn boxes_to_ask(gateway: &Gateway, key: &StreamKey) -> Vec<BoxEntry> {
  let boxes = gateway.boxes.borrow();
  let listed = sources_of(gateway, &boxes, key);
  if listed.is_empty() {
    return sources_of(gateway, &boxes.former(), key);
  }
  listed
}

/// The boxes of a list that may have recorded a stream. Without recent contact with the store these are all boxes of the own hall:
/// what none of them has recorded may be rejected.
fn sources_of(gateway: &Gateway, boxes: &BoxList, key: &StreamKey) -> Vec<BoxEntry> {
  let identity = &gateway.settings.identity;
  let addresses = record_sources(boxes, key, &identity.name, &identity.hall);
  let asks_hall = !gateway.is_current();
  let others = boxes.entries().filter(|(name, _)| **name != identity.name);
  others
    .map(|(_, entry)| entry)
    .filter(|entry| {
      (asks_hall && entry.hall == identity.hall) || addresses.contains(&entry.address)
    })
    .cloned()
    .collect()
}

/// Asks the boxes that may have recorded a stream, at the same time, until one has.
async fn ask_boxes(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  key: StreamKey,
  answers: &mut Answers,
) {
  let sources = boxes_to_ask(gateway, &key);
  let message = LookupMessage {
    key,
    service: request.service.clone(),
  };
  answers.asked = sources.len();
  gateway
    .counters
    .origin_lookups
    .add(u64::try_from(sources.len()).unwrap_or(u64::MAX));
  let calls = sources.iter().map(|source| {
    let message = &message;
    async move {
      let result = ask(&gateway.box_client, source.address, message).await;
      (source.address, result)
    }
  });
  let mut calls: FuturesUnordered<_> = calls.collect();
  while let Some((address, result)) = calls.next().await {
    answers.record(address, result);
    if answers.origin.is_some() {
      break;
    }
  }
}

impl Answers {
  fn record(&mut self, address: SocketAddr, result: Result<LookupResponse, CallError>) {
    match result {
      Ok(response) => {
        self.answered += 1;
        match response.origin {
          RecordedOrigin::Unknown => {}
          RecordedOrigin::Held => self.is_held = true,
          origin => self.origin = Some((origin, address)),
        }
      }
      Err(error) => log::debug!("stream not looked up at {address}: {error}"),
    }
  }
}

/// The number of records of streams, as text.
pub(crate) fn stream_metrics(gateway: &Gateway) -> String {
  let records = gateway.stream_records.borrow().len();
  let divided = gateway.endpoints.borrow().versions().divided().len();
  format!("rillford_stream_records {records}\nrillford_services_of_several_versions {divided}\n")
}
