//! Endpoints' limits as a box's figures show them.

use {
  crate::gateway::{
    decisions::{AdvertisedLimit, EndpointIncarnation},
    state::Gateway,
  },
  crate::ids::Name,
  std::fmt::Write,
};

/// Endpoints that are shown: those with the lowest limits.
const MOST_SHOWN: usize = 20;

/// The limits that endpoints name as text, a line each, and the permits that are left where this box counts.
pub(crate) fn permit_figures(gateway: &Gateway) -> String {
  let now_ms = gateway.now_ms();
  let mut text = String::new();
  for (id, heard) in lowest_limits(gateway) {
    let age_ms = now_ms.saturating_sub(heard.received_ms);
    let per_s = heard.per_s.unwrap_or_default();
    // Writing to a string does not fail.
    let _ = writeln!(
      text,
      "rillford_endpoint_limit_per_s{{endpoint=\"{id}\",heard_by=\"{:?}\",age_ms=\"{age_ms}\"}} {per_s}",
      heard.source
    );
    if let Some(left) = permits_left(gateway, &id, now_ms) {
      let _ = writeln!(text, "rillford_places_left{{endpoint=\"{id}\"}} {left:.1}");
    }
  }
  text
}

fn lowest_limits(gateway: &Gateway) -> Vec<(Name, AdvertisedLimit)> {
  let book = gateway.book.borrow();
  let mut named: Vec<_> = book
    .limits()
    .named()
    .map(|(id, heard)| (id.clone(), heard))
    .collect();
  named.sort_by(|one, other| {
    let per_s = |heard: AdvertisedLimit| heard.per_s.unwrap_or_default();
    per_s(one.1)
      .total_cmp(&per_s(other.1))
      .then_with(|| one.0.cmp(&other.0))
  });
  named.truncate(MOST_SHOWN);
  named
}

/// The permits that are left at an endpoint, on the box that counts.
fn permits_left(gateway: &Gateway, id: &str, now_ms: u64) -> Option<f64> {
  let started_ms = gateway.book.borrow().entry(id)?.started_ms;
  let life = EndpointIncarnation::of(id, started_ms);
  gateway.permit_book.borrow_mut().remaining(life, now_ms)
}
