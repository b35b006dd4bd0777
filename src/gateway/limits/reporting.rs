//! Periodic usage reports: from each box to a coordinator, and between coordinators.

use {
  super::messages::{
    DemandMessage, RankedUsageReport, UsageReport, send_demand, send_report, send_totals,
  },
  crate::gateway::{
    decisions::{ReportScope, UsageTotals},
    state::Gateway,
  },
  futures_util::future::join_all,
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// Interval between a box's reports; usage admitted elsewhere within it may exceed a limit.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// A coordinator sends all of its totals every this many rounds, and only changed ones in between.
const FULL_TOTALS_ROUNDS: u32 = 10;
/// A box without new usage reports only every this many rounds, still often enough not to count as isolated.
const IDLE_ROUNDS: u32 = 3;
/// How long a coordinator may take; one that has used up its CPU quota answers within 100 ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Coordinators tried one after the other until one answers: both of the own hall, and one of another hall.
const MAX_REPORT_ATTEMPTS: usize = 3;

/// Reports usage until the process exits; sends nothing while no organisation has a limit.
pub(crate) async fn sync_usage(gateway: Rc<Gateway>) {
  // The first report goes out at once: a box without a response asks a coordinator for each request.
  let mut idle_rounds = IDLE_ROUNDS;
  let mut round = 0_u32;
  loop {
    sleep(REPORT_INTERVAL).await;
    if gateway.usage_table.borrow().is_empty()
      || !gateway.settings.limits.strategy.uses_coordinators()
    {
      continue;
    }
    if gateway.is_coordinator() {
      let scope = match round % FULL_TOTALS_ROUNDS {
        0 => ReportScope::All,
        _ => ReportScope::Changed,
      };
      round = round.wrapping_add(1);
      exchange_totals(&gateway, scope).await;
      continue;
    }
    let is_busy = gateway.local_usage.borrow().is_busy();
    idle_rounds = if is_busy { 0 } else { idle_rounds + 1 };
    if is_busy || idle_rounds >= IDLE_ROUNDS {
      idle_rounds = 0;
      report_usage(&gateway).await;
    }
  }
}

/// Sends this box's totals to all other coordinators.
async fn exchange_totals(gateway: &Gateway, scope: ReportScope) {
  let name = gateway.settings.identity.name.clone();
  let (addresses, names) = {
    let boxes = gateway.boxes.borrow();
    (boxes.other_coordinators(&name), boxes.coordinator_names())
  };
  let totals = {
    let mut usage = gateway.usage_table.borrow_mut();
    usage.set_coordinators(|peer| names.iter().any(|name| &**name == peer));
    let now_ms = gateway.now_ms();
    // Boxes that were removed for good use no share.
    usage.set_box_count(gateway.listed_box_count(), now_ms);
    UsageTotals {
      box_name: name,
      reporters: usage.reporter_count(now_ms),
      incarnation: gateway.incarnation,
      totals: usage.totals_to_report(scope),
      uptime_ms: now_ms,
    }
  };
  let demand = gateway.has_fair_shares().then(|| DemandMessage {
    box_name: totals.box_name.clone(),
    demand: gateway
      .usage_table
      .borrow_mut()
      .own_demand(gateway.now_ms()),
  });
  // Without a message, earlier demand expires.
  let demand = demand.filter(|message| !message.demand.is_empty());
  let (totals, demand) = (&totals, demand.as_ref());
  let calls = addresses.into_iter().map(|address| async move {
    if let Some(demand) = demand {
      send_demand(gateway, address, demand, REPORT_TIMEOUT).await;
    }
    if let Err(error) = send_totals(&gateway.box_client, address, totals, REPORT_TIMEOUT).await {
      log::debug!("totals not sent to {address}: {error}");
    }
  });
  join_all(calls).await;
}

/// Reports this box's usage to the first coordinator that answers.
async fn report_usage(gateway: &Gateway) {
  let message = {
    let mut local_usage = gateway.local_usage.borrow_mut();
    RankedUsageReport {
      band: None,
      report: UsageReport {
        box_name: gateway.settings.identity.name.clone(),
        pending: None,
        used: local_usage.take_unreported(),
      },
      requested: local_usage.take_requested(),
    }
  };
  for address in coordinators(gateway).into_iter().take(MAX_REPORT_ATTEMPTS) {
    match send_report(gateway, address, &message, REPORT_TIMEOUT).await {
      Ok((response, _)) => {
        let now_ms = gateway.now_ms();
        gateway.last_coordinator.set(Some(address));
        gateway
          .local_usage
          .borrow_mut()
          .record_near_limit(response.near_limit, now_ms);
        return;
      }
      Err(error) => log::debug!("usage not reported to {address}: {error}"),
    }
  }
  // A coordinator may have charged the report although its response was lost. Reported again it is charged twice, which errs
  // towards rejecting.
  let mut local_usage = gateway.local_usage.borrow_mut();
  local_usage.restore_unreported(message.report.used);
  local_usage.record_unreachable();
}

/// The coordinators in the order in which to try them: first the one that answered last. None while the list of boxes is lost.
pub(super) fn coordinators(gateway: &Gateway) -> Vec<SocketAddr> {
  if gateway.is_box_list_lost() {
    return Vec::new();
  }
  let identity = &gateway.settings.identity;
  let boxes = gateway.boxes.borrow();
  let mut addresses = boxes.coordinators_for(&identity.name, &identity.hall);
  if let Some(latest) = gateway.last_coordinator.get()
    && let Some(at) = addresses.iter().position(|address| *address == latest)
  {
    addresses[..=at].rotate_right(1);
  }
  addresses
}
