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
    ids::Name,
  },
  futures_util::{StreamExt, stream::FuturesUnordered},
  std::{collections::BTreeSet, fmt::Write, net::SocketAddr, rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// Answers after which a box that knows one version only waits for no more where none can have a record: a box that is down delays
/// nothing.
const ENOUGH_ANSWERS: usize = 3;

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
  /// The halls of which no box answered.
  silent_halls: BTreeSet<Name>,
  /// Where the stream began, and which box has recorded it.
  origin: Option<(RecordedOrigin, SocketAddr)>,
  /// Whether a box holds the stream, and does not know whether it has begun.
  is_held: bool,
  /// The versions of the service that this box and they know.
  versions: BTreeSet<SoftwareVersion>,
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
    Origin::Known(StreamOrigin { service, version }) => {
      request.service = service;
      request.resumption = Resumption::At(version);
    }
    Origin::OnlyVersion(version) => request.resumption = Resumption::AtOnlyKnown(version),
    Origin::Unknown => request.resumption = Resumption::UnknownOrigin,
  }
  request
}

/// Where a stream began.
enum Origin {
  Known(StreamOrigin),
  /// Not known; one version of the service is.
  OnlyVersion(SoftwareVersion),
  Unknown,
}

/// Where the stream began that a request resumes. While the version of the process that began it may still become known, it is looked
/// up again.
async fn find_origin(gateway: &Rc<Gateway>, request: &RoutedRequest) -> Origin {
  let heartbeat_ms = gateway.settings.endpoints.heartbeat_ms;
  let until_ms = gateway.now_ms() + MAX_HEARTBEATS * heartbeat_ms;
  loop {
    match look_up(gateway, request).await {
      Lookup::Known(origin) => return Origin::Known(origin),
      Lookup::OnlyVersion(version) => return Origin::OnlyVersion(version),
      Lookup::Ambiguous(..) if gateway.now_ms() < until_ms && gateway.is_current() => {
        sleep(LOOKUP_INTERVAL).await;
      }
      Lookup::Ambiguous(own, answers) | Lookup::Unknown(own, answers) => {
        gateway.counters.origins_unknown.inc();
        log_unknown(gateway, request, own, &answers);
        return Origin::Unknown;
      }
    }
  }
}

/// What boxes know of where a stream began.
enum Lookup {
  Known(StreamOrigin),
  /// No box has a record, and one version of the service is known.
  OnlyVersion(SoftwareVersion),
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
  let mut answers = Answers {
    versions: gateway.endpoints.borrow().versions().of(&request.service),
    ..Answers::default()
  };
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
    None if own == RecordedOrigin::Unknown && !answers.is_held && answers.versions.len() <= 1 => {
      if let Some(version) = only_version(gateway, &answers) {
        gateway.counters.origins_only.inc();
        log_only_version(gateway, request, &version, &answers);
        return Lookup::OnlyVersion(version);
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

/// The only version that this box and those that answered know of the service. Without recent contact with the store a box of each
/// hall has to answer: a hall that is cut off from this one may have contact, and may have begun the stream at a version that is
/// not known here.
fn only_version(gateway: &Gateway, answers: &Answers) -> Option<SoftwareVersion> {
  if !gateway.is_current() && !answers.are_of_all_halls() {
    return None;
  }
  answers.versions.first().cloned()
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
    "E567 origin assumed: {} goes on at {} version {version}, the only one known; {} of {} boxes answered, running for {} ms",
    request.id(),
    request.service,
    answers.answered,
    answers.asked,
    gateway.now_ms()
  );
}

fn log_unknown(gateway: &Gateway, request: &RoutedRequest, own: RecordedOrigin, answers: &Answers) {
  let mut versions = String::new();
  for version in &answers.versions {
    // Writing to a string never fails.
    let _ = write!(versions, " {version}");
  }
  log::info!(
    "E559 origin unknown: {} of {}, own record {own:?}, {} of {} boxes answered, {} halls without an answer, versions:{versions}, store contact current: {}, running for {} ms",
    request.id(),
    request.service,
    answers.answered,
    answers.asked,
    answers.silent_halls.len(),
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
  answers.silent_halls = sources.iter().map(|source| source.hall.clone()).collect();
  gateway
    .counters
    .origin_lookups
    .add(u64::try_from(sources.len()).unwrap_or(u64::MAX));
  let calls = sources.iter().map(|source| {
    let message = &message;
    async move {
      let result = ask(&gateway.box_client, source.address, message).await;
      (source, result)
    }
  });
  let mut calls: FuturesUnordered<_> = calls.collect();
  while let Some((source, result)) = calls.next().await {
    answers.record(source, result);
    let may_be_recorded = request.attributes.resumed_request_id.is_some();
    let are_enough = !may_be_recorded && answers.are_enough(gateway.is_current());
    if answers.origin.is_some() || are_enough {
      break;
    }
  }
}

impl Answers {
  /// Whether other boxes were asked, and one of each of their halls answered.
  fn are_of_all_halls(&self) -> bool {
    self.answered > 0 && self.silent_halls.is_empty()
  }

  /// Whether further answers would tell nothing: there is one version, and none can have a record.
  fn are_enough(&self, is_current: bool) -> bool {
    self.versions.len() <= 1
      && self.answered >= ENOUGH_ANSWERS
      && (is_current || self.silent_halls.is_empty())
  }

  fn record(&mut self, source: &BoxEntry, result: Result<LookupResponse, CallError>) {
    let address = source.address;
    match result {
      Ok(response) => {
        self.answered += 1;
        self.silent_halls.remove(&source.hall);
        self.versions.extend(response.versions);
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
