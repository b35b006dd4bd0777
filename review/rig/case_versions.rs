//! Case: all boxes are killed at the end of a release, while streams of the former version are still running.

use {
  super::{
    client::StreamRequest,
    deployment::{Deployment, Route, Servers, engines, stream_configuration, temporary_folder},
    engine::Pace,
    http::spawn,
    outcome::Outcome,
    record::{Record, lock},
  },
  std::{collections::BTreeSet, io, sync::Arc, thread::sleep, time::Duration},
};

const ROUTE: Route = Route {
  is_resumable: true,
  max_attempts: 2,
  prefix: "/summaries/",
  target_ms: 900,
  timeout_ms: 14_000,
};
/// A stream lasts eight seconds.
const PACE: Pace = Pace {
  events: 100,
  interval: Duration::from_millis(80),
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
const BOXES: u8 = 6;
const PER_S: f64 = 6.0;
const TRAFFIC: Duration = Duration::from_millis(9_000);
/// The servers of the new version start.
const RELEASE_AT: Duration = Duration::from_millis(2_000);
/// The entries of the former version's servers go, one after the other.
const ENTRIES_GO_AT: Duration = Duration::from_millis(3_000);
const ENTRIES_GAP: Duration = Duration::from_millis(500);
/// All boxes are killed.
const KILL_AT: Duration = Duration::from_millis(5_500);
/// A process that was killed starts again after this delay.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// All clients have ended.
const END_AT: Duration = Duration::from_millis(25_000);
/// More streams than this with events of two versions break the rule.
const MAX_MIXED: usize = 2;

/// Plays the case.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
  let folder = temporary_folder("versions")?;
  let former = engines("v1", 1, 3);
  let deployment = Deployment::start(
    record,
    &folder,
    BOXES,
    &stream_configuration(ROUTE),
    Servers::Engines(&former, PACE),
  )?;
  let deployment = Arc::new(deployment);
  deployment.start_streams(PER_S, TRAFFIC, REQUEST)?;
  deployment.wait_until(RELEASE_AT);
  for identity in engines("v2", 1, 3) {
    deployment.add_engine(identity, PACE)?;
  }
  deployment.wait_until(ENTRIES_GO_AT);
  let leaving: Vec<_> = lock(&deployment.engines)
    .iter()
    .filter(|engine| engine.identity.version == "v1")
    .cloned()
    .collect();
  for engine in leaving {
    engine.leave();
    deployment.store.remove(&engine.key());
    sleep(ENTRIES_GAP);
  }
  if has_trouble {
    deployment.wait_until(KILL_AT);
    kill_all(&deployment)?;
  }
  deployment.wait_until(END_AT);
  deployment.stop();
  Ok(judge(&deployment))
}

/// Kills all boxes at once, and starts them again.
fn kill_all(deployment: &Arc<Deployment>) -> io::Result<()> {
  let kills: Vec<_> = (0..deployment.boxes.len())
    .map(|index| {
      let deployment = deployment.clone();
      spawn(move || deployment.boxes[index].kill())
    })
    .collect::<io::Result<_>>()?;
  for kill in kills {
    // A thread that panicked leaves a box alive, which the record shows.
    let _ = kill.join();
  }
  sleep(RESTART_DELAY);
  deployment.boxes.iter().try_for_each(|node| node.restart())
}

/// Counts the streams with events of two versions.
pub fn judge(deployment: &Deployment) -> Outcome {
  let clients = lock(&deployment.clients);
  let mut mixed = 0;
  let mut complete = 0;
  for tries in clients.iter() {
    let events = tries.iter().flat_map(|made| &made.events);
    let versions: BTreeSet<&str> = events.map(|event| event.version.as_str()).collect();
    if versions.len() > 1 {
      mixed += 1;
      let ids: Vec<&str> = tries.iter().map(|made| made.id.as_str()).collect();
      deployment.record.line(&format!(
        "MIXED: the stream of {ids:?} holds events of {versions:?}"
      ));
    }
    let is_complete = tries
      .last()
      .is_some_and(|made| made.end == super::client::End::Complete);
    complete += usize::from(is_complete);
  }
  deployment.record.result(&format!(
    "{} clients, {complete} streams complete, {mixed} streams with events of two versions, {MAX_MIXED} allowed",
    clients.len()
  ));
  Outcome::of(mixed > MAX_MIXED)
}
