//! Case: boxes are stopped and started in turn, while they carry streams of some seconds and short requests.

use {
  super::{
    client::{End, StreamRequest, Try, run_plain_client},
    deployment::{Deployment, Route, Servers, engines, mixed_configuration, temporary_folder},
    engine::{Pace, RunEnd},
    gateway_box::{GatewayBox, Stopped},
    http::spawn,
    outcome::Outcome,
    record::{Record, lock},
  },
  std::{
    io,
    sync::{Arc, Mutex},
    thread::sleep,
    time::Duration,
  },
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
  resumes: false,
  tries: 1,
};
/// Requests of a plain service, which may run at most once.
const PLAIN_SERVICE: &str = "portal";
const PLAIN_PREFIX: &str = "/clips/";
const PLAIN_PATH: &str = "/clips/1";
const PLAIN_WORK: Duration = Duration::from_millis(200);
const PLAIN_BUDGET: Duration = Duration::from_millis(4_000);
const PLAIN_PER_S: f64 = 60.0;
const BOXES: u8 = 9;
const PER_S: f64 = 18.0;
const TRAFFIC: Duration = Duration::from_millis(16_000);
const PLAIN_TRAFFIC: Duration = Duration::from_millis(24_000);
/// The first box receives SIGTERM.
const STOP_AT: Duration = Duration::from_millis(8_000);
/// A share of 0.45 of the boxes, one at a time: two of the three boxes in each of two zones.
const STOPPED_BOXES: [usize; 4] = [0, 3, 1, 4];
const STOP_GAP: Duration = Duration::from_millis(1_300);
/// `graceS`: SIGKILL follows SIGTERM after this.
const GRACE: Duration = Duration::from_millis(8_000);
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// All clients have ended.
const END_AT: Duration = Duration::from_millis(31_000);
/// An excuse of the rule holds only for requests sent up to this long after SIGTERM.
const EXCUSED_MS: u64 = 3_000;
/// A request counts up to this long after `graceS`.
const AFTER_GRACE_MS: u64 = 1_000;

/// A stop of a box.
struct Stop {
  at: String,
  signalled_ms: u64,
}

/// Plays the case.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
  let folder = temporary_folder("stop")?;
  let engines = engines("v1", 1, 3);
  let plain_timeout_ms = PLAIN_BUDGET.as_millis() as u64;
  let configuration = mixed_configuration(ROUTE, PLAIN_PREFIX, plain_timeout_ms, PLAIN_SERVICE);
  let servers = Servers::EnginesAndPlain(&engines, PACE, &[PLAIN_SERVICE], PLAIN_WORK);
  let deployment = Deployment::start(record, &folder, BOXES, &configuration, servers)?;
  let deployment = Arc::new(deployment);
  deployment.start_streams(PER_S, TRAFFIC, REQUEST)?;
  deployment.add_traffic(PLAIN_PER_S, PLAIN_TRAFFIC, |deployment, number| {
    run_plain_client(deployment, number, PLAIN_PATH, PLAIN_BUDGET);
  })?;
  let stops: Arc<Mutex<Vec<Stop>>> = Arc::default();
  let killed: Arc<Mutex<usize>> = Arc::default();
  if has_trouble {
    deployment.wait_until(STOP_AT);
    for index in STOPPED_BOXES {
      let (of_box, stops, killed) = (deployment.clone(), stops.clone(), killed.clone());
      spawn(move || stop_and_start(&of_box, &of_box.boxes[index], &stops, &killed))?;
      sleep(STOP_GAP);
    }
  }
  deployment.wait_until(END_AT);
  deployment.stop();
  let killed = *lock(&killed);
  record.result(&format!(
    "{} boxes received SIGTERM, {killed} of them still ran {GRACE:?} later and were killed",
    lock(&stops).len()
  ));
  Ok(judge(&deployment, &lock(&stops)))
}

fn stop_and_start(
  deployment: &Deployment,
  node: &GatewayBox,
  stops: &Mutex<Vec<Stop>>,
  killed: &Mutex<usize>,
) {
  lock(stops).push(Stop {
    at: node.name.clone(),
    signalled_ms: deployment.record.now_ms(),
  });
  if node.terminate(GRACE) == Stopped::ByKill {
    *lock(killed) += 1;
  }
  sleep(RESTART_DELAY);
  if let Err(error) = node.restart() {
    deployment
      .record
      .line(&format!("{}: not started again: {error}", node.name));
  }
}

/// Counts the requests to a stopped box that a server has run whole, and whose channel ended without a complete answer. Those sent
/// early count only if their server was not at work any more in the last sixth of `graceS`.
fn judge(deployment: &Deployment, stops: &[Stop]) -> Outcome {
  let clients = lock(&deployment.clients);
  let (mut early, mut late) = (0, 0);
  for made in clients.iter().flatten() {
    let stop = stops.iter().find(|stop| stop.at == made.at);
    let Some(stop) = stop.filter(|stop| is_cut_by(made, stop)) else {
      continue;
    };
    let Some(served_ms) = completed_ms(deployment, made) else {
      continue;
    };
    let last_sixth_ms = stop.signalled_ms + GRACE.as_millis() as u64 * 5 / 6;
    if made.sent_ms > stop.signalled_ms + EXCUSED_MS {
      late += 1;
    } else if served_ms < last_sixth_ms {
      early += 1;
    } else {
      continue;
    }
    let after_stop = |time_ms: u64| time_ms as i64 - stop.signalled_ms as i64;
    deployment.record.line(&format!(
      "LOST: {} at {}: sent {} ms after SIGTERM, answered whole by its server {} ms after it, the channel ended {} ms after it \
       (event {:?})",
      made.id,
      made.at,
      after_stop(made.sent_ms),
      after_stop(served_ms),
      after_stop(made.ended_ms),
      made.events.last().map(|event| event.id)
    ));
  }
  let ended = |end: End| {
    clients
      .iter()
      .flatten()
      .filter(|made| made.end == end)
      .count()
  };
  deployment.record.result(&format!(
    "{} requests, {} complete, {} cut; lost: {late} sent over {EXCUSED_MS} ms after SIGTERM, and {early} sent before whose servers were \
     not at work any more in the last sixth of graceS; 0 allowed",
    clients.iter().flatten().count(),
    ended(End::Complete),
    ended(End::Cut)
  ));
  Outcome::of(late + early > 0)
}

/// Whether the channel of a request ended without a complete answer while its box was stopped, within the request's time.
fn is_cut_by(made: &Try, stop: &Stop) -> bool {
  let until_ms = stop.signalled_ms + GRACE.as_millis() as u64 + AFTER_GRACE_MS;
  let limit_ms = match made.id.starts_with('u') {
    true => PLAIN_BUDGET.as_millis() as u64,
    false => ROUTE.timeout_ms,
  };
  made.end == End::Cut
    && (stop.signalled_ms..=until_ms).contains(&made.ended_ms)
    && made.ended_ms < made.sent_ms + limit_ms
}

/// When a server had sent the whole answer to a request.
fn completed_ms(deployment: &Deployment, made: &Try) -> Option<u64> {
  let runs = lock(&deployment.runs);
  let mut of_request = runs.iter().filter(|run| run.request == made.id);
  of_request.find_map(|run| match run.end {
    Some((RunEnd::Complete, ended_ms)) => Some(ended_ms),
    _ => None,
  })
}
