//! Checks the promises against the records of a run.

use {
  super::{
    breach::Breach,
    caller_key::CallerKey,
    cold_check::cold_breaches,
    cut_off_check::cut_off_breaches,
    hall_check::hall_breaches,
    limit_check::limit_breaches,
    notice_check::notice_breaches,
    order_check::order_breaches,
    organisation_check::organisation_breaches,
    promise::Promise,
    records::{PlannedStop, Probe, Records, RequestRecord, RoleCommandRecord},
    request_check::RequestCheck,
    request_kind::RequestKind,
    silence_check::silence_breaches,
    undisturbed::{CONFIGURATION_MS, CONTACT_MS},
    version_check::version_breaches,
    work_check::work_breaches,
  },
  std::collections::BTreeMap,
};

/// Number of crashes after which a request is quarantined, and of runs that are allowed after that.
const CRASHES_BEFORE_QUARANTINE: usize = 3;
const MAX_QUARANTINED_RUNS: usize = 3;
/// Share of requests that must be served after recovery.
const RECOVERED_SHARE: f64 = 0.9;

/// Checks all promises. `slack_ms` extends the time bounds, for a loaded machine.
pub fn breaches(records: &Records, slack_ms: u64) -> Vec<Breach> {
  let check = Check { records, slack_ms };
  let mut breaches = Vec::new();
  breaches.extend(check.requests().flat_map(|request| request.breaches()));
  breaches.extend(check.mismatched_prompts());
  breaches.extend(check.configuration());
  breaches.extend(check.planned_stops());
  breaches.extend(check.role_commands());
  breaches.extend(check.crashes());
  breaches.extend(check.unreleased_resources());
  breaches.extend(check.recovery());
  breaches.extend(organisation_breaches(records, slack_ms));
  breaches.extend(notice_breaches(records, slack_ms));
  breaches.extend(limit_breaches(records, slack_ms));
  breaches.extend(hall_breaches(records, slack_ms));
  breaches.extend(cold_breaches(records));
  breaches.extend(cut_off_breaches(records, slack_ms));
  breaches.extend(order_breaches(records));
  breaches.extend(version_breaches(records));
  breaches.extend(silence_breaches(records));
  breaches.extend(work_breaches(records));
  breaches
}

/// Context of a check.
struct Check<'a> {
  records: &'a Records,
  slack_ms: u64,
}

impl<'a> Check<'a> {
  fn requests(&self) -> impl Iterator<Item = RequestCheck<'a>> {
    let Self { records, slack_ms } = *self;
    let requests = records.requests.iter();
    requests.map(move |(id, request)| RequestCheck {
      id,
      records,
      request,
      slack_ms,
    })
  }

  fn mismatched_prompts(&self) -> impl Iterator<Item = Breach> {
    let observed = self.records.mismatched_prompts.iter();
    observed.map(|observed| Breach::new(Promise::OnlyRequestedWork, observed))
  }

  fn configuration(&self) -> Vec<Breach> {
    let mut found = Vec::new();
    // The newest version applied by each box, and the time of the first probe that showed it.
    let mut newest: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
    for probe in &self.records.probes {
      match probe.in_force {
        Some(true) => {
          let observed = newest
            .entry(probe.box_index)
            .or_insert((probe.version, probe.sent_ms));
          if probe.version > observed.0 {
            *observed = (probe.version, probe.sent_ms);
          }
        }
        Some(false) => {
          found.extend(reverted_configuration(
            probe,
            newest.get(&probe.box_index).copied(),
          ));
          found.extend(self.late_configuration(probe));
        }
        None => {}
      }
    }
    found
  }

  /// A version that a box has not applied within the bound after the store acknowledged it.
  fn late_configuration(&self, probe: &Probe) -> Option<Breach> {
    let acknowledged_ms = *self.records.versions.get(&probe.version)?;
    let due_ms = acknowledged_ms + CONFIGURATION_MS + self.slack_ms;
    if probe.sent_ms <= due_ms
      || !self
        .records
        .is_connected(probe.box_index, acknowledged_ms, probe.sent_ms)
    {
      return None;
    }
    let observed = format!("acknowledged at {acknowledged_ms} ms: {probe:?}");
    Some(Breach::new(Promise::ConfigurationInTime, observed))
  }

  fn planned_stops(&self) -> impl Iterator<Item = Breach> {
    let stops = self.records.stops.iter();
    stops.flat_map(|stop| {
      let requests = self.requests();
      let cut = requests.filter_map(move |request| request.cut_by_stop(stop));
      cut.chain(self.unclean_exit(stop))
    })
  }

  /// A process that did not exit successfully by itself after its stop signal, without other disturbances.
  fn unclean_exit(&self, stop: &PlannedStop) -> Option<Breach> {
    let is_undisturbed = self.records.is_stop_undisturbed(stop);
    if stop.is_clean || !is_undisturbed {
      return None;
    }
    Some(Breach::new(Promise::GracefulStop, format!("{stop:?}")))
  }

  fn role_commands(&self) -> Vec<Breach> {
    let mut newest: BTreeMap<&str, &RoleCommandRecord> = BTreeMap::new();
    let mut found = Vec::new();
    for command in &self.records.role_commands {
      let Some(last) = newest.insert(&command.incarnation, command) else {
        continue;
      };
      let is_shared_fence = command.fence == last.fence && command.holder != last.holder;
      if command.fence < last.fence || is_shared_fence {
        let last = (last.fence, &last.holder);
        let observed = format!("{command:?} after {last:?}");
        found.push(Breach::new(Promise::SingleRoleLeader, observed));
      }
    }
    found
  }

  /// Runs of a crashing request over the allowed number, at boxes that had time to learn of its third crash.
  fn crashes(&self) -> Option<Breach> {
    let third_ms = *self.records.crashes.get(CRASHES_BEFORE_QUARANTINE - 1)?;
    let known_ms = third_ms + CONTACT_MS + self.slack_ms;
    let late = self.records.requests.iter().flat_map(|(id, request)| {
      let is_late = |began_ms: &u64| {
        *began_ms > known_ms
          && self
            .records
            .is_connected(request.box_index, third_ms, *began_ms)
      };
      let runs = request.runs.iter().map(|run| run.began_ms);
      let runs = runs.filter(move |_| request.kind == RequestKind::CrashingStream);
      runs
        .filter(is_late)
        .map(move |began_ms| format!("{id} at {began_ms} ms"))
        .collect::<Vec<_>>()
    });
    let late: Vec<String> = late.collect();
    if late.len() <= MAX_QUARANTINED_RUNS {
      return None;
    }
    let observed = format!("the third crash was at {third_ms} ms: {late:?}");
    Some(Breach::new(Promise::QuarantineHonoured, observed))
  }

  fn unreleased_resources(&self) -> impl Iterator<Item = Breach> {
    let resources = self.records.unreleased_resources.iter();
    resources.map(|resource| Breach::new(Promise::ResourcesReleased, resource))
  }

  fn recovery(&self) -> Option<Breach> {
    let since_ms = self.records.faults_ended_ms? + CONTACT_MS;
    let late: Vec<&RequestRecord> = self
      .records
      .requests
      .values()
      .filter(|request| request.sent_ms >= since_ms && !request.has_left())
      // The organisation over its limit is not served all of its requests.
      .filter(|request| request.key != CallerKey::Hot)
      // Requests that crash engines are not expected to be served.
      .filter(|request| request.kind != RequestKind::CrashingStream)
      .collect();
    let served = late.iter().filter(|request| request.is_served()).count();
    // A run without requests does not show recovery.
    if served > 0 && served as f64 >= RECOVERED_SHARE * late.len() as f64 {
      return None;
    }
    let observed = format!("{served} of {} served after {since_ms} ms", late.len());
    Some(Breach::new(Promise::Recovered, observed))
  }
}

/// A version that a box no longer has, after a restart too, although it had the same or a newer one before.
fn reverted_configuration(probe: &Probe, newest: Option<(u64, u64)>) -> Option<Breach> {
  let (version, observed_ms) = newest?;
  if version < probe.version || probe.sent_ms <= observed_ms {
    return None;
  }
  let observed = format!(
    "box {} had {version} at {observed_ms} ms: {probe:?}",
    probe.box_index
  );
  Some(Breach::new(Promise::ConfigurationMonotonic, observed))
}
