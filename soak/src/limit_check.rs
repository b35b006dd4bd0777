//! Checks the limits that endpoints advertise for all boxes together.

use super::{
  breach::Breach,
  promise::Promise,
  records::{AdvertisedLimit, LimitReceived, Records},
  undisturbed::CONTACT_MS,
};

/// Bounds: the time after which a box must apply a limit that it received; and in a window, a multiple of the limit plus a
/// number of requests.
const PROPAGATION_MS: u64 = 500;
const WINDOW_MS: u64 = 4_000;
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;

/// Limits that the boxes together exceeded after receiving them. Excludes boxes that were disturbed since then.
pub(crate) fn limit_breaches(records: &Records, slack_ms: u64) -> Vec<Breach> {
  let named = records.advertised_limits.iter();
  named
    .filter_map(|named| exceeded_limit(records, named, slack_ms))
    .collect()
}

fn exceeded_limit(records: &Records, named: &AdvertisedLimit, slack_ms: u64) -> Option<Breach> {
  let until_ms = named.until_ms.unwrap_or(u64::MAX);
  let told = first_received(records, named, until_ms);
  let first_ms = told.iter().map(|told| told.at_ms).min()?;
  let counts_from_ms = first_ms + CONTACT_MS + slack_ms;
  let mut counted: Vec<u64> = Vec::new();
  for request in records.requests.values() {
    let Some(word) = told.iter().find(|told| told.box_index == request.box_index) else {
      continue;
    };
    let from_ms = counts_from_ms.max(word.at_ms + PROPAGATION_MS + slack_ms);
    let runs = request.runs.iter().filter(|run| {
      run.incarnation == named.incarnation
        && (from_ms..until_ms).contains(&run.began_ms)
        && records.has_not_restarted(&run.incarnation, named.from_ms, run.began_ms)
        && records.is_box_undisturbed(request.box_index, word.at_ms, run.began_ms)
    });
    counted.extend(runs.map(|run| run.began_ms));
  }
  counted.sort_unstable();
  let allowed =
    f64::from(named.per_s) * WINDOW_MS as f64 / 1_000.0 * ALLOWED_FACTOR + ALLOWED_EXTRA;
  let within = |from_ms: u64| {
    let after = counted.partition_point(|at_ms| *at_ms < from_ms + WINDOW_MS);
    after - counted.partition_point(|at_ms| *at_ms < from_ms)
  };
  let most_from_ms = counted
    .iter()
    .copied()
    .max_by_key(|from_ms| within(*from_ms))?;
  let most = within(most_from_ms);
  if most as f64 <= allowed {
    return None;
  }
  let seen = format!(
    "{} had named {} a second at {} ms, and got {most} requests in 4 s from {most_from_ms} ms on",
    named.incarnation, named.per_s, named.from_ms
  );
  Some(Breach::new(Promise::EndpointLimitHonoured, seen))
}

/// The first time that each box received a limit.
fn first_received(records: &Records, named: &AdvertisedLimit, until_ms: u64) -> Vec<LimitReceived> {
  let mut first: Vec<LimitReceived> = Vec::new();
  let of_limit = records.limits_received.iter().filter(|told| {
    told.incarnation == named.incarnation && (named.from_ms..until_ms).contains(&told.at_ms)
  });
  for told in of_limit {
    match first
      .iter_mut()
      .find(|known| known.box_index == told.box_index)
    {
      Some(known) => known.at_ms = known.at_ms.min(told.at_ms),
      None => first.push(told.clone()),
    }
  }
  first
}
