//! Applies what an endpoint states about itself in a response's head, before the rest of the response is handled.

use {
  super::purpose::Purpose,
  crate::gateway::{
    decisions::{LimitChange, NoticeChange, jittered_backoff_ms},
    edge::{EndpointEntry, EndpointNotice, LimitHeader},
    permits::announce_limit,
    state::Gateway,
  },
  http::{Response, StatusCode, response},
  hyper::body::Incoming,
  std::rc::Rc,
};

/// Statuses of an endpoint that takes no work for now.
const REJECTION_STATUSES: [StatusCode; 2] = [
  StatusCode::SERVICE_UNAVAILABLE,
  StatusCode::TOO_MANY_REQUESTS,
];

/// The call that a response is for.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentCall<'a> {
  /// The endpoint's entry when the call was sent.
  pub(super) entry: &'a EndpointEntry,
  /// The id that the answer repeats.
  pub(super) id: Option<&'a str>,
  pub(super) purpose: Purpose,
  pub(super) sent_ms: u64,
}

/// Applies the endpoint's notice as soon as the head is there: reading the body may take long.
pub(super) fn apply_response_notice(
  gateway: &Rc<Gateway>,
  sent: SentCall,
  response: Response<Incoming>,
) -> Response<Incoming> {
  let (head, body) = response.into_parts();
  apply_notice(gateway, sent, &head);
  Response::from_parts(head, body)
}

/// Applies the notice in a response's head. A response to any request counts, except one that states that another endpoint
/// listens at the address.
fn apply_notice(gateway: &Rc<Gateway>, sent: SentCall, response: &response::Parts) {
  let SentCall { entry, purpose, .. } = sent;
  if response.status == StatusCode::MISDIRECTED_REQUEST {
    return;
  }
  if purpose != Purpose::Release && !REJECTION_STATUSES.contains(&response.status) {
    let now_ms = gateway.now_ms();
    gateway
      .endpoints
      .borrow_mut()
      .record_accepted(&entry.id, now_ms);
  }
  record_slowdown(gateway, entry, response);
  log_unknown_headers(gateway, entry, response);
  let mut notice = gateway.codec.notice(response.status, &response.headers);
  apply_limit(gateway, sent, notice.limit, response);
  if let Some(cold_ms) = notice.cold_ms.take() {
    gateway.record_cold(entry, cold_ms);
  }
  if notice == EndpointNotice::default() {
    return;
  }
  let boxes = gateway.box_count();
  notice.backoff_ms = notice
    .backoff_ms
    .map(|requested_ms| jittered_backoff_ms(requested_ms, boxes, gateway.draw()));
  let now_ms = gateway.now_ms();
  if let Some(unreadable) = &notice.unreadable
    && gateway.unreadable_log_throttle.should_log(now_ms)
  {
    log::warn!("E538 notice not understood: {}: {unreadable}", entry.id);
  }
  let change = gateway
    .endpoints
    .borrow_mut()
    .record_notice(entry, &notice, now_ms);
  log_change(gateway, entry, response, change, now_ms);
}

/// Records the slowdown of the endpoint's machine, if the response reports it.
fn record_slowdown(gateway: &Gateway, entry: &EndpointEntry, response: &response::Parts) {
  let load = gateway.codec.load(&response.headers);
  if let Some(percent) = load.and_then(|load| load.slowdown_percent) {
    let now_ms = gateway.now_ms();
    let mut endpoints = gateway.endpoints.borrow_mut();
    endpoints.record_slowdown(entry, percent, now_ms);
  }
}

/// Applies the notice in a response that another box received and this one passes on to its caller.
pub(crate) fn apply_forwarded_notice(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  response: &response::Parts,
) {
  let sent = SentCall {
    entry,
    id: None,
    purpose: Purpose::Request,
    sent_ms: gateway.now_ms(),
  };
  apply_notice(gateway, sent, response);
}

/// Logs each response header that the platform's protocol does not define once: it may be one that boxes should honour.
fn log_unknown_headers(gateway: &Gateway, entry: &EndpointEntry, response: &response::Parts) {
  for name in response.headers.keys() {
    if !gateway.codec.is_known_response_header(name)
      && gateway.unknown_headers.borrow_mut().record(name)
    {
      log::info!("E542 unknown response header: {} sends {name}", entry.id);
    }
  }
}

/// Applies the rate limit that a response advertises. A missing header counts only in the response to a caller's request:
/// other responses may lack it.
fn apply_limit(
  gateway: &Rc<Gateway>,
  sent: SentCall,
  limit: LimitHeader,
  response: &response::Parts,
) {
  let SentCall {
    entry,
    purpose,
    sent_ms,
    ..
  } = sent;
  if limit == LimitHeader::Absent && !purpose.is_request() {
    return;
  }
  let now_ms = gateway.now_ms();
  let change = gateway
    .endpoints
    .borrow_mut()
    .record_limit(entry, limit, sent_ms, now_ms);
  if change == LimitChange::Started {
    gateway.counters.limit_notices.inc();
    if gateway.settings.mechanisms.endpoint_limits {
      announce_limit(gateway, &entry.id, entry.started_ms);
    }
  }
  log_limit(gateway, entry, response, change, now_ms);
}

/// Logs that a limit starts or ends, and at a bounded rate that its value changes.
fn log_limit(
  gateway: &Gateway,
  entry: &EndpointEntry,
  response: &response::Parts,
  change: LimitChange,
  now_ms: u64,
) {
  let is_due = match change {
    LimitChange::Unchanged => false,
    LimitChange::Changed(_) => gateway.limit_log_throttle.should_log(now_ms),
    LimitChange::Started | LimitChange::Ended => true,
  };
  if !is_due {
    return;
  }
  let advertised = gateway.endpoints.borrow().limits().advertised(entry);
  let per_s = advertised.and_then(|limit| limit.per_s);
  let attributes = gateway.codec.response_attributes(&response.headers);
  let request = attributes.request_id.as_deref().unwrap_or("-");
  let status = response.status.as_u16();
  let (id, started_ms) = (&entry.id, entry.started_ms);
  match (change, per_s) {
    (LimitChange::Changed(before), Some(per_s)) => log::info!(
      "E540 limit advertised: {id} started {started_ms:?} takes {per_s} requests per second from all boxes, {before} before, by its response {status} to {request}"
    ),
    (_, Some(per_s)) => log::info!(
      "E540 limit advertised: {id} started {started_ms:?} takes {per_s} requests per second from all boxes, by its response {status} to {request}"
    ),
    (_, None) => log::info!(
      "E541 limit no longer advertised: {id} started {started_ms:?}, by its response {status} to {request}"
    ),
  }
}

/// Logs a change of the endpoint's state, with what the store lists.
fn log_change(
  gateway: &Gateway,
  entry: &EndpointEntry,
  response: &response::Parts,
  change: NoticeChange,
  now_ms: u64,
) {
  if change == NoticeChange::default() {
    return;
  }
  let attributes = gateway.codec.response_attributes(&response.headers);
  let request = attributes.request_id.as_deref().unwrap_or("-");
  let contact_age_ms = gateway
    .store_contact_ms
    .get()
    .map(|contact_ms| now_ms - contact_ms.min(now_ms));
  let id = &entry.id;
  let status = response.status.as_u16();
  if change.starts_leaving {
    gateway.counters.leaving_notices.inc();
    gateway.pool.close(id);
    log::info!(
      "E535 shutdown signalled: {id} started {:?}, by its response {status} to {request}; listed as {}, last store contact {contact_age_ms:?} ms ago",
      entry.started_ms,
      listed_state(gateway, id)
    );
  }
  if let Some(until_ms) = change.backoff_until_ms {
    gateway.counters.pause_notices.inc();
    log::info!(
      "E536 backoff requested: {id} started {:?}, by its response {status} to {request}, for {} ms",
      entry.started_ms,
      until_ms - now_ms
    );
  }
}

/// The endpoint's state as listed in the store.
fn listed_state(gateway: &Gateway, id: &str) -> &'static str {
  match gateway.endpoints.borrow().entry(id) {
    Some(entry) if entry.leaving => "leaving",
    Some(_) => "ready",
    None => "gone",
  }
}
