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
  let limit = records.advertised_limits.iter();
  limit
    .filter_map(|limit| exceeded_limit(records, limit, slack_ms))
    .collect()
}

fn exceeded_limit(records: &Records, limit: &AdvertisedLimit, slack_ms: u64) -> Option<Breach> {
  let until_ms = limit.until_ms.unwrap_or(u64::MAX);
  let received = first_received(records, limit, until_ms);
  let first_ms = received.iter().map(|received| received.at_ms).min()?;
  let counts_from_ms = first_ms + CONTACT_MS + slack_ms;
  let mut began_ms: Vec<u64> = Vec::new();
  for request in records.requests.values() {
    let Some(first) = received
      .iter()
      .find(|received| received.box_index == request.box_index)
    else {
      continue;
    };
    let from_ms = counts_from_ms.max(first.at_ms + PROPAGATION_MS + slack_ms);
    let runs = request.runs.iter().filter(|run| {
      run.incarnation == limit.incarnation
        && (from_ms..until_ms).contains(&run.began_ms)
        && records.has_not_restarted(&run.incarnation, limit.from_ms, run.began_ms)
        && records.is_box_undisturbed(request.box_index, first.at_ms, run.began_ms)
    });
    began_ms.extend(runs.map(|run| run.began_ms));
  }
  began_ms.sort_unstable();
  let allowed =
    f64::from(limit.per_s) * WINDOW_MS as f64 / 1_000.0 * ALLOWED_FACTOR + ALLOWED_EXTRA;
  let count_from = |from_ms: u64| {
    let after = began_ms.partition_point(|at_ms| *at_ms < from_ms + WINDOW_MS);
    after - began_ms.partition_point(|at_ms| *at_ms < from_ms)
  };
  let max_from_ms = began_ms
    .iter()
    .copied()
    .max_by_key(|from_ms| count_from(*from_ms))?;
  let max_count = count_from(max_from_ms);
  if max_count as f64 <= allowed {
    return None;
  }
  let observed = format!(
    "{} advertised {} per second at {} ms, and received {max_count} requests in 4 s from {max_from_ms} ms on",
    limit.incarnation, limit.per_s, limit.from_ms
  );
  Some(Breach::new(Promise::EndpointLimitHonoured, observed))
}

/// The first time that each box received a limit.
fn first_received(records: &Records, limit: &AdvertisedLimit, until_ms: u64) -> Vec<LimitReceived> {
  let mut first: Vec<LimitReceived> = Vec::new();
  let of_limit = records.limits_received.iter().filter(|received| {
    received.incarnation == limit.incarnation && (limit.from_ms..until_ms).contains(&received.at_ms)
  });
  for received in of_limit {
    match first
      .iter_mut()
      .find(|earlier| earlier.box_index == received.box_index)
    {
      Some(earlier) => earlier.at_ms = earlier.at_ms.min(received.at_ms),
      None => first.push(received.clone()),
    }
  }
  first
}
