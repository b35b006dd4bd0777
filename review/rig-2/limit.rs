//! A server names the requests per second that it takes from all boxes together, while the store is down and the boxes' leases run out.

use crate::{
  Options, Outcome,
  fleet::{Bounds, Fleet},
  http::{exchange, request_bytes},
  server::{Conduct, Place, Server},
  store::Store,
  world::World,
};
use std::{sync::Arc, thread, time::Duration};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const BOXES: usize = 15;
const CONTACT_MS: u64 = 3_000;
/// What the server names.
const LIMIT_PER_S: f64 = 10.0;
/// Each box gets a request this often.
const EVERY_MS: u64 = 100;
/// The store falls silent after this time, this long after the boxes have renewed their leases, which run out before it is back.
const OUTAGE_FROM_MS: u64 = 12_000;
const AFTER_RENEWAL_MS: u64 = 1_400;
const OUTAGE_MS: u64 = 8_000;
const END_MS: u64 = 36_000;
/// The window of the rule, what it allows beyond the limit, and requests besides.
const WINDOW_MS: u64 = 4_000;
const FACTOR: f64 = 1.5;
const BESIDES: f64 = 5.0;

pub fn play(options: &Options, world: &Arc<World>) -> Result<Outcome, String> {
  let store = Store::start();
  store.put("op/config", CONFIGURATION);
  let conduct = Conduct {
    limit_per_s: Some(LIMIT_PER_S),
    work_ms: 20,
    ..Conduct::default()
  };
  let place = Place {
    name: "desk",
    service: "desk",
    stage: None,
    zone: ZONES[0],
  };
  Server::start(place, conduct, &store, world);
  let bounds = Bounds {
    box_mb: 110,
    configuration_ms: 3_000,
    contact_ms: CONTACT_MS,
    overage: None,
    retry_slack: 56,
  };
  let fleet = Fleet::start(&options.program, BOXES, &ZONES, &bounds, &store, world)?;
  let start_ms = world.now_ms();
  let outage = options.trouble.then(|| {
    let (store, world) = (store.clone(), world.clone());
    thread::spawn(move || {
      world.sleep_until(start_ms + OUTAGE_FROM_MS);
      while store.since_renewal() < Duration::from_millis(AFTER_RENEWAL_MS) {
        thread::sleep(Duration::from_millis(10));
      }
      let from_ms = world.now_ms();
      world.say("the store falls silent");
      store.set_silent(true);
      world.sleep_until(from_ms + OUTAGE_MS);
      let boxes = store.keys("rillford/boxes/").len();
      store.set_silent(false);
      world.say(format!("the store is back; it lists {boxes} boxes"));
      world.now_ms()
    })
  });
  let mut clients = Vec::new();
  for number in 0..END_MS / EVERY_MS {
    world.sleep_until(start_ms + number * EVERY_MS);
    for running in &fleet.boxes {
      let (address, name) = (running.callers, running.name.clone());
      let world = world.clone();
      clients.push(thread::spawn(move || {
        let id = format!("{name}-{number:05}");
        let headers = [
          ("X-Request-Id", id.clone()),
          ("X-Deadline-Ms", "1500".into()),
        ];
        let bytes = request_bytes("GET", "/desk/look", "a.example", &headers, b"");
        let answer = exchange(address, &bytes, Duration::from_secs(3));
        world.log(format!("client gets for {id}: {}", answer.text()));
        answer.status
      }));
    }
  }
  let mut served = 0;
  for client in clients {
    let status = client.join().map_err(|_| "a client panicked")?;
    served += usize::from(status == Some(200));
  }
  let back_ms = match outage {
    Some(outage) => outage.join().map_err(|_| "the outage panicked")?,
    None => 0,
  };
  world.say(format!("{served} requests served"));
  drop(fleet);
  Ok(judge(world, back_ms))
}

/// LIMIT: the server gets in some 4 s more than one and a half times what its limit allows, and 5 requests. All boxes have passed on its
/// answers for seconds by then. Only windows count that begin when the boxes are in touch: `contactMs` after the server first named its
/// limit, and not from the begin of the outage until `contactMs` after its end.
fn judge(world: &World, back_ms: u64) -> Outcome {
  let arrivals = world.arrivals.lock().unwrap().clone();
  let Some(first) = arrivals.first() else {
    world.say("the server got nothing");
    return Outcome::Held;
  };
  let times: Vec<u64> = arrivals.iter().map(|arrival| arrival.at_ms).collect();
  let last_ms = times.last().copied().unwrap_or(0);
  for second in 0..=last_ms / 1_000 {
    let within = |at_ms: &&u64| **at_ms / 1_000 == second;
    let count = times.iter().filter(within).count();
    world.log(format!(
      "second {second}: {count} requests reached the server"
    ));
  }
  let allowed = LIMIT_PER_S * WINDOW_MS as f64 / 1_000.0 * FACTOR + BESIDES;
  let (any, any_ms) = most_in_a_window(&times, first.at_ms + CONTACT_MS, back_ms);
  let from_ms = (first.at_ms + CONTACT_MS).max(back_ms + CONTACT_MS);
  let (most, most_ms) = most_in_a_window(&times, from_ms, u64::MAX);
  world.say(format!(
    "before the boxes are in touch again: at most {any} requests in {WINDOW_MS} ms, from {any_ms} ms on"
  ));
  world.say(format!(
    "in touch: at most {most} requests in {WINDOW_MS} ms, from {most_ms} ms on; {allowed} are allowed"
  ));
  match most as f64 > allowed {
    true => Outcome::Broken,
    false => Outcome::Held,
  }
}

/// The most requests in a window that begins in a period, and when it begins.
fn most_in_a_window(times: &[u64], from_ms: u64, until_ms: u64) -> (usize, u64) {
  let begins = times
    .iter()
    .filter(|at_ms| **at_ms >= from_ms && **at_ms < until_ms);
  let count = |begin_ms: &u64| {
    let within = |at_ms: &&u64| **at_ms >= *begin_ms && **at_ms < *begin_ms + WINDOW_MS;
    times.iter().filter(within).count()
  };
  let counts = begins.map(|begin_ms| (count(begin_ms), *begin_ms));
  counts.max().unwrap_or((0, 0))
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-desk","host":"a.example","pathPrefix":"/desk/","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2}],"services":[{"name":"desk","healthPath":"/health","maxConnections":430,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
