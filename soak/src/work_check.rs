//! Checks that endpoints work on nothing but what callers sent.

use super::{breach::Breach, promise::Promise, records::Records, work::Work};

/// Finds work on requests that no caller sent, or not with this content.
pub(crate) fn work_breaches(records: &Records) -> Vec<Breach> {
  let work = records.work.iter();
  work
    .filter_map(|work| unrequested_work(records, work))
    .collect()
}

fn unrequested_work(records: &Records, work: &Work) -> Option<Breach> {
  let observed = match records.sent.get(&work.id) {
    None => format!("no caller sent it: {work:?}"),
    Some(sent) if *sent != work.request => format!("sent as {sent:?}: {work:?}"),
    Some(_) => return None,
  };
  Some(Breach::new(Promise::OnlyRequestedWork, observed))
}
