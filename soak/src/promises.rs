//! The promises of the users' pages, checked against the records of a run.

use {
  super::{
    content,
    ledger::{Disturbance, Outcome, Records, RequestKind, RequestRecord, Target},
  },
  std::{collections::BTreeMap, fmt},
};

/// Sends of one request that its route allows to run, by kind.
pub(crate) const MOST_ATTEMPTS: usize = 3;
/// A caller that left frees its endpoint this soon (the users' rule on callers who leave).
const GONE_MS: u64 = 500;
/// An endpoint that leaves gets nothing new after this time (the users' bound on draining).
const DRAIN_MS: u64 = 2_000;
/// A configuration is in force this soon after the store took it (the users' bound).
const CONFIGURE_MS: u64 = 2_000;
/// A closed connection that carried no request to an endpoint may cross it (the users' bound on losses).
const CROSSING_MS: u64 = 200;
/// Time without trouble after which a box counts as connected (the users' bound on contact).
const CONTACT_MS: u64 = 3_000;
/// After the last fault, all kinds are served again this soon (the users' bound on recovery).
const RECOVER_MS: u64 = 12_000;
/// Share of requests that is served once recovered.
const RECOVERED_SHARE: f64 = 0.9;

/// A promise that was broken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
  /// What may not be repeated runs once at most.
  RunsOnce,
  /// "Not run" is true.
  NotRunIsTrue,
  /// A caller gets its own answer, whole, or sees that it is not.
  OwnWholeAnswer,
  /// No request goes to more endpoints than its route allows.
  Attempts,
  /// No endpoint runs what nobody asked for, or goes on from another request's prompt.
  OnlyWhatWasAsked,
  /// Each request is ended within its deadline.
  Ended,
  /// Endpoints stop soon after a caller has left.
  Freed,
  /// Endpoints that leave get nothing new.
  Drained,
  /// Configurations are in force in time.
  Configured,
  /// Configurations never go back.
  NeverBack,
  /// A planned stop cuts no request.
  StopCutsNothing,
  /// Engines hold nothing once the traffic has ended.
  NothingHeld,
  /// Callers are served again after all faults.
  Recovered,
  /// Role orders of different boxes never pass each other.
  OneSteward,
}

/// One promise broken once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach {
  /// The promise.
  pub promise: Promise,
  /// What was seen.
  pub seen: String,
}

impl fmt::Display for Breach {
  fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
    write!(formatter, "{:?}: {}", self.promise, self.seen)
  }
}

/// Checks all promises. Bounds on time are stretched by `slack_ms`, for the machine that runs all this.
pub fn breaches(records: &Records, slack_ms: u64) -> Vec<Breach> {
  let check = Check { records, slack_ms };
  let mut breaches = Vec::new();
  for (id, request) in &records.requests {
    breaches.extend(check.request(id, request));
  }
  breaches.extend(check.unasked());
  breaches.extend(check.configuration());
  breaches.extend(check.planned_stops());
  breaches.extend(check.orders());
  breaches.extend(check.end());
  breaches
}

struct Check<'a> {
  records: &'a Records,
  slack_ms: u64,
}

fn breach(promise: Promise, seen: String) -> Option<Breach> {
  Some(Breach { promise, seen })
}

impl Check<'_> {
  fn request<'a>(
    &'a self,
    id: &'a str,
    request: &'a RequestRecord,
  ) -> impl Iterator<Item = Breach> + 'a {
    [
      runs_once(id, request),
      not_run_is_true(id, request),
      own_whole_answer(id, request),
      attempts(id, request),
      self.is_ended(id, request),
      self.is_freed(id, request),
      self.is_drained(id, request),
    ]
    .into_iter()
    .flatten()
  }

  /// Whether nothing that a request met was disturbed from shortly before a time until another.
  fn is_calm(&self, request: &RequestRecord, from_ms: u64, until_ms: u64) -> bool {
    let concerns = |target: Target| match target {
      Target::Box(index) | Target::Leaving(index) => index == request.box_index,
      Target::Place(place) => request.runs.iter().any(|run| run.place == place),
      Target::Store | Target::StoreLink(_) => false,
    };
    !self
      .records
      .disturbances
      .iter()
      .any(|disturbance| concerns(disturbance.target) && overlaps(disturbance, from_ms, until_ms))
  }

  /// Whether a box and its way to the store were undisturbed from shortly before a time until another.
  fn is_connected(&self, box_index: usize, from_ms: u64, until_ms: u64) -> bool {
    let concerns = |target: Target| match target {
      Target::Box(index) | Target::Leaving(index) | Target::StoreLink(index) => index == box_index,
      Target::Store => true,
      Target::Place(_) => false,
    };
    !self
      .records
      .disturbances
      .iter()
      .any(|disturbance| concerns(disturbance.target) && overlaps(disturbance, from_ms, until_ms))
  }

  fn is_ended(&self, id: &str, request: &RequestRecord) -> Option<Breach> {
    let ended_ms = request.ended_ms?;
    if request.outcome != Some(Outcome::Unanswered)
      || !self.is_calm(request, request.sent_ms, ended_ms)
    {
      return None;
    }
    breach(
      Promise::Ended,
      format!("{id} sent at {} ms, open at {ended_ms} ms", request.sent_ms),
    )
  }

  fn is_freed(&self, id: &str, request: &RequestRecord) -> Option<Breach> {
    let left_ms = request.ended_ms?;
    if request.outcome != Some(Outcome::Left) {
      return None;
    }
    let due_ms = left_ms + GONE_MS + self.slack_ms;
    let run = request
      .runs
      .iter()
      .find(|run| run.ended_ms.is_none_or(|ended_ms| ended_ms > due_ms))?;
    if !self.is_calm(request, request.sent_ms, due_ms) {
      return None;
    }
    breach(
      Promise::Freed,
      format!(
        "{id} left at {left_ms} ms, {} at work until {:?}",
        run.incarnation, run.ended_ms
      ),
    )
  }

  fn is_drained(&self, id: &str, request: &RequestRecord) -> Option<Breach> {
    request.runs.iter().find_map(|run| {
      let leaving_ms = *self.records.leaving.get(&run.incarnation)?;
      let due_ms = leaving_ms + DRAIN_MS + self.slack_ms;
      if run.began_ms <= due_ms
        || !self.is_connected(request.box_index, leaving_ms, run.began_ms)
        || !self.is_calm(request, leaving_ms, run.began_ms)
      {
        return None;
      }
      breach(
        Promise::Drained,
        format!(
          "{id} began at {} ms at {}, which has been leaving since {leaving_ms} ms",
          run.began_ms, run.incarnation
        ),
      )
    })
  }

  fn unasked(&self) -> impl Iterator<Item = Breach> {
    let records = self.records;
    records
      .unasked
      .iter()
      .chain(&records.mixed_prompts)
      .filter_map(|seen| breach(Promise::OnlyWhatWasAsked, seen.clone()))
  }

  fn configuration(&self) -> Vec<Breach> {
    let mut found = Vec::new();
    let mut newest: BTreeMap<(usize, u64), (u64, u64)> = BTreeMap::new();
    for probe in &self.records.probes {
      match probe.in_force {
        Some(true) => {
          let seen = newest
            .entry((probe.box_index, probe.life))
            .or_insert((probe.version, probe.sent_ms));
          if probe.version > seen.0 {
            *seen = (probe.version, probe.sent_ms);
          }
        }
        Some(false) => {
          let life = (probe.box_index, probe.life);
          if let Some((version, seen_ms)) = newest.get(&life)
            && *version >= probe.version
            && probe.sent_ms > *seen_ms
          {
            found.extend(breach(
              Promise::NeverBack,
              format!(
                "box {} had {version} at {seen_ms} ms: {probe:?}",
                probe.box_index
              ),
            ));
          }
          found.extend(self.is_late(probe));
        }
        None => {}
      }
    }
    found
  }

  /// A version that a box does not have although it has long been acknowledged.
  fn is_late(&self, probe: &super::ledger::Probe) -> Option<Breach> {
    let acknowledged_ms = *self.records.versions.get(&probe.version)?;
    let due_ms = acknowledged_ms + CONFIGURE_MS + self.slack_ms;
    if probe.sent_ms <= due_ms
      || !self.is_connected(probe.box_index, acknowledged_ms, probe.sent_ms)
    {
      return None;
    }
    breach(
      Promise::Configured,
      format!("acknowledged at {acknowledged_ms} ms: {probe:?}"),
    )
  }

  fn planned_stops(&self) -> impl Iterator<Item = Breach> {
    self.records.stops.iter().flat_map(move |stop| {
      self
        .records
        .requests
        .iter()
        .filter_map(move |(id, request)| {
          let cut = matches!(request.outcome, Some(Outcome::Broken { .. }));
          let ended_ms = request.ended_ms?;
          let was_read =
            !request.runs.is_empty() || ended_ms > request.sent_ms + CROSSING_MS + self.slack_ms;
          let concerned = request.box_index == stop.box_index
            && request.sent_ms < stop.gone_ms
            && ended_ms > stop.signalled_ms;
          if !cut || !was_read || !concerned || !self.is_calm_but_for_stop(request) {
            return None;
          }
          breach(
            Promise::StopCutsNothing,
            format!(
              "{id} sent at {} ms, cut at {ended_ms} ms: {stop:?}",
              request.sent_ms
            ),
          )
        })
    })
  }

  /// Whether nothing but planned stops disturbed a request.
  fn is_calm_but_for_stop(&self, request: &RequestRecord) -> bool {
    let until_ms = request.ended_ms.unwrap_or(u64::MAX);
    !self.records.disturbances.iter().any(|disturbance| {
      let concerns = match disturbance.target {
        Target::Box(index) => index == request.box_index,
        // A stream that breaks at its endpoint may be cut on any day.
        Target::Place(_) => true,
        Target::Leaving(_) | Target::Store | Target::StoreLink(_) => false,
      };
      concerns && overlaps(disturbance, request.sent_ms, until_ms)
    })
  }

  fn orders(&self) -> impl Iterator<Item = Breach> {
    let mut newest: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    let mut found = Vec::new();
    for order in &self.records.orders {
      let last = newest
        .entry(&order.incarnation)
        .or_insert((order.fence, &order.holder));
      let passed = order.fence < last.0 || (order.fence == last.0 && order.holder != last.1);
      if passed {
        found.extend(breach(
          Promise::OneSteward,
          format!("{order:?} after {last:?}"),
        ));
      }
      *last = (order.fence, &order.holder);
    }
    found.into_iter()
  }

  fn end(&self) -> Vec<Breach> {
    let mut found: Vec<Breach> = self
      .records
      .held_at_end
      .iter()
      .filter_map(|held| breach(Promise::NothingHeld, held.clone()))
      .collect();
    let Some(calm_ms) = self.records.calm_ms else {
      return found;
    };
    let since_ms = calm_ms + RECOVER_MS.min(CONTACT_MS + self.slack_ms);
    let late: Vec<&RequestRecord> = self
      .records
      .requests
      .values()
      .filter(|request| request.sent_ms >= since_ms && request.outcome != Some(Outcome::Left))
      .collect();
    let served = late.iter().filter(|request| is_served(request)).count();
    if (served as f64) < RECOVERED_SHARE * late.len() as f64 {
      found.extend(breach(
        Promise::Recovered,
        format!("{served} of {} served after {since_ms} ms", late.len()),
      ));
    }
    found
  }
}

fn is_served(request: &RequestRecord) -> bool {
  matches!(&request.outcome, Some(Outcome::Whole { status, .. }) if (200..300).contains(status))
}

/// Whether a disturbance lies within the time from shortly before `from_ms` to `until_ms`.
fn overlaps(disturbance: &Disturbance, from_ms: u64, until_ms: u64) -> bool {
  let ended_ms = disturbance.until_ms.unwrap_or(u64::MAX);
  disturbance.from_ms <= until_ms && ended_ms.saturating_add(CONTACT_MS) >= from_ms
}

fn runs_once(id: &str, request: &RequestRecord) -> Option<Breach> {
  if request.kind.may_repeat() || request.runs.len() <= 1 {
    return None;
  }
  breach(Promise::RunsOnce, format!("{id} ran at {:?}", request.runs))
}

fn not_run_is_true(id: &str, request: &RequestRecord) -> Option<Breach> {
  let Some(Outcome::Whole { status, .. }) = request.outcome else {
    return None;
  };
  let promised = matches!(status, 408 | 421 | 429 | 503);
  if !promised || request.kind.may_repeat() || request.runs.is_empty() {
    return None;
  }
  breach(
    Promise::NotRunIsTrue,
    format!("{id} told {status}, ran at {:?}", request.runs),
  )
}

fn own_whole_answer(id: &str, request: &RequestRecord) -> Option<Breach> {
  let (body, whole) = match request.outcome.as_ref()? {
    Outcome::Whole {
      status,
      body,
      receipt,
    } if (200..300).contains(status) => {
      let ran = |run: &super::ledger::Run| receipt.as_deref() == Some(&run.incarnation);
      if !request.runs.iter().any(ran) {
        return breach(
          Promise::OwnWholeAnswer,
          format!("{id} has the receipt {receipt:?}"),
        );
      }
      (body, true)
    }
    Outcome::Broken {
      status: Some(200),
      body,
    } => (body, false),
    _ => return None,
  };
  let expected = expected_body(id, request.kind);
  let right = if whole {
    *body == expected
  } else {
    expected.starts_with(body.as_str())
  };
  if right {
    return None;
  }
  breach(
    Promise::OwnWholeAnswer,
    format!("{id} whole {whole} got {body:?}"),
  )
}

fn expected_body(id: &str, kind: RequestKind) -> String {
  if kind.is_stream() {
    content::stream_after(id, 0)
  } else {
    content::plain_answer(id)
  }
}

fn attempts(id: &str, request: &RequestRecord) -> Option<Breach> {
  if request.runs.len() <= MOST_ATTEMPTS {
    return None;
  }
  breach(Promise::Attempts, format!("{id} ran at {:?}", request.runs))
}
