//! An engine in trouble sends bytes that are no answer, without end, in the bodies of its streams.

use crate::{
  Options, Outcome,
  fleet::{Bounds, Fleet},
  http::{StreamEnd, exchange, read_stream, request_bytes},
  server::{Conduct, Place, Server},
  store::Store,
  world::World,
};
use std::{sync::Arc, thread, time::Duration};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const BOXES: usize = 3;
/// Streams come each so often, at each box by turns.
const EVERY_MS: u64 = 70;
const END_MS: u64 = 20_000;
/// The route's timeout, its latency target, and the time of the client, as in `CONFIGURATION`.
const TIMEOUT_MS: u64 = 6_000;
const TARGET_MS: u64 = 2_000;
const BUDGET_MS: u64 = 14_000;
/// A client gives a stream up after four times the target without an event.
const GAP_MS: u64 = 4 * TARGET_MS;
/// The rule: this many requests, and a quarter of those that run past the timeout, have no final answer so long after it.
const LATE_MS: u64 = 500;
const MIN_LATE: usize = 8;

pub fn play(options: &Options, world: &Arc<World>) -> Result<Outcome, String> {
  let store = Store::start();
  store.put("op/config", CONFIGURATION);
  let conduct = Conduct {
    events: 71,
    event_gap_ms: 60,
    work_ms: 20,
    ..Conduct::default()
  };
  // One of eight engines is in trouble.
  for number in 0..8 {
    let place = Place {
      name: &format!("llm{number}"),
      service: "llm",
      stage: Some(if number < 2 { "prefill" } else { "decode" }),
      zone: ZONES[number % ZONES.len()],
    };
    let floods = options.trouble && number == 4;
    let conduct = Conduct {
      floods,
      ..conduct.clone()
    };
    Server::start(place, conduct, &store, world);
  }
  let desk = Place {
    name: "desk",
    service: "desk",
    stage: None,
    zone: ZONES[0],
  };
  Server::start(desk, conduct, &store, world);
  let bounds = Bounds {
    box_mb: 110,
    configuration_ms: 3_000,
    contact_ms: 4_000,
    overage: None,
    retry_slack: 162,
  };
  let fleet = Fleet::start(&options.program, BOXES, &ZONES, &bounds, &store, world)?;
  let start_ms = world.now_ms();
  let mut clients = Vec::new();
  let mut lookups = Vec::new();
  for number in 0..END_MS / EVERY_MS {
    world.sleep_until(start_ms + number * EVERY_MS);
    let running = &fleet.boxes[number as usize % fleet.boxes.len()];
    let (address, name) = (running.callers, running.name.clone());
    let log = world.clone();
    clients.push(thread::spawn(move || {
      let id = format!("ask{number:04}");
      let headers = [
        ("X-Request-Id", id.clone()),
        ("X-Deadline-Ms", BUDGET_MS.to_string()),
        ("X-Model", "m".into()),
        ("X-Token-Counts", "400,71".into()),
        ("X-Prompt-Prefix", format!("5c1e07a2:200,{id}:200")),
      ];
      let body = format!("prompt of {id}");
      let bytes = request_bytes("POST", "/llm/ask", "a.example", &headers, body.as_bytes());
      let sent_ms = log.now_ms();
      let (gap, budget) = (Duration::from_millis(GAP_MS), Duration::from_millis(BUDGET_MS));
      let (status, bytes, end) = read_stream(address, &bytes, gap, budget);
      let took_ms = log.now_ms() - sent_ms;
      log.log(format!(
        "client's stream {id} at {name}: status {status:?}, {bytes} bytes, {end:?} after {took_ms} ms"
      ));
      (took_ms, end)
    }));
    lookups.push(thread::spawn(move || {
      let headers = [
        ("X-Request-Id", format!("look{number:04}")),
        ("X-Deadline-Ms", "1500".into()),
      ];
      let bytes = request_bytes("GET", "/desk/look", "a.example", &headers, b"");
      let answer = exchange(address, &bytes, Duration::from_secs(3));
      (answer.status == Some(200), answer.took.as_millis())
    }));
  }
  let mut ends = Vec::new();
  for client in clients {
    ends.push(client.join().map_err(|_| "a client panicked")?);
  }
  let mut slowest = 0;
  let mut failed = 0;
  for lookup in lookups {
    let (was_served, took_ms) = lookup.join().map_err(|_| "a client panicked")?;
    slowest = slowest.max(took_ms);
    failed += usize::from(!was_served);
  }
  world.say(format!(
    "lookups beside the streams: {failed} failed, the slowest took {slowest} ms"
  ));
  let ticks = fleet.processor_ticks();
  world.say(format!(
    "processor time of the boxes, in hundredths of a second: {ticks:?}"
  ));
  drop(fleet);
  Ok(judge(world, &ends))
}

/// CONFIG: machines in touch have given no final answer 0.5 s after the route's timeout to eight or more of the requests that run past it,
/// and to over a quarter of them.
fn judge(world: &World, ends: &[(u64, StreamEnd)]) -> Outcome {
  let past = ends
    .iter()
    .filter(|(took_ms, _)| *took_ms > TIMEOUT_MS)
    .count();
  let late = ends
    .iter()
    .filter(|(took_ms, _)| *took_ms > TIMEOUT_MS + LATE_MS)
    .count();
  let given_up = ends
    .iter()
    .filter(|(_, end)| *end == StreamEnd::GivenUp)
    .count();
  world.say(format!(
    "{} streams: {past} ran past {TIMEOUT_MS} ms, {late} had no final answer {LATE_MS} ms later, {given_up} were given up by their clients",
    ends.len()
  ));
  match late >= MIN_LATE && late * 4 > past {
    true => Outcome::Broken,
    false => Outcome::Held,
  }
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-desk","host":"a.example","pathPrefix":"/desk/","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2},{"name":"r-llm","host":"a.example","pathPrefix":"/llm/","kind":"stream","timeoutMs":6000,"targetLatencyMs":2000,"priority":1,"service":"llm","maxAttempts":1,"stickySessions":true,"resumable":false,"gapTargetMs":300}],"services":[{"name":"desk","healthPath":"/health","maxConnections":430,"protocol":"h1","tls":false},{"name":"llm","healthPath":"/health","maxConnections":690,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":44402,"kvTokenBytes":163840,"linkMbps":1600000.0,"moves":true,"backups":true,"stride":11,"most":12,"handleTtlS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
