//! Organisations' limits as a box's figures show them.

use {
  crate::{
    gateway::{edge::UsageLimit, state::Gateway},
    ids::Name,
  },
  std::fmt::Write,
};

/// Organisations that are shown: those that are nearest to their limits.
const MOST_SHOWN: usize = 20;

/// What is left of organisations' limits as text, a line each; only the head on a box that does not count.
pub(crate) fn limit_figures(gateway: &Gateway) -> String {
  let counts = gateway.counts_use();
  let mut text = format!("rillford_counts_use {}\n", u8::from(counts));
  if !counts {
    return text;
  }
  for (name, left, limit) in nearest_to_limits(gateway) {
    // Writing to a string does not fail.
    let _ = writeln!(
      text,
      "rillford_limit_left_units{{organisation=\"{name}\",rate_per_s=\"{:.0}\",burst=\"{:.0}\"}} {left:.0}",
      limit.rate_per_s, limit.burst
    );
  }
  text
}

fn nearest_to_limits(gateway: &Gateway) -> Vec<(Name, f64, UsageLimit)> {
  let now_ms = gateway.now_ms();
  let mut all = gateway.use_book.borrow_mut().balances(now_ms);
  let left_share = |left: f64, limit: UsageLimit| left / limit.burst.max(1.0);
  all.sort_by(|one, other| {
    left_share(one.1, one.2)
      .total_cmp(&left_share(other.1, other.2))
      .then_with(|| one.0.cmp(&other.0))
  });
  all.truncate(MOST_SHOWN);
  all
}
