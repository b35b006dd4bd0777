//! What an endpoint says of itself in an answer, heard before anything else of that answer is looked at.

use {
  super::purpose::Purpose,
  crate::gateway::{
    decisions::{LimitChange, NoticeChange, jittered_backoff_ms},
    edge::{EndpointEntry, EndpointNotice, NamedLimit},
    permits::announce_limit,
    state::Gateway,
  },
  http::{StatusCode, response},
  std::rc::Rc,
};

/// What an endpoint answers that takes no work for now.
const TURNED_AWAY: [StatusCode; 2] = [
  StatusCode::SERVICE_UNAVAILABLE,
  StatusCode::TOO_MANY_REQUESTS,
];

/// What an answer answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentPart<'a> {
  /// The endpoint as it was when it was sent there.
  pub(super) entry: &'a EndpointEntry,
  pub(super) purpose: Purpose,
  pub(super) sent_ms: u64,
}

/// Takes over what an endpoint says in an answer to what was sent to this entry of it. Any answer counts that came over a
/// connection to that endpoint, whichever request it is for; but one that says that another endpoint is there.
pub(super) fn hear_notice(gateway: &Rc<Gateway>, sent: SentPart, answer: &response::Parts) {
  let SentPart { entry, purpose, .. } = sent;
  if answer.status == StatusCode::MISDIRECTED_REQUEST {
    return;
  }
  if purpose != Purpose::GiveBack && !TURNED_AWAY.contains(&answer.status) {
    let now_ms = gateway.now_ms();
    gateway
      .endpoints
      .borrow_mut()
      .record_accepted(&entry.id, now_ms);
  }
  note_unknown_names(gateway, entry, answer);
  let mut notice = gateway.dialect.notice(answer.status, &answer.headers);
  hear_limit(gateway, sent, notice.limit, answer);
  if let Some(cold_ms) = notice.cold_ms.take() {
    gateway.record_cold(entry, cold_ms);
  }
  if notice == EndpointNotice::default() {
    return;
  }
  let boxes = gateway.box_count();
  notice.pause_ms = notice
    .pause_ms
    .map(|wanted_ms| jittered_backoff_ms(wanted_ms, boxes, gateway.draw()));
  let now_ms = gateway.now_ms();
  if let Some(unreadable) = &notice.unreadable
    && gateway.unreadable_log_throttle.should_log(now_ms)
  {
    log::warn!("E538 not understood: {} says {unreadable}", entry.id);
  }
  let news = gateway
    .endpoints
    .borrow_mut()
    .record_notice(entry, &notice, now_ms);
  log_news(gateway, entry, answer, news, now_ms);
}

/// Says once of each name that the platform's page doesn't have: it may be a word that boxes ought to heed.
fn note_unknown_names(gateway: &Gateway, entry: &EndpointEntry, answer: &response::Parts) {
  for name in answer.headers.keys() {
    if !gateway.dialect.knows_in_answers(name) && gateway.unknown_headers.borrow_mut().record(name)
    {
      log::info!("E542 unknown name: {} has {name} in its answers", entry.id);
    }
  }
}

/// Takes over what an endpoint names as its limit. That it names none counts in the answer to a caller's request alone: others
/// may lack the word.
fn hear_limit(gateway: &Rc<Gateway>, sent: SentPart, said: NamedLimit, answer: &response::Parts) {
  let SentPart {
    entry,
    purpose,
    sent_ms,
  } = sent;
  if said == NamedLimit::Unsaid && purpose != Purpose::Request {
    return;
  }
  let now_ms = gateway.now_ms();
  let news = gateway
    .endpoints
    .borrow_mut()
    .record_limit(entry, said, sent_ms, now_ms);
  if news == LimitChange::Started {
    gateway.counters.limit_notices.inc();
    if gateway.settings.mechanisms.endpoint_limits {
      announce_limit(gateway, &entry.id, entry.born_ms);
    }
  }
  log_limit(gateway, entry, answer, news, now_ms);
}

/// Says that a limit begins or ends, and now and then that its figure changes.
fn log_limit(
  gateway: &Gateway,
  entry: &EndpointEntry,
  answer: &response::Parts,
  news: LimitChange,
  now_ms: u64,
) {
  let is_due = match news {
    LimitChange::Unchanged => false,
    LimitChange::Changed(_) => gateway.limit_log_throttle.should_log(now_ms),
    LimitChange::Started | LimitChange::Ended => true,
  };
  if !is_due {
    return;
  }
  let heard = gateway.endpoints.borrow().limits().advertised(entry);
  let per_s = heard.and_then(|heard| heard.per_s);
  let facts = gateway.dialect.answer_facts(&answer.headers);
  let request = facts.request_id.as_deref().unwrap_or("-");
  let status = answer.status.as_u16();
  let (id, born_ms) = (&entry.id, entry.born_ms);
  match (news, per_s) {
    (LimitChange::Changed(before), Some(per_s)) => log::info!(
      "E540 names a limit: {id} born {born_ms:?} takes {per_s} requests a second of all boxes, {before} before, in its answer {status} to {request}"
    ),
    (_, Some(per_s)) => log::info!(
      "E540 names a limit: {id} born {born_ms:?} takes {per_s} requests a second of all boxes, in its answer {status} to {request}"
    ),
    (_, None) => log::info!(
      "E541 names no limit any more: {id} born {born_ms:?}, in its answer {status} to {request}"
    ),
  }
}

/// Says once what changed, by whose word, and what the store says of the endpoint.
fn log_news(
  gateway: &Gateway,
  entry: &EndpointEntry,
  answer: &response::Parts,
  news: NoticeChange,
  now_ms: u64,
) {
  if news == NoticeChange::default() {
    return;
  }
  let facts = gateway.dialect.answer_facts(&answer.headers);
  let request = facts.request_id.as_deref().unwrap_or("-");
  let heard_ms = gateway
    .store_contact_ms
    .get()
    .map(|heard_ms| now_ms - heard_ms.min(now_ms));
  let id = &entry.id;
  let status = answer.status.as_u16();
  if news.starts_leaving {
    gateway.counters.leaving_notices.inc();
    gateway.pool.close(id);
    log::info!(
      "E535 leaves by its own word: {id} born {:?}, in its answer {status} to {request}; listed as {}, store heard {heard_ms:?} ms ago",
      entry.born_ms,
      listed(gateway, id)
    );
  }
  if let Some(until_ms) = news.backoff_until_ms {
    gateway.counters.pause_notices.inc();
    log::info!(
      "E536 pauses by its own word: {id} born {:?}, in its answer {status} to {request}, for {} ms",
      entry.born_ms,
      until_ms - now_ms
    );
  }
}

/// What the store's list says of an endpoint.
fn listed(gateway: &Gateway, id: &str) -> &'static str {
  match gateway.endpoints.borrow().entry(id) {
    Some(entry) if entry.leaving => "leaving",
    Some(_) => "ready",
    None => "gone",
  }
}
