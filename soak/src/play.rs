//! One run: traffic while faults come, then calm, then an end in which engines must be empty.

use {
  super::{
    breach::Breach,
    caller::{Caller, CallerWork},
    conductor::{carry_out, crash_again},
    engine_news::{EngineNews, EngineNewsItem},
    error::{Error, Result},
    fleet::Fleet,
    plan::{Size, Step, draw_plan},
    promises::breaches,
    records::{Outcome, Records},
  },
  std::{path::PathBuf, sync::Arc, time::Duration},
  tokio::{
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
  },
};

/// How long all boxes have to come up, and to come back after the last fault.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Pause of the balancer between its questions.
const LOOK_PAUSE: Duration = Duration::from_millis(300);
/// Calm traffic after the last fault: the users' bound on contact, and as long again to be served in.
const CALM: Duration = Duration::from_millis(8_000);
/// How long callers may take to end their last requests.
const CALLERS_LIMIT: Duration = Duration::from_secs(8);
/// Engines are empty this long after the traffic: reservations and prompts lapse in 1.5 s.
const EMPTY_AFTER: Duration = Duration::from_millis(2_500);

/// What to play.
#[derive(Clone, Debug)]
pub struct Options {
  /// The program whose boxes are run.
  pub program: PathBuf,
  /// Draws the faults and the callers' choices.
  pub seed: u64,
  /// Boxes, endpoints, and how long faults come.
  pub size: Size,
  /// Callers at work at once.
  pub callers: u64,
  /// Stretches the promises' bounds on time, for the machine.
  pub slack_ms: u64,
  /// Where settings and the boxes' logs go.
  pub directory: PathBuf,
}

/// What a run came to.
#[derive(Debug)]
pub struct Report {
  /// The faults that were played.
  pub steps: Vec<Step>,
  /// What was seen.
  pub records: Records,
  /// Promises that were broken.
  pub breaches: Vec<Breach>,
}

impl Report {
  /// How many requests ended in a way.
  pub fn count(&self, ended: impl Fn(&Outcome) -> bool) -> usize {
    let outcomes = self
      .records
      .requests
      .values()
      .filter_map(|request| request.outcome.as_ref());
    outcomes.filter(|outcome| ended(outcome)).count()
  }
}

/// Plays one run. Fails when it can't be played; broken promises stand in the report.
pub async fn play(options: &Options) -> Result<Report> {
  let size = options.size;
  let (fleet, engine_news) = Fleet::start(
    &options.program,
    &options.directory,
    size.boxes,
    size.places,
  )
  .await?;
  let fleet = Arc::new(fleet);
  wait_until_ready(&fleet).await?;
  let mut background = start_background(&fleet, engine_news);
  let (end, ended) = watch::channel(false);
  let mut callers = start_callers(&fleet, options, &ended);
  let steps = draw_plan(options.seed, size);
  play_steps(&fleet, &steps).await?;
  wait_until_ready(&fleet).await?;
  let calm_ms = fleet.ledger.now_ms();
  fleet.ledger.records().calm_ms = Some(calm_ms);
  sleep(CALM).await;
  end_traffic(&end, &mut callers).await;
  sleep(EMPTY_AFTER).await;
  let held = fleet.held();
  fleet.ledger.records().held_at_end = held;
  background.shutdown().await;
  let records = fleet.ledger.records().clone();
  Ok(Report {
    breaches: breaches(&records, options.slack_ms),
    records,
    steps,
  })
}

/// What runs beside the traffic until the end: the balancer, the questions for versions, and the engines' entries.
fn start_background(fleet: &Arc<Fleet>, engine_news: EngineNews) -> JoinSet<()> {
  let mut background = JoinSet::new();
  background.spawn(keep_looking(fleet.clone()));
  background.spawn(keep_probing(fleet.clone()));
  background.spawn(follow_engines(fleet.clone(), engine_news));
  background
}

fn start_callers(
  fleet: &Arc<Fleet>,
  options: &Options,
  ended: &watch::Receiver<bool>,
) -> JoinSet<()> {
  let mut callers = JoinSet::new();
  for number in 0..options.callers {
    let caller = Caller::new(fleet.clone(), number, options.seed, CallerWork::Mixed);
    callers.spawn(caller.run(ended.clone()));
  }
  let crashing = Caller::new(
    fleet.clone(),
    options.callers,
    options.seed,
    CallerWork::Crashing,
  );
  callers.spawn(crashing.run(ended.clone()));
  callers
}

/// Tells the callers to end, and waits for their last requests.
async fn end_traffic(end: &watch::Sender<bool>, callers: &mut JoinSet<()>) {
  // All callers hold a receiver until they end.
  let _ = end.send(true);
  // One that is stuck shows as a request without an outcome.
  let _ = timeout(CALLERS_LIMIT, async {
    while callers.join_next().await.is_some() {}
  })
  .await;
}

/// Begins each fault at its time, and waits for the last to end.
async fn play_steps(fleet: &Arc<Fleet>, steps: &[Step]) -> Result {
  let begun_ms = fleet.ledger.now_ms();
  let mut running = JoinSet::new();
  for step in steps {
    let passed_ms = fleet.ledger.now_ms() - begun_ms;
    sleep(Duration::from_millis(step.at_ms.saturating_sub(passed_ms))).await;
    let (fleet, fault) = (fleet.clone(), step.fault);
    running.spawn(async move { carry_out(&fleet, fault).await });
  }
  while let Some(ended) = running.join_next().await {
    match ended {
      Ok(result) => result?,
      Err(error) => std::panic::resume_unwind(error.into_panic()),
    }
  }
  Ok(())
}

async fn wait_until_ready(fleet: &Fleet) -> Result {
  let mut missing = fleet.boxes.len();
  let waiting = async {
    loop {
      missing = fleet.look().await;
      if missing == 0 {
        return;
      }
      sleep(LOOK_PAUSE).await;
    }
  };
  let is_ready = timeout(START_LIMIT, waiting).await.is_ok();
  is_ready.then_some(()).ok_or(Error::NotReady(missing))
}

async fn keep_looking(fleet: Arc<Fleet>) {
  loop {
    sleep(LOOK_PAUSE).await;
    fleet.look().await;
  }
}

async fn keep_probing(fleet: Arc<Fleet>) {
  loop {
    for index in 0..fleet.boxes.len() {
      fleet.probe(index).await;
    }
    sleep(LOOK_PAUSE).await;
  }
}

/// Writes the entries of engines that have changed their role, and starts those again that a request has ended.
async fn follow_engines(fleet: Arc<Fleet>, mut news: EngineNews) {
  let mut restarts = JoinSet::new();
  while let Some(told) = news.recv().await {
    match told {
      EngineNewsItem::ChangedPart { place } => fleet.enter(place),
      EngineNewsItem::Crashed { place, incarnation } => {
        let fleet = fleet.clone();
        restarts.spawn(async move { crash_again(&fleet, place, &incarnation).await });
      }
    }
    while restarts.try_join_next().is_some() {}
  }
}
