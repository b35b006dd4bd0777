//! Admission of a request within its organisation's limit, and its charge.

use {
  super::{
    messages::{RankedUsageReport, UsageReport, send_report},
    reporting::coordinators,
  },
  crate::{
    gateway::{
      decisions::{
        BandRequest, DemandBand, LocalVerdict, RankedVerdict, ShareState, UsageRequest,
        UsageVerdict,
      },
      edge::{CallerAttributes, Organisation, UsageLimit},
      state::Gateway,
    },
    ids::Name,
  },
  std::{rc::Rc, time::Duration},
};

/// How long a request waits for a coordinator: within a hall one answers in milliseconds, and within 100 ms when it has used up
/// its CPU quota; callers expect a response within some hundred.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(120);
/// Coordinators asked one after the other for one request.
const MAX_COORDINATORS_ASKED: usize = 2;
/// Shortest retry-after delay of a request over its limit: usage reports lag by about this much.
const MIN_RETRY_AFTER_MS: u64 = 300;

/// A request was rejected because its organisation is over its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OverLimit {
  pub(crate) retry_after_ms: u64,
}

/// Where a request was charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChargedTo {
  /// Nowhere: its organisation has no limit.
  Nothing,
  /// This coordinator's usage table.
  UsageTable,
  /// This box's local usage, reported to a coordinator.
  LocalUsage,
}

/// A verdict, and the state behind it if it was by rank.
#[derive(Clone, Copy, Debug)]
struct Decision {
  verdict: UsageVerdict,
  state: Option<ShareState>,
}

impl From<UsageVerdict> for Decision {
  fn from(verdict: UsageVerdict) -> Self {
    Self {
      state: None,
      verdict,
    }
  }
}

/// The units that a request was charged to its organisation.
pub(crate) struct Charge {
  gateway: Rc<Gateway>,
  organisation: Name,
  units: u64,
  charged_to: ChargedTo,
}

impl Charge {
  /// Refunds the units of a request that did not run.
  pub(crate) fn refund(self) {
    let now_ms = self.gateway.now_ms();
    let units = -(self.units as i64);
    match self.charged_to {
      ChargedTo::Nothing => {}
      ChargedTo::UsageTable => {
        let mut usage = self.gateway.usage_table.borrow_mut();
        usage.charge(&self.organisation, units, now_ms);
      }
      ChargedTo::LocalUsage => {
        let mut local_usage = self.gateway.local_usage.borrow_mut();
        local_usage.record(&self.organisation, units, now_ms);
      }
    }
  }
}

/// Admits and charges a request if its organisation is within its limit over all boxes. `priority` is its route's.
pub(crate) async fn admit(
  gateway: &Rc<Gateway>,
  organisation: &Organisation,
  facts: &CallerAttributes,
  priority: u8,
) -> Result<Charge, OverLimit> {
  let units = organisation.units(facts);
  let name = &organisation.name;
  let charge = |charged_to| Charge {
    charged_to,
    gateway: gateway.clone(),
    organisation: name.clone(),
    units,
  };
  let Some(limit) = gateway.usage_table.borrow().limit(name) else {
    return Ok(charge(ChargedTo::Nothing));
  };
  let band = gateway
    .has_fair_shares()
    .then(|| DemandBand::of(units, priority));
  let (decision, charged_to) = if gateway.coordinates_usage() {
    let decision = admit_by_usage_table(gateway, name, units, band);
    (decision, ChargedTo::UsageTable)
  } else {
    let decision = admit_by_local_usage(gateway, name, limit, units, band).await;
    (decision, ChargedTo::LocalUsage)
  };
  match decision.verdict {
    UsageVerdict::WithinLimit => Ok(charge(charged_to)),
    UsageVerdict::OverLimit { remaining, wait_ms } => {
      gateway.counters.over_limit.inc();
      log_over_limit(gateway, facts, name, units, remaining);
      if let Some(band) = band {
        log_share(facts, name, band, decision.state);
      }
      // Spreads the retries of requests rejected at the same time.
      let spread_ms = wait_ms.max(MIN_RETRY_AFTER_MS) as f64 * (1.0 + gateway.draw());
      Err(OverLimit {
        retry_after_ms: spread_ms as u64,
      })
    }
  }
}

/// Decides as a coordinator: by rank where fair shares are enabled.
fn admit_by_usage_table(
  gateway: &Gateway,
  name: &Name,
  units: u64,
  band: Option<DemandBand>,
) -> Decision {
  let now_ms = gateway.now_ms();
  let mut usage = gateway.usage_table.borrow_mut();
  match band {
    Some(band) => {
      let RankedVerdict { state, verdict } =
        usage.admit_ranked(name, BandRequest { band, units }, now_ms);
      Decision {
        state: Some(state),
        verdict,
      }
    }
    None => usage.admit(name, units, now_ms).into(),
  }
}

/// Decides from the usage that this box knows, or asks a coordinator.
async fn admit_by_local_usage(
  gateway: &Gateway,
  name: &Name,
  limit: UsageLimit,
  units: u64,
  band: Option<DemandBand>,
) -> Decision {
  let request = || UsageRequest {
    band,
    boxes: gateway.box_count(),
    limit,
    now_ms: gateway.now_ms(),
    organisation: name,
    units,
  };
  let strategy = gateway.settings.limits.strategy;
  let local = gateway.local_usage.borrow_mut().admit(request(), strategy);
  match local {
    LocalVerdict::Settled(verdict) => verdict.into(),
    LocalVerdict::Ask => match ask_coordinator(gateway, name, units, band).await {
      Some(decision) => decision,
      None => {
        let mut local_usage = gateway.local_usage.borrow_mut();
        local_usage.admit_isolated(request()).into()
      }
    },
  }
}

/// Asks the coordinators for a decision; `None` when none answers in time.
async fn ask_coordinator(
  gateway: &Gateway,
  name: &Name,
  units: u64,
  band: Option<DemandBand>,
) -> Option<Decision> {
  for address in coordinators(gateway)
    .into_iter()
    .take(MAX_COORDINATORS_ASKED)
  {
    let message = {
      let mut local_usage = gateway.local_usage.borrow_mut();
      RankedUsageReport {
        band,
        report: UsageReport {
          box_name: gateway.settings.identity.name.clone(),
          pending: Some((name.clone(), units)),
          used: local_usage.take_unreported(),
        },
        requested: local_usage.take_requested(),
      }
    };
    match send_report(gateway, address, &message, COORDINATOR_TIMEOUT).await {
      Ok((response, state)) => {
        gateway.last_coordinator.set(Some(address));
        let now_ms = gateway.now_ms();
        let mut local_usage = gateway.local_usage.borrow_mut();
        local_usage.record_near_limit(response.near_limit, now_ms);
        match response.verdict {
          Some(UsageVerdict::WithinLimit) => local_usage.record_admitted(name, units, now_ms),
          Some(UsageVerdict::OverLimit { remaining, wait_ms }) => {
            local_usage.record_rejected(name, band, remaining, wait_ms, now_ms);
          }
          None => {}
        }
        return response.verdict.map(|verdict| Decision { state, verdict });
      }
      Err(error) => {
        log::info!("E610 coordinator {address} did not decide on {name}: {error}");
        gateway
          .local_usage
          .borrow_mut()
          .restore_unreported(message.report.used);
      }
    }
  }
  gateway.local_usage.borrow_mut().record_unreachable();
  None
}

/// Logs a rejection with the data that it was based on.
fn log_over_limit(
  gateway: &Gateway,
  facts: &CallerAttributes,
  name: &Name,
  units: u64,
  remaining: f64,
) {
  let version = gateway.route_table().map(|table| table.version());
  let limit = gateway.usage_table.borrow().limit(name);
  let age_ms = if gateway.coordinates_usage() {
    Some(0)
  } else {
    gateway.local_usage.borrow().age_ms(gateway.now_ms())
  };
  log::info!(
    "E608 over the limit: {} of {name} needs {units} units, {remaining:.0} remaining of {limit:?} in configuration {version:?}, usage received {age_ms:?} ms ago",
    facts.request_id.as_deref().unwrap_or("-")
  );
}

/// Logs which share of its organisation's limit a rejected request had; without a state, an earlier rejection of its band applied, or
/// this box was isolated.
fn log_share(facts: &CallerAttributes, name: &Name, band: DemandBand, state: Option<ShareState>) {
  let id = facts.request_id.as_deref().unwrap_or("-");
  let band = band.number();
  match state {
    Some(ShareState { lent, reserved }) => log::info!(
      "E620 share of the limit: {id} of {name} is in band {band}, {reserved:.0} units reserved for others, {lent:.0} lent"
    ),
    None => {
      log::info!("E620 share of the limit: {id} of {name} is in band {band}, decided by this box")
    }
  }
}
