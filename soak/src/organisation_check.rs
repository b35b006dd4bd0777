//! Checks the organisations' names, keys and limits.

use super::{
  breach::Breach,
  caller_key::{CallerKey, HOT, HOT_UNITS_PER_S, OVERAGE, REQUEST_UNITS, SLACK_UNITS},
  promise::Promise,
  records::{Outcome, Records, RequestRecord, Run},
  undisturbed::CONFIGURATION_MS,
};

/// Window in which usage is bounded.
const WINDOW_MS: u64 = 8_000;

/// The breaches of all requests.
pub(crate) fn organisation_breaches(records: &Records, slack_ms: u64) -> Vec<Breach> {
  let mut found: Vec<Breach> = records.leaked_keys.iter().map(leaked_key).collect();
  for (id, request) in &records.requests {
    found.extend(wrong_name(records, id, request));
    found.extend(revoked_key(records, id, request, slack_ms));
    found.extend(rejected_key(id, request));
  }
  found.extend(exceeded_quota(records));
  found
}

fn leaked_key(observed: &String) -> Breach {
  Breach::new(Promise::KeysHonoured, observed)
}

/// An endpoint received the name of an organisation that never held the request's key.
fn wrong_name(records: &Records, id: &str, request: &RequestRecord) -> Option<Breach> {
  let is_a_holder = |run: &Run| {
    let mut versions = records.versions.keys();
    versions.any(|version| request.key.holder(*version) == Some(run.organisation.as_str()))
  };
  let wrong = request.runs.iter().find(|run| !is_a_holder(run))?;
  let observed = format!("{id} with {:?} ran as {wrong:?}", request.key);
  Some(Breach::new(Promise::OrganisationNamed, observed))
}

/// A request ran after the bound on applying the revocation of its key.
fn revoked_key(
  records: &Records,
  id: &str,
  request: &RequestRecord,
  slack_ms: u64,
) -> Option<Breach> {
  let revoked_ms = *records.versions.get(&request.key.revoked_in()?)?;
  let is_late = request.sent_ms > revoked_ms + CONFIGURATION_MS + slack_ms;
  if request.runs.is_empty() || !is_late {
    return None;
  }
  if !records.is_connected(request.box_index, revoked_ms, request.sent_ms) {
    return None;
  }
  let observed = format!(
    "{id} sent at {} ms, key revoked at {revoked_ms} ms",
    request.sent_ms
  );
  Some(Breach::new(Promise::KeysHonoured, observed))
}

/// A permanent key was rejected.
fn rejected_key(id: &str, request: &RequestRecord) -> Option<Breach> {
  let is_permanent = request.key.revoked_in().is_none();
  let is_rejected = matches!(request.outcome, Some(Outcome::Complete { status: 401, .. }));
  (is_permanent && is_rejected).then(|| {
    let observed = format!("{id} with {:?} got 401", request.key);
    Breach::new(Promise::KeysHonoured, observed)
  })
}

/// In some window the hot organisation used more than its highest limit allows.
fn exceeded_quota(records: &Records) -> Option<Breach> {
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
  let max_runs = (allowed / REQUEST_UNITS as f64) as usize;
  // One more run than allowed, all within one window.
  let excess = began_ms
    .windows(max_runs + 1)
    .find(|runs| runs[max_runs] - runs[0] <= WINDOW_MS)?;
  let observed = format!(
    "{HOT}: over {max_runs} requests in 8 s from {} ms",
    excess[0]
  );
  Some(Breach::new(Promise::QuotaLimitHonoured, observed))
}
