//! Metrics of organisations' limits.

use {
  crate::{
    gateway::{
      decisions::{BandCounts, ShareState},
      edge::UsageLimit,
      state::Gateway,
    },
    ids::Name,
  },
  std::fmt::Write,
};

/// Organisations that are exported: those nearest to their limits.
const MAX_ORGANISATIONS: usize = 20;

/// The remaining units of organisations' limits as text, one line each; a box that is no coordinator exports only the first line.
pub(crate) fn limit_metrics(gateway: &Gateway) -> String {
  let is_coordinator = gateway.coordinates_usage();
  let mut text = format!("rillford_counts_use {}\n", u8::from(is_coordinator));
  if !is_coordinator {
    return text;
  }
  for (name, remaining, limit) in nearest_to_limits(gateway) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(
      text,
      "rillford_limit_left_units{{organisation=\"{name}\",rate_per_s=\"{:.0}\",burst=\"{:.0}\"}} {remaining:.0}",
      limit.rate_per_s, limit.burst
    );
    if gateway.has_fair_shares() {
      write_shares(gateway, &name, &mut text);
    }
  }
  text
}

/// Writes an organisation's reserved and lent units, and its bands' decided requests since the band was last idle.
fn write_shares(gateway: &Gateway, name: &Name, text: &mut String) {
  let now_ms = gateway.now_ms();
  let Some((state, bands)) = gateway.usage_table.borrow_mut().shares(name, now_ms) else {
    return;
  };
  let label = format!("organisation=\"{name}\"");
  let ShareState { lent, reserved } = state;
  let _ = writeln!(
    text,
    "rillford_limit_reserved_units{{{label}}} {reserved:.0}"
  );
  let _ = writeln!(text, "rillford_limit_lent_units{{{label}}} {lent:.0}");
  for (band, counts) in bands {
    let label = format!("{label},band=\"{}\"", band.number());
    let BandCounts { admitted, rejected } = counts;
    let _ = writeln!(text, "rillford_limit_band_admitted{{{label}}} {admitted}");
    let _ = writeln!(text, "rillford_limit_band_rejected{{{label}}} {rejected}");
  }
}

fn nearest_to_limits(gateway: &Gateway) -> Vec<(Name, f64, UsageLimit)> {
  let now_ms = gateway.now_ms();
  let mut all = gateway.usage_table.borrow_mut().balances(now_ms);
  let remaining_share = |remaining: f64, limit: UsageLimit| remaining / limit.burst.max(1.0);
  all.sort_by(|one, other| {
    remaining_share(one.1, one.2)
      .total_cmp(&remaining_share(other.1, other.2))
      .then_with(|| one.0.cmp(&other.0))
  });
  all.truncate(MAX_ORGANISATIONS);
  all
}
