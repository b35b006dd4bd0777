//! Where the judge and the promises see different streams broken.

use {
  super::{breach::Breach, promise::Promise, records::Records},
  judge::{Clause, Finding},
  std::{collections::BTreeSet, fmt},
};

/// A stream that only one of both finds broken.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Difference {
  /// The clause.
  pub clause: Clause,
  /// The stream.
  pub stream: String,
  /// Whether it is the judge who finds it.
  pub is_judged: bool,
}

impl fmt::Display for Difference {
  fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
    let Self {
      clause,
      stream,
      is_judged,
    } = self;
    let by = if *is_judged { "judge" } else { "promises" };
    write!(formatter, "{stream} breaks {clause:?} by the {by} only")
  }
}

/// The differences between findings of the judge and breaches of promises.
pub fn differences(
  records: &Records,
  breaches: &[Breach],
  findings: &[Finding],
) -> Vec<Difference> {
  let judged: BTreeSet<(Clause, String)> = findings
    .iter()
    .map(|finding| (compared(finding.clause), finding.stream.clone()))
    .collect();
  let promised: BTreeSet<(Clause, String)> = breaches
    .iter()
    .filter_map(|breach| broken_clause(records, breach))
    .collect();
  let of = |(clause, stream): &(Clause, String), is_judged| Difference {
    clause: *clause,
    is_judged,
    stream: stream.clone(),
  };
  let by_judge = judged.difference(&promised).map(|broken| of(broken, true));
  let by_promises = promised.difference(&judged);
  let by_promises = by_promises.filter(|(clause, stream)| {
    // A body that is not the expected one may break any clause.
    let is_explained = judged.iter().any(|(_, judged)| judged == stream);
    *clause != Clause::ForeignBytes || !is_explained
  });
  let by_promises = by_promises.map(|broken| of(broken, false));
  by_judge.chain(by_promises).collect()
}

/// A clause as far as promises tell it from others.
fn compared(clause: Clause) -> Clause {
  match clause {
    Clause::ForeignHead | Clause::NoAnswer => Clause::ForeignBytes,
    other => other,
  }
}

/// The clause that a breach names, and its stream.
fn broken_clause(records: &Records, breach: &Breach) -> Option<(Clause, String)> {
  let clause = match breach.promise {
    Promise::NoEventMissing => Clause::Absent,
    Promise::EachEventOnce => Clause::Twice,
    Promise::OneRun => Clause::Joined,
    Promise::EndIsComplete => Clause::EndsEarly,
    Promise::OneVersion => Clause::TwoVersions,
    Promise::OwnCompleteResponse => Clause::ForeignBytes,
    _ => return None,
  };
  let id = breach.observed.split_whitespace().next()?;
  let request = records.requests.get(id)?;
  if !request.kind.is_stream() {
    return None;
  }
  let (stream, _) = request.stream(id);
  Some((clause, stream.to_owned()))
}
