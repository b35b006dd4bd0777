//! Finds out which version began a stream that a caller resumes.

use {
  super::messages::{LookupMessage, LookupResponse, ask},
  crate::{
    CallError,
    gateway::{
      decisions::{BoxList, RecordedOrigin, StreamKey, StreamOrigin, record_sources},
      edge::{RouteKind, SoftwareVersion},
      stages::{Resumption, RoutedRequest},
      state::Gateway,
    },
  },
  futures_util::{StreamExt, stream::FuturesUnordered},
  std::{collections::BTreeSet, fmt::Write, net::SocketAddr, rc::Rc},
};

/// Answers after which a box that knows one version only waits for no more: a box that is down delays nothing.
const ENOUGH_ANSWERS: usize = 3;

/// What boxes answered to a lookup.
#[derive(Debug, Default)]
struct Answers {
  /// Boxes that were asked.
  asked: usize,
  /// Boxes that answered.
  answered: usize,
  /// Where the stream began, and which box has recorded it.
  origin: Option<(RecordedOrigin, SocketAddr)>,
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
  request.resumption = match find_origin(gateway, &request).await {
    Some(origin) => {
      request.service = origin.service;
      Resumption::At(origin.version)
    }
    None => Resumption::UnknownOrigin,
  };
  request
}

/// Where the stream began that a request resumes; `None` when that is not known.
async fn find_origin(gateway: &Rc<Gateway>, request: &RoutedRequest) -> Option<StreamOrigin> {
  let key = request.stream_key();
  let own = gateway.stream_records.borrow().find(&key, gateway.now_ms());
  if let RecordedOrigin::Known(origin) = own {
    gateway.counters.origins_own.inc();
    return Some(along_route(request, origin, "recorded here"));
  }
  let mut answers = Answers {
    versions: gateway.endpoints.borrow().versions().of(&request.service),
    ..Answers::default()
  };
  if own == RecordedOrigin::Unknown {
    ask_boxes(gateway, request, key, &mut answers).await;
  }
  match &answers.origin {
    Some((RecordedOrigin::Known(origin), address)) => {
      gateway.counters.origins_asked.inc();
      let source = format!("recorded by {address}");
      return Some(along_route(request, origin.clone(), &source));
    }
    None if own == RecordedOrigin::Unknown && answers.versions.len() <= 1 => {
      if let Some(version) = only_version(gateway, &answers) {
        gateway.counters.origins_only.inc();
        log_only_version(gateway, request, &version, &answers);
        return Some(StreamOrigin {
          service: request.service.clone(),
          version,
        });
      }
    }
    _ => {}
  }
  gateway.counters.origins_unknown.inc();
  log_unknown(gateway, request, own, &answers);
  None
}

/// The only version that this box and those that answered know of the service. When no box answered, it takes recent contact with
/// the store: a version that this box does not know yet may have begun the stream.
fn only_version(gateway: &Gateway, answers: &Answers) -> Option<SoftwareVersion> {
  let is_unanswered = answers.asked > 0 && answers.answered == 0;
  if is_unanswered && !gateway.is_current() {
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
fn boxes_to_ask(gateway: &Gateway, key: &StreamKey) -> Vec<SocketAddr> {
  let identity = &gateway.settings.identity;
  let boxes = gateway.boxes.borrow();
  let sources = |boxes: &BoxList| record_sources(boxes, key, &identity.name, &identity.hall);
  let addresses = sources(&boxes);
  if addresses.is_empty() {
    return sources(&boxes.former());
  }
  addresses
}

/// Asks the boxes that may have recorded a stream, at the same time, until one has.
async fn ask_boxes(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  key: StreamKey,
  answers: &mut Answers,
) {
  let addresses = boxes_to_ask(gateway, &key);
  let message = LookupMessage {
    key,
    service: request.service.clone(),
  };
  answers.asked = addresses.len();
  gateway
    .counters
    .origin_lookups
    .add(u64::try_from(addresses.len()).unwrap_or(u64::MAX));
  let calls = addresses.into_iter().map(|address| {
    let message = &message;
    async move { (address, ask(&gateway.box_client, address, message).await) }
  });
  let mut calls: FuturesUnordered<_> = calls.collect();
  while let Some((address, result)) = calls.next().await {
    answers.record(address, result);
    let is_one_version = answers.versions.len() <= 1;
    if answers.origin.is_some() || (is_one_version && answers.answered >= ENOUGH_ANSWERS) {
      break;
    }
  }
}

impl Answers {
  fn record(&mut self, address: SocketAddr, result: Result<LookupResponse, CallError>) {
    match result {
      Ok(response) => {
        self.answered += 1;
        self.versions.extend(response.versions);
        if response.origin != RecordedOrigin::Unknown {
          self.origin = Some((response.origin, address));
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
