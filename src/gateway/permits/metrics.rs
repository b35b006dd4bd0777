//! Metrics of the limits that endpoints advertise.

use {
  crate::gateway::{
    decisions::{AdvertisedLimit, EndpointIncarnation},
    state::Gateway,
  },
  crate::ids::Name,
  std::fmt::Write,
};

/// Endpoints that are exported: those with the lowest limits.
const MAX_ENDPOINTS: usize = 20;

/// Advertised limits as text, one line each, with the remaining permits where this box is the coordinator.
pub(crate) fn permit_metrics(gateway: &Gateway) -> String {
  let now_ms = gateway.now_ms();
  let mut text = String::new();
  for (id, limit) in lowest_limits(gateway) {
    let age_ms = now_ms.saturating_sub(limit.received_ms);
    let per_s = limit.per_s.unwrap_or_default();
    // Writing to a `String` cannot fail.
    let _ = writeln!(
      text,
      "rillford_endpoint_limit_per_s{{endpoint=\"{id}\",heard_by=\"{:?}\",age_ms=\"{age_ms}\"}} {per_s}",
      limit.source
    );
    if let Some(remaining) = remaining_permits(gateway, &id, now_ms) {
      let _ = writeln!(
        text,
        "rillford_places_left{{endpoint=\"{id}\"}} {remaining:.1}"
      );
    }
  }
  text
}

fn lowest_limits(gateway: &Gateway) -> Vec<(Name, AdvertisedLimit)> {
  let endpoints = gateway.endpoints.borrow();
  let mut limits: Vec<_> = endpoints
    .limits()
    .named()
    .map(|(id, limit)| (id.clone(), limit))
    .collect();
  limits.sort_by(|one, other| {
    let per_s = |limit: AdvertisedLimit| limit.per_s.unwrap_or_default();
    per_s(one.1)
      .total_cmp(&per_s(other.1))
      .then_with(|| one.0.cmp(&other.0))
  });
  limits.truncate(MAX_ENDPOINTS);
  limits
}

/// The permits remaining for an endpoint; `None` where this box has granted none.
fn remaining_permits(gateway: &Gateway, id: &str, now_ms: u64) -> Option<f64> {
  let started_ms = gateway.endpoints.borrow().entry(id)?.started_ms;
  let incarnation = EndpointIncarnation::of(id, started_ms);
  gateway
    .permit_table
    .borrow_mut()
    .remaining(incarnation, now_ms)
}
