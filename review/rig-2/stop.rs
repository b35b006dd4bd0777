//! A box is stopped as planned while the store is silent.

use crate::{
  Options, Outcome,
  fleet::{Bounds, Fleet},
  http::{Channel, request_bytes},
  server::{Conduct, Place, Server},
  store::Store,
  world::World,
};
use std::{
  net::SocketAddr,
  sync::Arc,
  thread::{self, JoinHandle},
  time::Duration,
};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const BOXES: usize = 3;
/// Clients that keep a channel to the box that is stopped.
const CLIENTS: u64 = 12;
const FIRST_REQUEST_MS: u64 = 6_000;
const OUTAGE_FROM_MS: u64 = 9_500;
const OUTAGE_MS: u64 = 4_500;
const STOP_MS: u64 = 10_000;
/// `graceS`.
const GRACE_MS: u64 = 8_000;
/// Requests that are sent later than this after the stop signal are not excused by a server that is still at work at the end.
const EXCUSED_MS: u64 = 3_000;
/// The clients send their streams from this long after the stop signal on, one after the other.
const SECOND_REQUEST_MS: u64 = 3_150;
const GAP_MS: u64 = 45;
/// What the clients wait for at most, and the route's timeout.
const BUDGET_MS: u64 = 14_000;

/// What a client saw of its stream.
struct Seen {
  id: String,
  sent_ms: u64,
  ended_ms: u64,
  status: Option<u16>,
  is_whole: bool,
  is_kept_channel: bool,
}

pub fn play(options: &Options, world: &Arc<World>) -> Result<Outcome, String> {
  let store = Store::start();
  store.put("op/config", CONFIGURATION);
  let conduct = Conduct {
    events: 71,
    event_gap_ms: 70,
    work_ms: 20,
    ..Conduct::default()
  };
  for number in 0..6 {
    let place = Place {
      name: &format!("llm{number}"),
      service: "llm",
      stage: Some(if number < 2 { "prefill" } else { "decode" }),
      zone: ZONES[number % ZONES.len()],
    };
    Server::start(place, conduct.clone(), &store, world);
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
    configuration_ms: 2_000,
    contact_ms: 3_000,
    overage: None,
    retry_slack: 54,
  };
  let fleet = Fleet::start(&options.program, BOXES, &ZONES, &bounds, &store, world)?;
  let start_ms = world.now_ms();
  let stopped = fleet.boxes[0].callers;
  let other = fleet.boxes[1].callers;
  let clients: Vec<JoinHandle<Seen>> = (0..CLIENTS)
    .map(|number| {
      let world = world.clone();
      thread::spawn(move || keep_channel(&world, start_ms, number, stopped, other))
    })
    .collect();
  if options.trouble {
    let (store, world) = (store.clone(), world.clone());
    thread::spawn(move || {
      world.sleep_until(start_ms + OUTAGE_FROM_MS);
      world.say("the store falls silent");
      store.set_silent(true);
      world.sleep_until(start_ms + OUTAGE_FROM_MS + OUTAGE_MS);
      store.set_silent(false);
      world.say("the store is back");
    });
  }
  world.sleep_until(start_ms + STOP_MS);
  let stop_ms = world.now_ms();
  fleet.boxes[0].terminate();
  world.say(format!(
    "SIGTERM for {} at {stop_ms} ms",
    fleet.boxes[0].name
  ));
  let mut seen = Vec::new();
  for client in clients {
    seen.push(client.join().map_err(|_| "a client panicked")?);
  }
  let log = fleet.count_logged("E507 stream aborted");
  world.log(format!("log lines on aborted streams: {log:?}"));
  drop(fleet);
  Ok(judge(world, stop_ms, &seen))
}

/// Sends a first request, and on the same channel a stream while the box stops; on a channel to another box if that one was closed before.
fn keep_channel(
  world: &World,
  start_ms: u64,
  number: u64,
  stopped: SocketAddr,
  other: SocketAddr,
) -> Seen {
  world.sleep_until(start_ms + FIRST_REQUEST_MS + number * 20);
  let mut channel = Channel::open(stopped);
  let id = format!("look{number:03}");
  let headers = [
    ("X-Request-Id", id.clone()),
    ("X-Deadline-Ms", "1500".into()),
  ];
  let bytes = request_bytes("GET", "/desk/look", "a.example", &headers, b"");
  let limit = Duration::from_millis(BUDGET_MS);
  let answer = channel.exchange(&bytes, limit);
  world.log(format!("client gets for {id}: {}", answer.text()));
  world.sleep_until(start_ms + STOP_MS + SECOND_REQUEST_MS + number * GAP_MS);
  let id = format!("draft{number:03}");
  let headers = [
    ("X-Request-Id", id.clone()),
    ("X-Deadline-Ms", BUDGET_MS.to_string()),
    ("X-Model", "m".into()),
    ("X-Token-Counts", "400,71".into()),
    ("X-Prompt-Prefix", format!("5c1e07a2:200,{id}:200")),
  ];
  let body = format!("prompt of {id}");
  let bytes = request_bytes("POST", "/llm/draft", "a.example", &headers, body.as_bytes());
  let is_kept_channel = channel.is_open();
  if !is_kept_channel {
    channel = Channel::open(other);
  }
  let sent_ms = world.now_ms();
  let channel_text = if is_kept_channel {
    "its kept channel"
  } else {
    "a new channel to another box"
  };
  world.log(format!("client sends {id} on {channel_text}"));
  let answer = channel.exchange(&bytes, limit);
  world.log(format!("client gets for {id}: {}", answer.text()));
  Seen {
    ended_ms: world.now_ms(),
    id,
    is_kept_channel,
    is_whole: answer.whole,
    sent_ms,
    status: answer.status,
  }
}

/// LOST: a process has read a whole request, and the channel ends without a complete answer once the request has been passed on to a
/// server, around a SIGTERM of the machine that took it from the client. The excuses of the rule are checked one by one.
fn judge(world: &World, stop_ms: u64, seen: &[Seen]) -> Outcome {
  let arrivals = world.arrivals.lock().unwrap().clone();
  let mut lost = 0;
  for request in seen {
    let was_passed_on = arrivals
      .iter()
      .any(|arrival| arrival.runs && arrival.request == request.id);
    let is_complete = request.status.is_some() && request.is_whole;
    let is_in_grace = request.ended_ms <= stop_ms + GRACE_MS + 1_000;
    let is_late_request = request.sent_ms > stop_ms + EXCUSED_MS;
    let is_within_budget = request.ended_ms < request.sent_ms + BUDGET_MS;
    let counts = request.is_kept_channel
      && was_passed_on
      && !is_complete
      && is_in_grace
      && is_late_request
      && is_within_budget;
    world.log(format!(
      "{}: sent {} ms after the signal, passed on {was_passed_on}, status {:?}, whole {}, ended {} ms after the signal: {}",
      request.id,
      request.sent_ms as i64 - stop_ms as i64,
      request.status,
      request.is_whole,
      request.ended_ms as i64 - stop_ms as i64,
      if counts { "LOST" } else { "does not count" }
    ));
    lost += usize::from(counts);
  }
  world.say(format!("{lost} of {} streams are lost", seen.len()));
  match lost {
    0 => Outcome::Held,
    _ => Outcome::Broken,
  }
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-desk","host":"a.example","pathPrefix":"/desk/","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2},{"name":"r-llm","host":"a.example","pathPrefix":"/llm/","kind":"stream","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"llm","maxAttempts":1,"stickySessions":true,"resumable":false,"gapTargetMs":300}],"services":[{"name":"desk","healthPath":"/health","maxConnections":430,"protocol":"h1","tls":false},{"name":"llm","healthPath":"/health","maxConnections":620,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":41191,"kvTokenBytes":163840,"linkMbps":1600000.0,"moves":true,"backups":true,"stride":11,"most":12,"handleTtlS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
