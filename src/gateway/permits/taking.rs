//! Taking a permit for a request at an endpoint that names a limit.

use {
  super::{
    cold_span_message::ColdSpanMessage,
    messages::{PermitAnswer, PermitQuestion, ask_for_permits, give_out},
    told_limit::ToldLimit,
  },
  crate::{
    gateway::{
      decisions::{
        AdvertisedLimit, EndpointIncarnation, ISOLATED_BOXES, LocalPermitVerdict, PermitRequest,
        PermitVerdict, Unavailable, coordinator_order, isolated_limit,
      },
      edge::EndpointEntry,
      state::Gateway,
    },
    ids::Name,
  },
  std::{fmt, net::SocketAddr, time::Duration},
};

/// How long the box that counts is asked. In a hall it answers within milliseconds, and within 100 ms when it has used up its
/// share of a core.
const ASK_LIMIT: Duration = Duration::from_millis(120);
/// A box that neither counts nor goes on alone looks again for the one that counts after this time.
const NOT_ALONE_WAIT_MS: u64 = 1_000;

/// Who wants a permit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitCaller<'a> {
  /// The request's id, for logs.
  pub(crate) request: &'a str,
  /// 0 goes first.
  pub(crate) priority: u8,
}

/// What a request has at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Permit {
  /// The endpoint named no limit when it was looked for.
  NotNeeded,
  /// A permit that was counted for all boxes.
  Taken,
}

/// Who decided on a permit.
#[derive(Clone, Copy, Debug)]
enum DecidedBy {
  /// This box, which counts for all.
  Own,
  /// The box that counts.
  Box(SocketAddr),
  /// This box alone.
  Alone,
}

impl fmt::Display for DecidedBy {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    match self {
      Self::Own => write!(formatter, "this box for all"),
      Self::Box(address) => write!(formatter, "{address} for all"),
      Self::Alone => write!(formatter, "this box alone"),
    }
  }
}

/// Takes a permit for a request. Fails when there is none: the request has to go elsewhere.
pub(crate) async fn take_permit(
  gateway: &Gateway,
  entry: &EndpointEntry,
  caller: PermitCaller<'_>,
) -> Result<Permit, Unavailable> {
  let Some(heard) = limit_at(gateway, entry) else {
    return Ok(Permit::NotNeeded);
  };
  let now_ms = gateway.now_ms();
  let local = gateway
    .book
    .borrow_mut()
    .limits_mut()
    .permits()
    .acquire(&entry.id, now_ms);
  let permit_request = match local {
    LocalPermitVerdict::Granted => {
      gateway.counters.permits_taken.inc();
      return Ok(Permit::Taken);
    }
    LocalPermitVerdict::Rejected { wait_ms } => return Err(no_permit(gateway, wait_ms)),
    LocalPermitVerdict::Ask { permits, unused } => PermitRequest {
      box_name: gateway.settings.identity.name.clone(),
      permits,
      priority: caller.priority,
      unused,
    },
  };
  let (verdict, decided_by) = decide(gateway, entry, heard, &permit_request).await;
  let now_ms = gateway.now_ms();
  let Some(heard) = limit_at(gateway, entry) else {
    return Ok(Permit::NotNeeded);
  };
  log_verdict(gateway, entry, caller, heard, verdict, decided_by);
  gateway
    .book
    .borrow_mut()
    .limits_mut()
    .permits()
    .record_verdict(&entry.id, verdict, now_ms);
  match verdict {
    PermitVerdict::Granted(_) => {
      gateway.counters.permits_taken.inc();
      Ok(Permit::Taken)
    }
    PermitVerdict::Rejected { wait_ms } => Err(no_permit(gateway, wait_ms)),
  }
}

/// A permit was not used: the endpoint never saw the request.
pub(crate) fn return_permit(gateway: &Gateway, entry: &EndpointEntry) {
  let now_ms = gateway.now_ms();
  let mut book = gateway.book.borrow_mut();
  book.limits_mut().permits().return_unused(&entry.id, now_ms);
}

/// The limit that is in force at an endpoint.
fn limit_at(gateway: &Gateway, entry: &EndpointEntry) -> Option<AdvertisedLimit> {
  let now_ms = gateway.now_ms();
  gateway.book.borrow().limits().in_force(entry, now_ms)
}

/// Decides as the box that counts, asks it, or goes on alone.
async fn decide(
  gateway: &Gateway,
  entry: &EndpointEntry,
  heard: AdvertisedLimit,
  permit_request: &PermitRequest,
) -> (PermitVerdict, DecidedBy) {
  let life = EndpointIncarnation::of(&entry.id, entry.started_ms);
  let order = coordinator_order(
    &gateway.boxes.borrow(),
    &entry.id,
    &entry.hall,
    1 + ISOLATED_BOXES,
  );
  let own_name = &gateway.settings.identity.name;
  if let Some((name, address)) = order.first() {
    if name == own_name {
      return (
        give_out(gateway, life, heard.per_s, permit_request),
        DecidedBy::Own,
      );
    }
    if let Some(answer) = ask(gateway, *address, entry, permit_request).await {
      return (answer.verdict, DecidedBy::Box(*address));
    }
  }
  (
    decide_alone(gateway, life, heard, permit_request, &order),
    DecidedBy::Alone,
  )
}

/// Asks the box that counts, and takes over its word on the limit; nothing when it does not answer, or did not a moment ago.
async fn ask(
  gateway: &Gateway,
  address: SocketAddr,
  entry: &EndpointEntry,
  permit_request: &PermitRequest,
) -> Option<PermitAnswer> {
  if gateway
    .unheard_boxes
    .borrow()
    .is_unheard(address, gateway.now_ms())
  {
    return None;
  }
  let now_ms = gateway.now_ms();
  let (named, cold) = {
    let book = gateway.book.borrow();
    let limits = book.limits();
    (
      limits.advertised(entry),
      limits.cold_period(&entry.id, entry.started_ms, now_ms),
    )
  };
  let question = PermitQuestion {
    box_name: permit_request.box_name.clone(),
    started_ms: entry.started_ms,
    cold: cold.map(|span| ColdSpanMessage::new(span, now_ms)),
    endpoint: entry.id.clone(),
    hall: entry.hall.clone(),
    permits: permit_request.permits,
    priority: permit_request.priority,
    told: named.map(|named| ToldLimit::new(named, now_ms)),
    unused: permit_request.unused,
  };
  let asked = ask_for_permits(&gateway.box_calls, address, &question, ASK_LIMIT).await;
  let now_ms = gateway.now_ms();
  match asked {
    Ok(answer) => {
      if let Some(told) = answer.told {
        let mut book = gateway.book.borrow_mut();
        let limits = book.limits_mut();
        limits.record_reported(&entry.id, entry.started_ms, told.heard(now_ms));
      }
      Some(answer)
    }
    Err(error) => {
      log::info!(
        "E545 permits not asked for: {address} on {}: {error}",
        entry.id
      );
      gateway.unheard_boxes.borrow_mut().note(address, now_ms);
      None
    }
  }
}

/// Decides without the box that counts. A few boxes do, each with a part of the limit; the others send nothing there, since nobody
/// knows how many they are.
fn decide_alone(
  gateway: &Gateway,
  life: EndpointIncarnation,
  heard: AdvertisedLimit,
  permit_request: &PermitRequest,
  order: &[(Name, SocketAddr)],
) -> PermitVerdict {
  let own_name = &gateway.settings.identity.name;
  let goes_on = order.iter().skip(1).any(|(name, _)| name == own_name) || order.is_empty();
  let Some(per_s) = heard.per_s.filter(|_| goes_on) else {
    return PermitVerdict::Rejected {
      wait_ms: NOT_ALONE_WAIT_MS,
    };
  };
  let permit_request = PermitRequest {
    permits: 1,
    unused: 0,
    ..permit_request.clone()
  };
  gateway.lone_permits.borrow_mut().request(
    life,
    isolated_limit(per_s),
    &permit_request,
    gateway.now_ms(),
  )
}

fn no_permit(gateway: &Gateway, left_ms: u64) -> Unavailable {
  gateway.counters.without_permit.inc();
  Unavailable::NoPermit {
    remaining_ms: left_ms,
  }
}

/// Says why a request goes to an endpoint, or not: which figure, who heard it, how old it is, who decided.
fn log_verdict(
  gateway: &Gateway,
  entry: &EndpointEntry,
  caller: PermitCaller,
  heard: AdvertisedLimit,
  verdict: PermitVerdict,
  decided_by: DecidedBy,
) {
  let PermitCaller { request, priority } = caller;
  let AdvertisedLimit { per_s, source, .. } = heard;
  let per_s = per_s.unwrap_or_default();
  let age_ms = gateway.now_ms().saturating_sub(heard.received_ms);
  let id = &entry.id;
  let limit = format!("limit {per_s} heard by {source:?} {age_ms} ms ago, decided by {decided_by}");
  match verdict {
    PermitVerdict::Granted(permits) => {
      log::info!(
        "E544 permit: {request} (priority {priority}) at {id}, {permits} permits, {limit}"
      );
    }
    PermitVerdict::Rejected { wait_ms } => {
      log::info!(
        "E543 no permit: {request} (priority {priority}) at {id} for {wait_ms} ms, {limit}"
      );
    }
  }
}
