//! Further play: the boxes are stopped and started in turn, while servers of two versions serve side by side.

use {
  super::{
    client::{End, StreamRequest, Try},
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
/// A stream lasts twelve seconds.
const PACE: Pace = Pace {
  events: 100,
  interval: Duration::from_millis(120),
};
const REQUEST: StreamRequest = StreamRequest {
  budget: Duration::from_millis(14_000),
  // Four times the objective.
  gap: Duration::from_millis(3_600),
  pace: PACE,
  path: "/summaries/7",
  resumes: true,
  tries: 6,
};
const BOXES: u8 = 6;
const PER_S: f64 = 8.0;
const TRAFFIC: Duration = Duration::from_millis(30_000);
/// The first box receives SIGTERM.
const ROLL_AT: Duration = Duration::from_millis(8_000);
/// Time between the boxes.
const ROLL_GAP: Duration = Duration::from_millis(2_000);
/// `graceS`.
const GRACE: Duration = Duration::from_millis(8_000);
const RESTART_DELAY: Duration = Duration::from_millis(300);
const END_AT: Duration = Duration::from_millis(46_000);
/// `contactMs`.
const CONTACT_MS: u64 = 3_000;
/// Resumed streams from which on their share counts, and its least ratio to that of new streams.
const MIN_RESUMED: usize = 12;
const MIN_RATIO: f64 = 0.5;

/// Plays the case.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
  let folder = temporary_folder("rolling")?;
  let mut both = engines("v1", 1, 3);
  both.extend(engines("v2", 1, 3));
  let configuration = stream_configuration(ROUTE);
  let servers = Servers::Engines(&both, PACE);
  let deployment = Deployment::start(record, &folder, BOXES, &configuration, servers)?;
  let deployment = Arc::new(deployment);
  deployment.start_streams(PER_S, TRAFFIC, REQUEST)?;
  if has_trouble {
    deployment.wait_until(ROLL_AT);
    for index in 0..deployment.boxes.len() {
      let of_box = deployment.clone();
      spawn(move || stop_and_start(&of_box, index))?;
      sleep(ROLL_GAP);
    }
  }
  deployment.wait_until(END_AT);
  deployment.stop();
  Ok(judge(&deployment))
}

fn stop_and_start(deployment: &Deployment, index: usize) {
  let node = &deployment.boxes[index];
  node.terminate(GRACE);
  sleep(RESTART_DELAY);
  if let Err(error) = node.restart() {
    deployment
      .record
      .line(&format!("{}: not started again: {error}", node.name));
  }
}

/// Compares the share of streams that go on after their clients took them up again with that of new streams that begin.
fn judge(deployment: &Deployment) -> Outcome {
  let clients = lock(&deployment.clients);
  let is_in_touch = |made: &&Try| {
    let node = deployment.boxes.iter().find(|node| node.name == made.at);
    node.is_some_and(|node| node.is_in_touch(made.sent_ms, CONTACT_MS))
  };
  let has_events = |made: &Try| !made.events.is_empty();
  let (mut new, mut begun, mut resumed, mut gone_on, mut mixed) = (0, 0, 0, 0, 0);
  for tries in clients.iter() {
    let first = tries.iter().position(has_events);
    let new_tries = &tries[..first.map_or(tries.len(), |first| first + 1)];
    let new_in_touch: Vec<&Try> = new_tries.iter().filter(is_in_touch).collect();
    new += new_in_touch.len();
    begun += new_in_touch.iter().filter(|made| has_events(made)).count();
    let again = first.map_or(&[][..], |first| &tries[first + 1..]);
    if again.iter().any(|made| is_in_touch(&made)) {
      resumed += 1;
      gone_on += usize::from(again.iter().any(has_events));
      deployment.record.line(&format!(
        "RESUMED: {:?}",
        again
          .iter()
          .map(|made| (&made.id, &made.at, made.end))
          .collect::<Vec<_>>()
      ));
    }
    let events = tries.iter().flat_map(|made| &made.events);
    let versions: BTreeSet<&str> = events.map(|event| event.version.as_str()).collect();
    mixed += usize::from(versions.len() > 1);
  }
  let complete = clients
    .iter()
    .filter(|tries| tries.last().is_some_and(|made| made.end == End::Complete));
  let share = |of: usize, all: usize| of as f64 / all.max(1) as f64;
  let (begin_share, go_on_share) = (share(begun, new), share(gone_on, resumed));
  deployment.record.result(&format!(
    "{} clients, {} streams complete; at machines in touch {begun} of {new} new tries begin ({begin_share:.2}), {gone_on} of \
     {resumed} resumed streams go on ({go_on_share:.2}); broken from {MIN_RESUMED} on below {MIN_RATIO} of the former; {mixed} \
     streams of two versions",
    clients.len(),
    complete.count()
  ));
  Outcome::of(resumed >= MIN_RESUMED && go_on_share < MIN_RATIO * begin_share)
}
