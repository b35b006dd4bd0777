//! A part of a prompt crashes each server that begins to write an answer on it.

use crate::{
  Options, Outcome,
  fleet::{Bounds, Fleet},
  http::{exchange, request_bytes},
  server::{Conduct, Place, Server},
  store::Store,
  world::World,
};
use std::{
  sync::Arc,
  thread::{self, JoinHandle},
  time::Duration,
};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const BOXES: usize = 3;
const CONTACT_MS: u64 = 3_000;
/// Sound requests come each so often, from the start on.
const SOUND_EVERY_MS: u64 = 250;
/// Deadly ones come each so often, from this time on.
const DEADLY_EVERY_MS: u64 = 1_500;
const DEADLY_FROM_MS: u64 = 5_000;
const END_MS: u64 = 65_000;
/// Requests that may reach servers after the fifth crash and the time of contact.
const ALLOWED: usize = 3;
const DEADLY_PART: &str = "dead0001";

/// What the requests of a case look like.
struct Shape {
  /// Shared parts of each prompt. The last part, which follows them, is the request's own.
  parts: usize,
  /// The place of the deadly part among the shared ones.
  deadly_at: usize,
  /// Tenants by turns; none if there are no keys.
  tenants: usize,
}

/// The deadly part is the 36th of 40.
pub fn many_parts(options: &Options, world: &Arc<World>) -> Result<Outcome, String> {
  let shape = Shape {
    deadly_at: 35,
    parts: 39,
    tenants: 0,
  };
  play(options, world, &shape)
}

/// The same with the deadly part as the second of three: not a case, but a check of the stand-ins.
pub fn few_parts(options: &Options, world: &Arc<World>) -> Result<Outcome, String> {
  let shape = Shape {
    deadly_at: 1,
    parts: 2,
    tenants: 0,
  };
  play(options, world, &shape)
}

/// Eight tenants send requests with the deadly part by turns.
pub fn tenants(options: &Options, world: &Arc<World>) -> Result<Outcome, String> {
  let shape = Shape {
    deadly_at: 1,
    parts: 2,
    tenants: 8,
  };
  play(options, world, &shape)
}

/// The same with one tenant: not a case, but a check of the stand-ins.
pub fn one_tenant(options: &Options, world: &Arc<World>) -> Result<Outcome, String> {
  let shape = Shape {
    deadly_at: 1,
    parts: 2,
    tenants: 1,
  };
  play(options, world, &shape)
}

fn play(options: &Options, world: &Arc<World>, shape: &Shape) -> Result<Outcome, String> {
  let store = Store::start();
  store.put("op/config", &configuration(shape));
  let conduct = Conduct {
    deadly_part: options.trouble.then(|| DEADLY_PART.into()),
    events: 12,
    event_gap_ms: 60,
    ..Conduct::default()
  };
  for number in 0..12 {
    let place = Place {
      name: &format!("llm{number}"),
      service: "llm",
      stage: Some(if number < 3 { "prefill" } else { "decode" }),
      zone: ZONES[number % ZONES.len()],
    };
    Server::start(place, conduct.clone(), &store, world);
  }
  let bounds = Bounds {
    box_mb: 110,
    configuration_ms: 2_000,
    contact_ms: CONTACT_MS,
    overage: (shape.tenants > 0).then_some((0.1, 190_000)),
    retry_slack: 56,
  };
  let fleet = Fleet::start(&options.program, BOXES, &ZONES, &bounds, &store, world)?;
  let start_ms = world.now_ms();
  let mut clients = Vec::new();
  let mut due: Vec<(u64, bool)> = Vec::new();
  due.extend((0..END_MS / SOUND_EVERY_MS).map(|number| (number * SOUND_EVERY_MS, false)));
  let deadly = (END_MS - DEADLY_FROM_MS) / DEADLY_EVERY_MS;
  due.extend((0..deadly).map(|number| (DEADLY_FROM_MS + number * DEADLY_EVERY_MS, true)));
  due.sort_unstable();
  let mut counts = [0; 2];
  for (at_ms, is_deadly) in due {
    world.sleep_until(start_ms + at_ms);
    let number = counts[usize::from(is_deadly)];
    counts[usize::from(is_deadly)] += 1;
    clients.push(send(world, &fleet, shape, number, is_deadly));
  }
  let mut sound = [0; 2];
  for client in clients {
    let (is_deadly, was_served) = client.join().map_err(|_| "a client panicked")?;
    if !is_deadly {
      sound[usize::from(was_served)] += 1;
    }
  }
  world.say(format!(
    "sound requests: {} served, {} not",
    sound[1], sound[0]
  ));
  let blamed = fleet.count_logged("E563 segment suspected");
  world.log(format!("log lines on suspected segments: {blamed:?}"));
  drop(fleet);
  Ok(judge(world))
}

/// BUDGET: more than three requests with the part reach servers later than `contactMs` after the fifth crash. Only those that servers are
/// to run are counted, not those that only have a prompt read.
fn judge(world: &World) -> Outcome {
  let crashes = world.crashes.lock().unwrap().clone();
  world.say(format!("{} crashes at {crashes:?} ms", crashes.len()));
  let Some(fifth_ms) = crashes.get(4) else {
    world.say("fewer than five crashes");
    return Outcome::Held;
  };
  let arrivals = world.arrivals.lock().unwrap().clone();
  let late: Vec<String> = arrivals
    .iter()
    .filter(|arrival| arrival.is_deadly && arrival.runs && arrival.at_ms > fifth_ms + CONTACT_MS)
    .map(|arrival| {
      format!(
        "{} at {} at {} ms",
        arrival.request, arrival.server, arrival.at_ms
      )
    })
    .collect();
  world.say(format!(
    "{} requests with the part reached servers later than {CONTACT_MS} ms after the fifth crash; {ALLOWED} may",
    late.len()
  ));
  for line in &late {
    world.log(line.clone());
  }
  match late.len() > ALLOWED {
    true => Outcome::Broken,
    false => Outcome::Held,
  }
}

fn send(
  world: &Arc<World>,
  fleet: &Fleet,
  shape: &Shape,
  number: usize,
  is_deadly: bool,
) -> JoinHandle<(bool, bool)> {
  let running = &fleet.boxes[number % fleet.boxes.len()];
  let (address, name) = (running.callers, running.name.clone());
  let id = format!("{}{number:05}", if is_deadly { "d" } else { "a" });
  let mut prefix = String::new();
  for part in 0..shape.parts {
    let part = match (is_deadly, part == shape.deadly_at) {
      (true, true) => DEADLY_PART.into(),
      _ => format!("{:08x}", 0x5c1e_0000 + part),
    };
    prefix += &format!("{part}:20,");
  }
  prefix += &format!("{id}:30");
  let mut headers = vec![
    ("X-Request-Id", id.clone()),
    ("X-Deadline-Ms", "14000".into()),
    ("X-Model", "m".into()),
    ("X-Token-Counts", format!("{},12", shape.parts * 20 + 30)),
    ("X-Prompt-Prefix", prefix),
  ];
  // The next tenant after each round of the boxes, so that each tenant's requests come at any box.
  if shape.tenants > 0 {
    let tenant = (number / BOXES + number) % shape.tenants;
    headers.push(("Authorization", format!("Bearer key-{tenant}")));
  }
  let body = format!("prompt of {id}");
  let bytes = request_bytes("POST", "/llm/ask", "a.example", &headers, body.as_bytes());
  let world = world.clone();
  thread::spawn(move || {
    world.log(format!("client sends {id} to {name}"));
    let answer = exchange(address, &bytes, Duration::from_secs(14));
    world.log(format!("client gets for {id}: {}", answer.text()));
    (is_deadly, answer.status == Some(200) && answer.whole)
  })
}

fn configuration(shape: &Shape) -> String {
  let tenants: Vec<String> = (0..shape.tenants)
    .map(|tenant| format!("{{\"name\":\"tenant-{tenant}\",\"apiKeys\":[\"key-{tenant}\"]}}"))
    .collect();
  let tenants = match shape.tenants {
    0 => String::new(),
    _ => format!("\"tenants\":[{}],", tenants.join(",")),
  };
  format!(
    "{{\"version\":7,{tenants}\"routes\":[{{\"name\":\"r-llm\",\"host\":\"a.example\",\"pathPrefix\":\"/llm/\",\"kind\":\"stream\",\"timeoutMs\":14000,\"targetLatencyMs\":900,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":1,\"stickySessions\":true,\"resumable\":false,\"gapTargetMs\":300}}],\"services\":[{{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":620,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvTokens\":66897,\"kvTokenBytes\":18432,\"linkMbps\":350000.0,\"moves\":true,\"backups\":true,\"stride\":11,\"most\":12,\"handleTtlS\":0.5,\"switchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
  )
}
