//! Further play: one server fails part of its requests: it sends the head of an error response, and hangs before the end of its body.

use {
  super::{
    client::{End, StreamRequest},
    deployment::{Deployment, Route, Servers, engines, stream_configuration, temporary_folder},
    engine::{Hanging, Pace, Stage},
    outcome::Outcome,
    record::{Record, lock},
  },
  std::{io, sync::Arc, time::Duration},
};

const ROUTE: Route = Route {
  is_resumable: false,
  max_attempts: 1,
  prefix: "/quizzes/",
  target_ms: 2_000,
  timeout_ms: 4_000,
};
/// A stream lasts three seconds.
const PACE: Pace = Pace {
  events: 30,
  interval: Duration::from_millis(100),
};
const REQUEST: StreamRequest = StreamRequest {
  budget: Duration::from_millis(14_000),
  // Four times the objective.
  gap: Duration::from_millis(8_000),
  pace: PACE,
  path: "/quizzes/3",
  resumes: false,
  tries: 1,
};
const BOXES: u8 = 6;
const PER_S: f64 = 30.0;
const TRAFFIC: Duration = Duration::from_millis(12_000);
/// One of nine servers fails up to 0.45 of its requests for 6.5 s.
const HANGS_AT: Duration = Duration::from_millis(4_000);
const HANGS_FOR: Duration = Duration::from_millis(6_500);
const HANGING: Hanging = Hanging { of_ten: 4 };
/// All clients have ended.
const END_AT: Duration = Duration::from_millis(27_000);
/// A final answer is late this long after the route's timeout.
const LATE_MS: u64 = 500;
/// Late requests from which on the rule may be broken, and their least share of those that run past the timeout.
const MIN_LATE: usize = 8;
const LATE_SHARE: f64 = 0.25;

/// Plays the case.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
  let folder = temporary_folder("unanswered")?;
  let deployment = Deployment::start(
    record,
    &folder,
    BOXES,
    &stream_configuration(ROUTE),
    Servers::Engines(&engines("v1", 2, 7), PACE),
  )?;
  let deployment = Arc::new(deployment);
  deployment.start_streams(PER_S, TRAFFIC, REQUEST)?;
  if has_trouble {
    deployment.wait_until(HANGS_AT);
    let engine = lock(&deployment.engines)
      .iter()
      .find(|engine| engine.identity.stage == Stage::Decode)
      .cloned();
    if let Some(engine) = engine {
      record.line(&format!("{}: fails {HANGING:?}", engine.identity.id));
      engine.set_hanging(Some(HANGING));
      deployment.wait_until(HANGS_AT + HANGS_FOR);
      engine.set_hanging(None);
      record.line(&format!("{}: fails no more", engine.identity.id));
    }
  }
  deployment.wait_until(END_AT);
  deployment.stop();
  Ok(judge(&deployment))
}

/// Counts the requests that ran past their route's timeout, and those of them without a final answer half a second later.
fn judge(deployment: &Deployment) -> Outcome {
  let clients = lock(&deployment.clients);
  let mut past = 0;
  let mut late = 0;
  let mut unanswered = 0;
  for made in clients.iter().flatten() {
    let due_ms = made.sent_ms + ROUTE.timeout_ms;
    past += usize::from(made.ended_ms > due_ms);
    if made.ended_ms > due_ms + LATE_MS {
      late += 1;
      unanswered += usize::from(made.answered_ms.is_none());
      deployment.record.line(&format!(
        "LATE: {} at {}, sent at {} ms, answered {:?}, ended at {} ms: {:?}",
        made.id, made.at, made.sent_ms, made.answered_ms, made.ended_ms, made.end
      ));
    }
  }
  let complete = clients
    .iter()
    .flatten()
    .filter(|made| made.end == End::Complete);
  deployment.record.result(&format!(
    "{} requests, {} complete, {past} ran past {} ms, {late} of them without a final answer {LATE_MS} ms later, {unanswered} \
     without any; broken from {MIN_LATE} and over {LATE_SHARE} of them",
    clients.iter().flatten().count(),
    complete.count(),
    ROUTE.timeout_ms
  ));
  Outcome::of(late >= MIN_LATE && late as f64 > LATE_SHARE * past as f64)
}
