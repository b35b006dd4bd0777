//! Case: a sound server falls silent for a second or so, shortly after a box has received SIGHUP.

use {
  super::{
    client::{End, StreamRequest, Try},
    deployment::{Deployment, Route, Servers, engines, stream_configuration, temporary_folder},
    engine::{Pace, RunEnd, Stage},
    outcome::Outcome,
    record::{Record, lock},
  },
  std::{io, sync::Arc, time::Duration},
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
const BOXES: u8 = 6;
const PER_S: f64 = 24.0;
const TRAFFIC: Duration = Duration::from_millis(14_000);
/// A box receives SIGHUP.
const HANG_UP_AT: Duration = Duration::from_millis(12_500);
/// One of six, within the share of 0.3: a box in the zone of the server that falls silent.
const HUNG_UP_BOXES: [usize; 1] = [1];
/// One server sends nothing.
const SILENT_AT: Duration = Duration::from_millis(13_000);
const SILENT_FOR: Duration = Duration::from_millis(1_400);
/// All clients have ended.
const END_AT: Duration = Duration::from_millis(30_000);
/// `configApplyMs`: requests sent up to this long after SIGHUP count.
const CONFIG_APPLY_MS: u64 = 2_000;

/// Plays the case.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
  let folder = temporary_folder("silence")?;
  let deployment = Deployment::start(
    record,
    &folder,
    BOXES,
    &stream_configuration(ROUTE),
    Servers::Engines(&engines("v1", 1, 3), PACE),
  )?;
  let deployment = Arc::new(deployment);
  deployment.start_streams(PER_S, TRAFFIC, REQUEST)?;
  deployment.wait_until(HANG_UP_AT);
  let hung_up_ms = record.now_ms();
  if has_trouble {
    HUNG_UP_BOXES
      .iter()
      .for_each(|index| deployment.boxes[*index].hang_up());
    deployment.wait_until(SILENT_AT);
    let engine = lock(&deployment.engines)
      .iter()
      .find(|engine| engine.identity.stage == Stage::Decode)
      .cloned();
    if let Some(engine) = engine {
      record.line(&format!(
        "{}: silent for {SILENT_FOR:?}",
        engine.identity.id
      ));
      engine.fall_silent(SILENT_FOR);
    }
  }
  deployment.wait_until(END_AT);
  deployment.stop();
  Ok(judge(&deployment, hung_up_ms))
}

/// Counts the requests to boxes that received SIGHUP that were passed on to a server and whose channel ended without a complete
/// answer, although neither the server broke off nor the time was over.
fn judge(deployment: &Deployment, hung_up_ms: u64) -> Outcome {
  let clients = lock(&deployment.clients);
  let is_hung_up = |name: &str| {
    let mut names = HUNG_UP_BOXES
      .iter()
      .map(|index| &deployment.boxes[*index].name);
    names.any(|hung_up| hung_up == name)
  };
  let lost = clients.iter().flatten().filter(|made| {
    made.end == End::Cut
      && is_hung_up(&made.at)
      && made.sent_ms <= hung_up_ms + CONFIG_APPLY_MS
      && made.ended_ms > hung_up_ms
      && made.ended_ms < made.sent_ms + ROUTE.timeout_ms
      && was_dropped(deployment, made)
  });
  let mut count = 0;
  for made in lost {
    count += 1;
    deployment.record.line(&format!(
      "LOST: {} at {}, sent at {} ms, channel ended at {} ms after event {:?}",
      made.id,
      made.at,
      made.sent_ms,
      made.ended_ms,
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
    "{} requests, {} complete, {} cut at any box, {count} of them lost after SIGHUP, 0 allowed",
    clients.iter().flatten().count(),
    ended(End::Complete),
    ended(End::Cut)
  ));
  Outcome::of(count > 0)
}

/// Whether a server ran the request and was at work when its channel was closed.
fn was_dropped(deployment: &Deployment, made: &Try) -> bool {
  let runs = lock(&deployment.runs);
  let mut of_request = runs.iter().filter(|run| run.request == made.id);
  of_request.any(|run| matches!(run.end, Some((RunEnd::ChannelClosed, _))))
}
