//! Acquires a permit for a request to an endpoint that advertises a limit.

use {
  super::{
    cold_period_message::ColdPeriodMessage,
    messages::{PermitRequestMessage, PermitResponse, grant_permits, request_permits},
    relayed_limit::RelayedLimit,
  },
  crate::{
    gateway::{
      decisions::{
        AdvertisedLimit, EndpointIncarnation, ISOLATED_BOXES, LocalPermitVerdict, PermitRequest,
        PermitVerdict, Unavailable, isolated_limit, unlisted_limit,
      },
      edge::EndpointEntry,
      state::Gateway,
    },
    ids::Name,
  },
  std::{fmt, net::SocketAddr, time::Duration},
};

/// How long a request waits for the coordinator: within a hall it answers in milliseconds, and within 100 ms when it has used up
/// its CPU quota.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which an isolated box that may not grant permits asks the coordinator again.
const COORDINATOR_RETRY_MS: u64 = 1_000;

/// The request that needs a permit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitCaller<'a> {
  /// The request ID, for logs.
  pub(crate) request: &'a str,
  /// 0 is the most urgent.
  pub(crate) priority: u8,
}

/// A request's permission to be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Permit {
  /// The endpoint advertised no limit.
  NotNeeded,
  /// A permit was taken from the endpoint's limit.
  Taken,
}

/// The box that decided on a permit.
#[derive(Clone, Copy, Debug)]
enum DecidedBy {
  /// This box, as the endpoint's coordinator.
  Local,
  /// The endpoint's coordinator.
  Coordinator(SocketAddr),
  /// This box, cut off from the coordinator.
  Isolated,
}

impl fmt::Display for DecidedBy {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    match self {
      Self::Local => write!(formatter, "this box as coordinator"),
      Self::Coordinator(address) => write!(formatter, "coordinator {address}"),
      Self::Isolated => write!(formatter, "this box, isolated"),
    }
  }
}

/// Acquires a permit for a request. Fails when none is available: the request has to go to another endpoint.
pub(crate) async fn acquire_permit(
  gateway: &Gateway,
  entry: &EndpointEntry,
  caller: PermitCaller<'_>,
) -> Result<Permit, Unavailable> {
  let Some(limit) = effective_limit(gateway, entry) else {
    return Ok(Permit::NotNeeded);
  };
  let now_ms = gateway.now_ms();
  let local = gateway
    .endpoints
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
  let (verdict, decided_by) = decide(gateway, entry, limit, &permit_request).await;
  let now_ms = gateway.now_ms();
  let Some(limit) = effective_limit(gateway, entry) else {
    return Ok(Permit::NotNeeded);
  };
  log_verdict(gateway, entry, caller, limit, verdict, decided_by);
  gateway
    .endpoints
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

/// Returns a permit whose request did not reach the endpoint.
pub(crate) fn return_permit(gateway: &Gateway, entry: &EndpointEntry) {
  let now_ms = gateway.now_ms();
  let mut endpoints = gateway.endpoints.borrow_mut();
  endpoints
    .limits_mut()
    .permits()
    .return_unused(&entry.id, now_ms);
}

/// The limit in force at an endpoint: advertised, or that of a cold endpoint.
fn effective_limit(gateway: &Gateway, entry: &EndpointEntry) -> Option<AdvertisedLimit> {
  let now_ms = gateway.now_ms();
  gateway.endpoints.borrow().limits().in_force(entry, now_ms)
}

/// Decides as the coordinator, asks it, or decides in isolation when it does not answer.
async fn decide(
  gateway: &Gateway,
  entry: &EndpointEntry,
  limit: AdvertisedLimit,
  permit_request: &PermitRequest,
) -> (PermitVerdict, DecidedBy) {
  let incarnation = EndpointIncarnation::of(&entry.id, entry.started_ms);
  let order = gateway.permit_coordinators(&entry.id, &entry.hall, 1 + ISOLATED_BOXES);
  let own_name = &gateway.settings.identity.name;
  if let Some((name, address)) = order.first() {
    if name == own_name {
      return (
        grant_permits(gateway, incarnation, limit.per_s, permit_request),
        DecidedBy::Local,
      );
    }
    if let Some(response) = ask_coordinator(gateway, *address, entry, permit_request).await {
      return (response.verdict, DecidedBy::Coordinator(*address));
    }
  }
  (
    decide_isolated(gateway, incarnation, limit, permit_request, &order),
    DecidedBy::Isolated,
  )
}

/// Asks the coordinator, and records the limit that it knows; `None` when it does not answer, or recently failed to.
async fn ask_coordinator(
  gateway: &Gateway,
  address: SocketAddr,
  entry: &EndpointEntry,
  permit_request: &PermitRequest,
) -> Option<PermitResponse> {
  if gateway
    .unresponsive_boxes
    .borrow()
    .is_unresponsive(address, gateway.now_ms())
  {
    return None;
  }
  let now_ms = gateway.now_ms();
  let (advertised, cold) = {
    let endpoints = gateway.endpoints.borrow();
    let limits = endpoints.limits();
    (
      limits.advertised(entry),
      limits.cold_period(&entry.id, entry.started_ms, now_ms),
    )
  };
  let message = PermitRequestMessage {
    advertised: advertised.map(|limit| RelayedLimit::new(limit, now_ms)),
    box_name: permit_request.box_name.clone(),
    started_ms: entry.started_ms,
    cold: cold.map(|period| ColdPeriodMessage::new(period, now_ms)),
    endpoint: entry.id.clone(),
    hall: entry.hall.clone(),
    permits: permit_request.permits,
    priority: permit_request.priority,
    unused: permit_request.unused,
  };
  let result = request_permits(&gateway.box_client, address, &message, COORDINATOR_TIMEOUT).await;
  let now_ms = gateway.now_ms();
  match result {
    Ok(response) => {
      if let Some(advertised) = response.advertised {
        let mut endpoints = gateway.endpoints.borrow_mut();
        let limits = endpoints.limits_mut();
        let limit = advertised.on_local_clock(now_ms);
        limits.record_reported(&entry.id, entry.started_ms, limit);
      }
      Some(response)
    }
    Err(error) => {
      log::info!(
        "E545 permit request to {address} for {} failed: {error}",
        entry.id
      );
      gateway
        .unresponsive_boxes
        .borrow_mut()
        .record_failure(address, now_ms);
      None
    }
  }
}

/// Decides without the coordinator. A few boxes may, each with a share of the limit; all others send nothing there, because a share
/// can't be computed for an unknown number of isolated boxes. Where no box is known any more, each may be one of all that have been
/// listed.
fn decide_isolated(
  gateway: &Gateway,
  incarnation: EndpointIncarnation,
  limit: AdvertisedLimit,
  permit_request: &PermitRequest,
  order: &[(Name, SocketAddr)],
) -> PermitVerdict {
  let own_name = &gateway.settings.identity.name;
  let may_grant = order.iter().skip(1).any(|(name, _)| name == own_name);
  let own_limit = match limit.per_s {
    Some(per_s) if may_grant => isolated_limit(per_s),
    Some(per_s) if order.is_empty() => unlisted_limit(per_s, gateway.box_count()),
    _ => {
      return PermitVerdict::Rejected {
        wait_ms: COORDINATOR_RETRY_MS,
      };
    }
  };
  let permit_request = PermitRequest {
    permits: 1,
    unused: 0,
    ..permit_request.clone()
  };
  gateway.isolated_permits.borrow_mut().request(
    incarnation,
    own_limit,
    &permit_request,
    gateway.now_ms(),
  )
}

fn no_permit(gateway: &Gateway, wait_ms: u64) -> Unavailable {
  gateway.counters.without_permit.inc();
  Unavailable::NoPermit {
    remaining_ms: wait_ms,
  }
}

/// Logs a decision with the limit, its source and age, and the box that decided.
fn log_verdict(
  gateway: &Gateway,
  entry: &EndpointEntry,
  caller: PermitCaller,
  limit: AdvertisedLimit,
  verdict: PermitVerdict,
  decided_by: DecidedBy,
) {
  let PermitCaller { request, priority } = caller;
  let AdvertisedLimit { per_s, source, .. } = limit;
  let per_s = per_s.unwrap_or_default();
  let age_ms = gateway.now_ms().saturating_sub(limit.received_ms);
  let id = &entry.id;
  let boxes = gateway.boxes.borrow().len();
  let basis = format!(
    "limit {per_s} per second from {source:?} {age_ms} ms ago, decided by {decided_by}, {boxes} boxes listed"
  );
  match verdict {
    PermitVerdict::Granted(permits) => {
      log::info!(
        "E544 permit: {request} (priority {priority}) at {id}, {permits} permits, {basis}"
      );
    }
    PermitVerdict::Rejected { wait_ms } => {
      log::info!(
        "E543 no permit: {request} (priority {priority}) at {id} for {wait_ms} ms, {basis}"
      );
    }
  }
}
