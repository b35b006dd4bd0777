//! Further play: a server goes down and up by turns, and comes back under its id with a newer version of its software.

use {
  super::{
    case_versions::judge,
    client::StreamRequest,
    deployment::{Deployment, Route, Servers, engines, stream_configuration, temporary_folder},
    engine::{Engine, Pace, Stage},
    outcome::Outcome,
    record::{Record, lock},
  },
  std::{io, sync::Arc, thread::sleep, time::Duration},
};

const ROUTE: Route = Route {
  is_resumable: true,
  max_attempts: 2,
  prefix: "/summaries/",
  target_ms: 900,
  timeout_ms: 14_000,
};
/// A stream lasts four seconds.
const PACE: Pace = Pace {
  events: 40,
  interval: Duration::from_millis(100),
};
const REQUEST: StreamRequest = StreamRequest {
  budget: Duration::from_millis(14_000),
  // Four times the objective.
  gap: Duration::from_millis(3_600),
  pace: PACE,
  path: "/summaries/7",
  resumes: true,
  tries: 4,
};
const BOXES: u8 = 8;
const PER_S: f64 = 16.0;
const TRAFFIC: Duration = Duration::from_millis(6_000);
/// One of four servers crashes, and crashes again a period later.
const CRASH_AT: Duration = Duration::ZERO;
const PERIOD: Duration = Duration::from_millis(2_000);
/// It is down for this long each time.
const DOWN: Duration = Duration::from_millis(200);
/// `heartbeatMs`: the server writes to the store this long after its start.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// All clients have ended.
const END_AT: Duration = Duration::from_millis(18_000);

/// Plays the case.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
  let folder = temporary_folder("reborn")?;
  let engines = engines("v1", 1, 3);
  let configuration = stream_configuration(ROUTE);
  let servers = Servers::Engines(&engines, PACE);
  let deployment = Deployment::start(record, &folder, BOXES, &configuration, servers)?;
  let deployment = Arc::new(deployment);
  deployment.start_streams(PER_S, TRAFFIC, REQUEST)?;
  if has_trouble {
    deployment.wait_until(CRASH_AT);
    let engine = lock(&deployment.engines)
      .iter()
      .find(|engine| engine.identity.stage == Stage::Decode)
      .cloned();
    if let Some(engine) = engine {
      let reborn = crash_and_restart(&deployment, &engine)?;
      deployment.wait_until(CRASH_AT + PERIOD);
      crash_and_restart(&deployment, &reborn)?;
    }
  }
  deployment.wait_until(END_AT);
  deployment.stop();
  Ok(judge(&deployment))
}

/// Crashes an engine, starts it again with the newer version, and lets it write to the store after its heartbeat interval.
fn crash_and_restart(deployment: &Deployment, engine: &Engine) -> io::Result<Arc<Engine>> {
  engine.crash();
  sleep(DOWN);
  let reborn = deployment.restart_engine(engine, "v2")?;
  sleep(HEARTBEAT);
  deployment.store.put(&reborn.key(), &reborn.entry());
  Ok(reborn)
}
