//! The promises on organisations: their names, their keys and their limits.

use super::{
  breach::Breach,
  caller_key::{CallerKey, HOT, HOT_UNITS_PER_S, OVERAGE, REQUEST_UNITS, SLACK_UNITS},
  calm::CONFIGURE_MS,
  promise::Promise,
  records::{Outcome, Records, RequestRecord, Run},
};

/// The window in which use is bounded (the users' bound).
const WINDOW_MS: u64 = 8_000;

/// The breaches of all requests.
pub(crate) fn organisation_breaches(records: &Records, slack_ms: u64) -> Vec<Breach> {
  let mut found: Vec<Breach> = records.shown_keys.iter().map(shown_key).collect();
  for (id, request) in &records.requests {
    found.extend(wrong_name(records, id, request));
    found.extend(taken_key(records, id, request, slack_ms));
    found.extend(refused_key(id, request));
  }
  found.extend(use_beyond_limit(records));
  found
}

fn shown_key(seen: &String) -> Breach {
  Breach::new(Promise::KeysKept, seen)
}

/// An endpoint was told an organisation that never held the request's key.
fn wrong_name(records: &Records, id: &str, request: &RequestRecord) -> Option<Breach> {
  let may_name = |run: &Run| {
    let mut versions = records.versions.keys();
    versions.any(|version| request.key.holder(*version) == Some(run.organisation.as_str()))
  };
  let wrong = request.runs.iter().find(|run| !may_name(run))?;
  let seen = format!("{id} with {:?} ran as {wrong:?}", request.key);
  Some(Breach::new(Promise::Named, seen))
}

/// A request ran long after its key was taken away.
fn taken_key(
  records: &Records,
  id: &str,
  request: &RequestRecord,
  slack_ms: u64,
) -> Option<Breach> {
  let taken_ms = *records.versions.get(&request.key.taken_with()?)?;
  let is_late = request.sent_ms > taken_ms + CONFIGURE_MS + slack_ms;
  if request.runs.is_empty() || !is_late {
    return None;
  }
  if !records.is_connected(request.box_index, taken_ms, request.sent_ms) {
    return None;
  }
  let seen = format!(
    "{id} sent at {} ms, key taken at {taken_ms} ms",
    request.sent_ms
  );
  Some(Breach::new(Promise::KeysKept, seen))
}

/// A key that is always held was refused.
fn refused_key(id: &str, request: &RequestRecord) -> Option<Breach> {
  let is_lasting = request.key.taken_with().is_none();
  let is_refused = matches!(request.outcome, Some(Outcome::Whole { status: 401, .. }));
  (is_lasting && is_refused).then(|| {
    let seen = format!("{id} with {:?} got 401", request.key);
    Breach::new(Promise::KeysKept, seen)
  })
}

/// More ran for the hot organisation in some window than its highest limit allows.
fn use_beyond_limit(records: &Records) -> Option<Breach> {
  let hot = records
    .requests
    .values()
    .filter(|request| request.key == CallerKey::Hot);
  let mut began_ms: Vec<u64> = hot
    .filter_map(|request| request.runs.first())
    .map(|run| run.began_ms)
    .collect();
  began_ms.sort_unstable();
  let window_s = WINDOW_MS as f64 / 1_000.0;
  let allowed = HOT_UNITS_PER_S * (window_s + 1.0) * (1.0 + OVERAGE) + SLACK_UNITS;
  let most = (allowed / REQUEST_UNITS as f64) as usize;
  // So many and one more lie in one window.
  let beyond = began_ms
    .windows(most + 1)
    .find(|runs| runs[most] - runs[0] <= WINDOW_MS)?;
  let seen = format!("{HOT}: over {most} requests in 8 s from {} ms", beyond[0]);
  Some(Breach::new(Promise::LimitKept, seen))
}
