//! Checks that boxes which are cut off from all endpoints have their callers served by others.

use {
  super::{
    breach::Breach,
    caller_key::CallerKey,
    disturbance::{Disturbance, Target},
    promise::Promise,
    records::{Outcome, Records, RequestRecord},
    request_kind::RequestKind,
    undisturbed::CONTACT_MS,
  },
  std::collections::BTreeSet,
};

/// Least share of requests that are served at cut boxes, of that at the others.
const MIN_RELATIVE_SHARE: f64 = 2.0 / 3.0;
/// Failures at cut boxes that are allowed, and in addition their share of all requests.
const ALLOWED_FAILURES: f64 = 10.0;
const ALLOWED_FAILURE_SHARE: f64 = 0.02;
/// Cuts that begin within this time are one.
const JOINT_MS: u64 = 500;

/// Cuts during which callers of the boxes that are cut off are served far less often than others.
pub(crate) fn cut_off_breaches(records: &Records, slack_ms: u64) -> Vec<Breach> {
  let cuts = records.disturbances.iter();
  let cuts = cuts.filter(|cut| matches!(cut.target, Target::EndpointPaths(_)));
  let mut starts: Vec<u64> = cuts.map(|cut| cut.from_ms).collect();
  starts.dedup_by(|next, first| is_joint(*next, *first));
  let breach = |from_ms: &u64| cut_off_breach(records, *from_ms, slack_ms);
  starts.iter().filter_map(breach).collect()
}

/// Whether a cut belongs to those that began at a time.
fn is_joint(cut_from_ms: u64, from_ms: u64) -> bool {
  (from_ms..from_ms + JOINT_MS).contains(&cut_from_ms)
}

/// Counts requests and those that were served.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
  requests: usize,
  served: usize,
}

impl Served {
  fn record(&mut self, request: &RequestRecord) {
    self.requests += 1;
    self.served += usize::from(request.is_served());
  }

  fn share(self) -> f64 {
    self.served as f64 / self.requests.max(1) as f64
  }

  fn failures(self) -> f64 {
    (self.requests - self.served) as f64
  }
}

/// The breach of the cuts that began at a time, which end together.
fn cut_off_breach(records: &Records, from_ms: u64, slack_ms: u64) -> Option<Breach> {
  let is_one = |cut: &&Disturbance| {
    matches!(cut.target, Target::EndpointPaths(_)) && is_joint(cut.from_ms, from_ms)
  };
  let cuts: Vec<&Disturbance> = records.disturbances.iter().filter(is_one).collect();
  let until_ms = cuts.iter().filter_map(|cut| cut.until_ms).min()?;
  let counted_ms = from_ms + CONTACT_MS + slack_ms;
  let (mut at_cut, mut at_others) = (Served::default(), Served::default());
  // The organisation over its limit, and requests that crash engines, are not expected to be served.
  let requests = records
    .requests
    .values()
    .filter(|request| request.key != CallerKey::Hot && request.kind != RequestKind::CrashingStream)
    // Only first requests of callers are compared.
    .filter(|request| request.resumes.is_none())
    .filter(|request| !matches!(request.outcome, Some(Outcome::Moved { .. })));
  let is_cut = |index| {
    let target = Target::EndpointPaths(index);
    cuts.iter().any(|cut| cut.target == target)
  };
  let others: BTreeSet<usize> = records
    .requests
    .values()
    .map(|request| request.box_index)
    .filter(|index| !is_cut(*index))
    .collect();
  // While every other box is disturbed too, no box could serve the callers of the cut ones.
  let has_other = |at_ms| {
    let mut others = others.iter();
    others.any(|index| records.is_process_undisturbed(*index, at_ms, at_ms))
  };
  for request in requests {
    let sent_ms = request.sent_ms;
    if !(counted_ms..until_ms).contains(&sent_ms)
      || !records.is_process_undisturbed(request.box_index, sent_ms, sent_ms)
    {
      continue;
    }
    if !is_cut(request.box_index) {
      at_others.record(request);
    } else if has_other(sent_ms) {
      at_cut.record(request);
    }
  }
  let allowed_failures =
    ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * (at_cut.requests + at_others.requests) as f64;
  if at_cut.share() >= MIN_RELATIVE_SHARE * at_others.share()
    || at_cut.failures() <= allowed_failures
  {
    return None;
  }
  let observed =
    format!("cut off from {from_ms} to {until_ms} ms: {at_cut:?}, others {at_others:?}");
  Some(Breach::new(Promise::ServedWhileCutOff, observed))
}
