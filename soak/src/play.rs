//! A run: traffic with faults, then a recovery period, then a check that engines have released all resources.

use {
  super::{
    box_process::BoxBounds,
    breach::Breach,
    caller::{Caller, CallerWork},
    differences::{Difference, differences},
    draw::ScheduledFault,
    engine_event::{EngineEvent, EngineEventReceiver},
    error::{Error, Result},
    fault::Fault,
    fault_injector::{crash_and_restart, inject},
    fleet::Fleet,
    hall::Hall,
    options::Options,
    plan::FaultSelection,
    promises::breaches,
    records::{Outcome, Records},
  },
  judge::{Finding, RawRecords, judge},
  std::{sync::Arc, time::Duration},
  tokio::{
    sync::{Mutex, watch},
    task::JoinSet,
    time::{sleep, timeout},
  },
};

/// Held during a play: the addresses of boxes belong to this process.
static PLAYING: Mutex<()> = Mutex::const_new(());
/// Time in which all boxes must become ready, at the start and after the last fault.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between polls of the load balancer.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Traffic after the last fault: the bound on contact, and about as long to measure the share that is served.
const RECOVERY_PERIOD: Duration = Duration::from_millis(8_000);
/// Time after the deadline in which callers must finish their last requests.
const CALLERS_MARGIN: Duration = Duration::from_secs(4);
/// Time after the end of the traffic until engines must be empty: reservations and prompts expire within 1.5 s.
const RELEASE_PERIOD: Duration = Duration::from_millis(2_500);

/// Memory of the boxes in runs in which it bounds what they hold.
const BOX_MB: u64 = 64;
/// One run in this many has boxes that bound what they hold, and read streams ahead.
const BOUNDED_RUNS: u64 = 3;

/// Retries that boxes allow, as a share of the requests and in addition; and in runs in which few are allowed.
const RETRIES: (f64, f64) = (0.2, 60.0);
const FEW_RETRIES: (f64, f64) = (0.05, 12.0);
/// Of this many pairs of seeds in a row, the first has boxes that allow few retries.
const RETRY_PAIRS: u64 = 2;

/// The bounds of the boxes of a run.
fn box_bounds(seed: u64) -> BoxBounds {
  let has_few_retries = (seed / 2).is_multiple_of(RETRY_PAIRS);
  let (retry_ratio, retry_slack) = if has_few_retries {
    FEW_RETRIES
  } else {
    RETRIES
  };
  BoxBounds {
    memory_mb: seed.is_multiple_of(BOUNDED_RUNS).then_some(BOX_MB),
    retry_ratio,
    retry_slack,
  }
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
  /// The faults that were injected.
  pub faults: Vec<ScheduledFault>,
  /// What was observed.
  pub records: Records,
  /// The breaches that were found.
  pub breaches: Vec<Breach>,
  /// What engines made and callers read.
  pub raw_records: RawRecords,
  /// What the judge of the raw records found.
  pub findings: Vec<Finding>,
  /// Streams that only the promises or only the judge find broken.
  pub differences: Vec<Difference>,
}

impl Report {
  /// Whether neither the promises nor the judge found a breach.
  pub fn is_sound(&self) -> bool {
    self.breaches.is_empty() && self.findings.is_empty()
  }

  /// Number of requests whose outcome matches.
  pub fn count(&self, matches: impl Fn(&Outcome) -> bool) -> usize {
    let outcomes = self
      .records
      .requests
      .values()
      .filter_map(|request| request.outcome.as_ref());
    outcomes.filter(|outcome| matches(outcome)).count()
  }
}

/// Plays one run. Fails if it can't be carried out; breaches are part of the report.
pub async fn play(options: &Options) -> Result<Report> {
  let faults = options.faults.draw(options.seed, options.size());
  play_faults(options, faults).await
}

/// Plays one run with other faults than those that its options select. They are sorted by time.
pub async fn play_faults(options: &Options, faults: Vec<ScheduledFault>) -> Result<Report> {
  let _playing = PLAYING.lock().await;
  let has_box_links = faults
    .iter()
    .any(|scheduled| scheduled.fault.cuts_boxes_from_each_other());
  let (fleet, engine_events) =
    Fleet::start(options, box_bounds(options.seed), has_box_links).await?;
  let fleet = Arc::new(fleet);
  wait_until_ready(&fleet).await?;
  let mut background = start_background(&fleet, engine_events);
  let (stop, stopped) = watch::channel(false);
  let mut callers = start_callers(&fleet, options, &faults, &stopped);
  inject_faults(&fleet, &faults).await?;
  wait_until_ready(&fleet).await?;
  let faults_ended_ms = fleet.recorder.now_ms();
  fleet.recorder.records().faults_ended_ms = Some(faults_ended_ms);
  sleep(RECOVERY_PERIOD).await;
  stop_callers(&fleet, &stop, &mut callers).await;
  sleep(RELEASE_PERIOD).await;
  let mut resources = fleet.unreleased_resources();
  resources.extend(fleet.held_bytes().await);
  fleet.recorder.records().unreleased_resources = resources;
  background.shutdown().await;
  let records = fleet.recorder.records().clone();
  let raw_records = fleet.recorder.raw.records().clone();
  let breaches = breaches(&records, options.slack_ms);
  let findings = judge(&raw_records);
  Ok(Report {
    differences: differences(&records, &breaches, &findings),
    breaches,
    findings,
    raw_records,
    records,
    faults,
  })
}

/// Starts the tasks that run until the end: readiness polls, configuration probes and the handler of engine events.
fn start_background(fleet: &Arc<Fleet>, engine_events: EngineEventReceiver) -> JoinSet<()> {
  let mut background = JoinSet::new();
  background.spawn(poll_boxes(fleet.clone()));
  background.spawn(probe_boxes(fleet.clone()));
  background.spawn(handle_engine_events(fleet.clone(), engine_events));
  background
}

fn start_callers(
  fleet: &Arc<Fleet>,
  options: &Options,
  faults: &[ScheduledFault],
  stopped: &watch::Receiver<bool>,
) -> JoinSet<()> {
  let mut callers = JoinSet::new();
  let are_all_killed = faults.iter().any(|scheduled| {
    matches!(
      scheduled.fault,
      Fault::AllBoxesKilled { .. } | Fault::PowerLost { .. }
    )
  });
  let is_day = matches!(options.faults, FaultSelection::Day(_));
  let are_shifted = faults
    .iter()
    .any(|scheduled| matches!(scheduled.fault, Fault::CallersShifted { .. }));
  for number in 0..options.profile.callers {
    let mut caller = Caller::new(fleet.clone(), number, options.seed, CallerWork::Mixed);
    if are_all_killed {
      caller.resume_after_restarts();
    }
    if is_day || are_shifted {
      caller.stay_in(Hall::of_place(number as usize, options.profile.halls));
    }
    if is_day {
      caller.wait_for_boxes();
    }
    callers.spawn(caller.run(stopped.clone()));
  }
  // An engine that a request crashes would start again under its id, with another version or that of a release, and would
  // be a crash that the selection has not drawn.
  if matches!(
    options.faults,
    FaultSelection::Crashes
      | FaultSelection::Day(_)
      | FaultSelection::GarbledAnswers
      | FaultSelection::Partitions
      | FaultSelection::Releases
      | FaultSelection::Restarts
      | FaultSelection::ReusedAddresses
      | FaultSelection::Troubles
  ) {
    return callers;
  }
  let crashing = Caller::new(
    fleet.clone(),
    options.profile.callers,
    options.seed,
    CallerWork::crashing(options.seed),
  );
  callers.spawn(crashing.run(stopped.clone()));
  callers
}

/// Stops the callers and waits for their last requests.
async fn stop_callers(fleet: &Fleet, stop: &watch::Sender<bool>, callers: &mut JoinSet<()>) {
  // The send succeeds while a caller is running.
  let _ = stop.send(true);
  // A caller that does not finish leaves a request without an outcome.
  let deadline = Duration::from_millis(fleet.profile.deadline_ms);
  let _ = timeout(deadline + CALLERS_MARGIN, async {
    while callers.join_next().await.is_some() {}
  })
  .await;
}

/// Starts each fault at its time and waits until all are over.
async fn inject_faults(fleet: &Arc<Fleet>, faults: &[ScheduledFault]) -> Result {
  let start_ms = fleet.recorder.now_ms();
  let mut running = JoinSet::new();
  for scheduled in faults {
    let elapsed_ms = fleet.recorder.now_ms() - start_ms;
    sleep(Duration::from_millis(
      scheduled.at_ms.saturating_sub(elapsed_ms),
    ))
    .await;
    let (fleet, fault) = (fleet.clone(), scheduled.fault);
    running.spawn(async move { inject(&fleet, fault).await });
  }
  while let Some(result) = running.join_next().await {
    match result {
      Ok(outcome) => outcome?,
      Err(error) => std::panic::resume_unwind(error.into_panic()),
    }
  }
  Ok(())
}

async fn wait_until_ready(fleet: &Fleet) -> Result {
  let mut missing = fleet.boxes.len();
  let waiting = async {
    loop {
      missing = fleet.poll_readiness().await;
      if missing == 0 {
        return;
      }
      sleep(POLL_INTERVAL).await;
    }
  };
  let is_ready = timeout(START_TIMEOUT, waiting).await.is_ok();
  is_ready.then_some(()).ok_or(Error::NotReady(missing))
}

async fn poll_boxes(fleet: Arc<Fleet>) {
  loop {
    sleep(POLL_INTERVAL).await;
    fleet.poll_readiness().await;
  }
}

async fn probe_boxes(fleet: Arc<Fleet>) {
  loop {
    for index in 0..fleet.boxes.len() {
      fleet.probe(index).await;
    }
    sleep(POLL_INTERVAL).await;
  }
}

/// Updates the entries of engines that switched their role, and restarts engines that a request crashed.
async fn handle_engine_events(fleet: Arc<Fleet>, mut events: EngineEventReceiver) {
  let mut restarts = JoinSet::new();
  while let Some(event) = events.recv().await {
    match event {
      EngineEvent::RoleChanged { place } => fleet.register(place),
      EngineEvent::Crashed { place, incarnation } => {
        let fleet = fleet.clone();
        restarts.spawn(async move { crash_and_restart(&fleet, place, &incarnation).await });
      }
    }
    while restarts.try_join_next().is_some() {}
  }
}
