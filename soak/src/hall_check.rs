//! Checks that data halls drained by operators receive no new requests.

use super::{
  breach::Breach,
  hall::Hall,
  promise::Promise,
  records::{HallDrain, Records, RequestRecord, Run},
};

/// Time after which a drained hall receives no new requests.
const DRAIN_MS: u64 = 5_000;

/// Runs that started in a hall after the bound on its drain. Excludes boxes that were disturbed or cut off from the store
/// since then.
pub(crate) fn hall_breaches(records: &Records, slack_ms: u64) -> Vec<Breach> {
  let drains = records.hall_drains.iter();
  drains
    .flat_map(|drain| runs_in(records, drain, slack_ms))
    .collect()
}

fn runs_in(records: &Records, drain: &HallDrain, slack_ms: u64) -> Vec<Breach> {
  let from_ms = drain.from_ms + DRAIN_MS + slack_ms;
  let until_ms = drain.until_ms.unwrap_or(u64::MAX);
  let halls = records.halls.unwrap_or(Hall::USUAL_COUNT);
  let is_late = |request: &RequestRecord, run: &Run| {
    Hall::of_place(run.place, halls) == drain.hall
      && (from_ms..until_ms).contains(&run.began_ms)
      && records.is_connected(request.box_index, drain.from_ms, run.began_ms)
  };
  let requests = records.requests.iter();
  requests
    .filter_map(|(id, request)| {
      let run = request.runs.iter().find(|run| is_late(request, run))?;
      let observed = format!(
        "{id} began at {} ms at {} in {:?}, drained at {} ms",
        run.began_ms, run.incarnation, drain.hall, drain.from_ms
      );
      Some(Breach::new(Promise::HallDrained, observed))
    })
    .collect()
}
