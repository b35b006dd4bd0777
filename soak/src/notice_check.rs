//! Checks that boxes honour the notices in endpoints' responses: that they are leaving, or a retry-after delay.

use super::{
  breach::Breach,
  promise::Promise,
  records::{Records, Rejection, RequestRecord},
};

/// Time after the signal after which no request is sent to a leaving endpoint.
const LEAVING_MS: u64 = 2_000;
/// Time after which requests to an endpoint in its retry-after delay count, and the allowed number.
const BACKOFF_SLACK_MS: u64 = 500;
const MAX_DURING_BACKOFF: usize = 2;

/// Requests sent against a notice. Excludes boxes that were disturbed and endpoints that restarted since then.
pub(crate) fn notice_breaches(records: &Records, slack_ms: u64) -> Vec<Breach> {
  let leaving = records
    .requests
    .iter()
    .filter_map(|(id, request)| sent_to_leaving(records, id, request, slack_ms));
  let backing_off = records
    .rejections
    .iter()
    .filter_map(|rejection| sent_during_backoff(records, rejection, slack_ms));
  leaving.chain(backing_off).collect()
}

/// A run at an endpoint whose leaving signal the box had received before the bound.
fn sent_to_leaving(
  records: &Records,
  id: &str,
  request: &RequestRecord,
  slack_ms: u64,
) -> Option<Breach> {
  let due_ms = |received_ms: u64| received_ms + LEAVING_MS + slack_ms;
  request.runs.iter().find_map(|run| {
    let signal = records.leaving_received.iter().find(|signal| {
      signal.box_index == request.box_index
        && signal.incarnation == run.incarnation
        && request.sent_ms > due_ms(signal.at_ms)
        && records.has_not_restarted(&run.incarnation, signal.at_ms, run.began_ms)
        && records.is_box_undisturbed(request.box_index, signal.at_ms, run.began_ms)
    })?;
    let observed = format!(
      "{id} sent at {} ms ran at {}, which had signalled to box {} at {} ms that it is leaving",
      request.sent_ms, run.incarnation, signal.box_index, signal.at_ms
    );
    Some(Breach::new(Promise::LeavingSignalHonoured, observed))
  })
}

/// Requests over the allowed number from a box to an endpoint that had asked that box to back off.
fn sent_during_backoff(records: &Records, rejection: &Rejection, slack_ms: u64) -> Option<Breach> {
  let box_index = records.requests.get(&rejection.id)?.box_index;
  let from_ms = rejection.at_ms + BACKOFF_SLACK_MS + slack_ms;
  let until_ms = rejection.at_ms + rejection.retry_after_ms;
  let concerns = |incarnation: &str, at_ms: u64| {
    incarnation == rejection.incarnation && (from_ms..until_ms).contains(&at_ms)
  };
  let of_box = |request: &&RequestRecord| request.box_index == box_index;
  let runs = records
    .requests
    .values()
    .filter(of_box)
    .flat_map(|request| &request.runs)
    .filter(|run| concerns(&run.incarnation, run.began_ms));
  let others = records
    .rejections
    .iter()
    .filter(|other| concerns(&other.incarnation, other.at_ms))
    .filter(|other| {
      records
        .requests
        .get(&other.id)
        .is_some_and(|request| of_box(&request))
    });
  let count = runs.count() + others.count();
  let is_excused = !records.has_not_restarted(&rejection.incarnation, rejection.at_ms, until_ms)
    || !records.is_box_undisturbed(box_index, rejection.at_ms, until_ms);
  if count <= MAX_DURING_BACKOFF || is_excused {
    return None;
  }
  let observed = format!(
    "{} asked box {box_index} at {} ms to back off for {} ms, and received {count} requests",
    rejection.incarnation, rejection.at_ms, rejection.retry_after_ms
  );
  Some(Breach::new(Promise::BackoffHonoured, observed))
}
