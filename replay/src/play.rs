//! Plays a day.

use {
  super::{
    box_process::BoxPlan,
    box_stores::BoxStores,
    caller::{CallerPlan, Habits, Outcome, run_callers},
    closing_kind::ClosingKind,
    deploy_file::DeployFile,
    error::Result,
    impairment_kind::ImpairmentKind,
    injector::Injector,
    operator::Operator,
    recorder::Recorder,
    report::{Report, ReportTitle},
    server::{ClassLookup, ServerWorld, StartNaming},
    server_versions::ServedVersions,
    site::{Day, Impairment, Site},
    world::{World, WorldPlan},
  },
  judge::judge,
  std::{
    collections::BTreeSet,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
  },
  tokio::{task::JoinSet, time::sleep},
};

/// Time after the traffic in which the last requests end.
const LAST_REQUESTS: Duration = Duration::from_secs(3);

/// How a day is played.
#[derive(Clone, Debug)]
pub struct PlayOptions {
  /// The gateway program.
  pub program: PathBuf,
  /// The repository whose deploy file and settings template the program has.
  pub repository: PathBuf,
  /// Directory for settings, logs and findings.
  pub directory: PathBuf,
  /// Seed of all draws.
  pub seed: u64,
  /// Holds each box to its share of a core.
  pub has_cpu_quota: bool,
  /// Whether callers name the stream that they resume.
  pub names_streams: bool,
  /// Where servers name their starts.
  pub starts: StartNaming,
  /// Versions of engines that serve side by side.
  pub versions: ServedVersions,
}

/// The kinds of a day's impairments, and of its closing, that can't be played, in alphabetical order.
pub fn unplayable_kinds(day: &Day) -> BTreeSet<Arc<str>> {
  let impairments = day.plan.iter().chain(&day.faults);
  let kinds = impairments.map(|impairment| impairment.kind.clone());
  let kinds = kinds.filter(|kind| kind.parse::<ImpairmentKind>().is_err());
  let closings = day.closing.iter().map(|closing| closing.kind.clone());
  let closings = closings.filter(|kind| kind.parse::<ClosingKind>().is_err());
  kinds.chain(closings).collect()
}

/// Plays a day and judges what callers received. Fails if it can't be carried out; findings are part of the report.
pub async fn play(site: &Site, day: &Day, options: &PlayOptions) -> Result<Report> {
  let recorder = Recorder::default();
  let deploy = DeployFile::read(&options.repository)?;
  let stores = BoxStores::start(site).await?;
  let operator = Operator::new(
    Arc::new(site.clone()),
    stores.store().clone(),
    options.seed,
    recorder.clone(),
  );
  let routes = operator.routes();
  let server_world = ServerWorld::new(recorder.clone(), class_lookup(site, &operator));
  let plan = WorldPlan {
    boxes: BoxPlan {
      deploy: &deploy,
      directory: &options.directory,
      program: &options.program,
      recorder: &recorder,
      site,
    },
    has_cpu_quota: options.has_cpu_quota,
    seed: options.seed,
    starts: options.starts,
    versions: options.versions,
  };
  let world = World::start(&plan, stores, operator, server_world).await?;
  let mut background = world.spawn_background();
  let habits = Habits::default();
  let injector = Injector {
    habits: habits.clone(),
    seed: options.seed ^ day.seed,
    world: world.clone(),
  };
  let length = Duration::from_secs_f64(day.length_s.unwrap_or(site.length_s));
  let callers = tokio::spawn(run_callers(CallerPlan {
    balancer: world.balancer.clone(),
    habits,
    length,
    names_streams: options.names_streams,
    recorder: recorder.clone(),
    routes,
    seed: options.seed,
    site: Arc::new(site.clone()),
    traffic: day.traffic.clone().unwrap_or_else(|| site.traffic.clone()),
  }));
  recorder.note("traffic begins");
  let mut faults = spawn_faults(&injector, day, site.length_s);
  sleep(length).await;
  recorder.note("traffic ends");
  let outcome = callers.await.unwrap_or_else(|error| {
    recorder.note(format!("callers failed: {error}"));
    Outcome::default()
  });
  sleep(LAST_REQUESTS).await;
  while let Some(result) = faults.join_next().await {
    if let Ok(result) = result {
      result?;
    }
  }
  background.shutdown().await;
  let findings = judge(&recorder.raw.records());
  let title = ReportTitle {
    build: label(&options.program),
    day: day.name.to_string(),
    seed: options.seed,
    site: site.name.to_string(),
  };
  let report = Report::new(title, findings, outcome, &recorder);
  report.write(&options.directory)?;
  for index in 0..world.boxes.len() {
    world.boxes[index].kill().await?;
  }
  Ok(report)
}

/// Starts the impairments of a day, each at its moment, and its closing.
fn spawn_faults(injector: &Injector, day: &Day, closing_s: f64) -> JoinSet<Result> {
  let mut faults = JoinSet::new();
  let impairments: Vec<&Impairment> = day.plan.iter().chain(&day.faults).collect();
  for (number, impairment) in (0..).zip(impairments) {
    faults.spawn(injector.clone().play(number, impairment.clone()));
  }
  if let Some(closing) = day.closing.clone() {
    let injector = injector.clone();
    faults.spawn(async move {
      sleep(Duration::from_secs_f64(closing_s)).await;
      injector.close(&closing).await
    });
  }
  faults
}

/// The kinds of requests by their routes.
fn class_lookup(site: &Site, operator: &Operator) -> ClassLookup {
  let routes = operator.routes();
  let lookup = ClassLookup::default();
  for class in &site.classes {
    if let Some(place) = routes.get(&class.name) {
      lookup.add(&place.host, &place.path_prefix, Arc::new(class.clone()));
    }
  }
  lookup
}

/// What names a build in reports: the name of its program.
fn label(program: &Path) -> String {
  let name = program.file_name().unwrap_or_default();
  name.to_string_lossy().into_owned()
}
