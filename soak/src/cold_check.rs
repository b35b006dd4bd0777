//! Checks the rate of requests to endpoints that have just started (cold endpoints).

use super::{
  breach::Breach,
  promise::Promise,
  records::{Records, Start},
};

/// Configured time that an endpoint is cold after its start, and its capacity during that time in requests per second.
pub(crate) const COLD_MS: u64 = 3_000;
pub(crate) const COLD_PER_S: f64 = 4.0;
/// Bound in a window of one second: a multiple of the configured rate, plus a number of requests.
const WINDOW_MS: u64 = 1_000;
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;

/// Starts after which the endpoint received more than its cold rate. Excludes boxes that were disturbed since then, and
/// endpoints that restarted with the same id, whose old entry was still listed.
pub(crate) fn cold_breaches(records: &Records) -> Vec<Breach> {
  if records.has_warm_starts {
    return Vec::new();
  }
  let starts = records.starts.iter();
  starts
    .filter(|start| is_first_start(records, start))
    .filter_map(|start| exceeded_cold_rate(records, start))
    .collect()
}

fn is_first_start(records: &Records, start: &Start) -> bool {
  let mut earlier = records.starts.iter();
  !earlier.any(|other| other.incarnation == start.incarnation && other.at_ms < start.at_ms)
}

fn exceeded_cold_rate(records: &Records, start: &Start) -> Option<Breach> {
  let cold_period = start.at_ms..start.at_ms + COLD_MS;
  let mut began_ms: Vec<u64> = Vec::new();
  for request in records.requests.values() {
    let runs = request.runs.iter().filter(|run| {
      run.incarnation == start.incarnation
        && cold_period.contains(&run.began_ms)
        && records.has_not_restarted(&run.incarnation, start.at_ms + 1, run.began_ms)
        && records.is_connected(request.box_index, start.at_ms, run.began_ms)
    });
    began_ms.extend(runs.map(|run| run.began_ms));
  }
  let count_from = |from_ms: &u64| {
    let window = *from_ms..from_ms + WINDOW_MS;
    began_ms
      .iter()
      .filter(|at_ms| window.contains(at_ms))
      .count()
  };
  let max_count = began_ms.iter().map(count_from).max()?;
  if max_count as f64 <= COLD_PER_S * ALLOWED_FACTOR + ALLOWED_EXTRA {
    return None;
  }
  let observed = format!(
    "{} was cold from {} ms on, and received {max_count} requests in a second",
    start.incarnation, start.at_ms
  );
  Some(Breach::new(Promise::ColdRateHonoured, observed))
}
