//! Further play: the boxes' open channels to the store go silent, and the operator moves a route to another service.

use {
  super::{
    deployment::{Deployment, Servers, ZONES, temporary_folder},
    http::Response,
    outcome::Outcome,
    record::{Record, lock},
  },
  std::{
    io::{self, Write},
    net::TcpStream,
    sync::{Arc, Mutex},
    thread::sleep,
    time::Duration,
  },
};

const BOXES: u8 = 6;
const PER_S: f64 = 40.0;
const TRAFFIC: Duration = Duration::from_millis(16_000);
/// The channels go silent.
const SILENT_AT: Duration = Duration::from_millis(5_000);
/// Then the operator moves the route; the store acknowledges it at once.
const MOVED_AFTER: Duration = Duration::from_millis(1_000);
const END_AT: Duration = Duration::from_millis(19_000);
/// `configApplyMs` and `contactMs`.
const CONFIG_APPLY_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
/// Duration of a request.
const WORK: Duration = Duration::from_millis(20);
/// The client's time budget.
const BUDGET: Duration = Duration::from_millis(1_500);
const FORMER_SERVICE: &str = "portal";
const NEW_SERVICE: &str = "portal-next";

/// A request, its box, when it was sent, its status, and the service that ran it.
struct Sent {
  id: String,
  at: String,
  sent_ms: u64,
  status: Option<u16>,
  served_by: Option<String>,
}

/// Plays the case.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
  let folder = temporary_folder("stale")?;
  let servers = Servers::Plain(&[FORMER_SERVICE, NEW_SERVICE], WORK);
  let configured = configuration(7, FORMER_SERVICE);
  let deployment = Deployment::start(record, &folder, BOXES, &configured, servers);
  let deployment = Arc::new(deployment?);
  let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
  let of_clients = sent.clone();
  deployment.start_traffic(PER_S, TRAFFIC, move |deployment, number| {
    let request = send(deployment, number);
    deployment.record.line(&format!(
      "client: {} at {} sent {} ms, status {:?}, served by {:?}",
      request.id, request.at, request.sent_ms, request.status, request.served_by
    ));
    lock(&of_clients).push(request);
  })?;
  deployment.wait_until(SILENT_AT);
  // A box waits longest for a watch that goes silent at its beginning.
  deployment.store.wait_for_watch();
  let silent_ms = record.now_ms();
  if has_trouble {
    deployment.store.silence_open_channels();
  }
  sleep(MOVED_AFTER);
  deployment
    .store
    .put("op/config", &configuration(8, NEW_SERVICE));
  let acknowledged_ms = record.now_ms();
  deployment.wait_until(END_AT);
  deployment.stop();
  let sent = lock(&sent);
  // Machines are in touch again this long after the channels went silent.
  let from_ms = (acknowledged_ms + CONFIG_APPLY_MS).max(silent_ms + CONTACT_MS);
  let stale = sent
    .iter()
    .filter(|request| request.sent_ms > from_ms)
    .filter(|request| request.served_by.as_deref() == Some(FORMER_SERVICE));
  let mut count = 0;
  let mut last_ms = 0;
  for request in stale {
    count += 1;
    last_ms = last_ms.max(request.sent_ms);
    record.line(&format!(
      "STALE: {} at {}, sent at {} ms, {} ms after the acknowledgement, run by {FORMER_SERVICE}",
      request.id,
      request.at,
      request.sent_ms,
      request.sent_ms - acknowledged_ms
    ));
  }
  record.result(&format!(
    "{} requests, {count} of them run by the former service although sent over {CONFIG_APPLY_MS} ms after the acknowledgement \
     at {acknowledged_ms} ms and at machines in touch (from {from_ms} ms on), the last at {last_ms} ms; 0 allowed",
    sent.len()
  ));
  Ok(Outcome::of(count > 0))
}

/// Sends one request on a channel of its own.
fn send(deployment: &Deployment, number: u64) -> Sent {
  let node = deployment.pick_box(number, number as usize / ZONES.len(), "");
  let id = format!("u{number:04}");
  let sent_ms = deployment.record.now_ms();
  let response = TcpStream::connect_timeout(&node.front, BUDGET).and_then(|mut stream| {
    stream.set_read_timeout(Some(BUDGET))?;
    let request = format!(
      "POST /clips/1 HTTP/1.1\r\nHost: lectures.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\n{{}}",
      BUDGET.as_millis()
    );
    stream.write_all(request.as_bytes())?;
    Response::read(stream)
  });
  let response = response.ok();
  Sent {
    at: node.name.clone(),
    id,
    sent_ms,
    served_by: response
      .as_ref()
      .and_then(|response| response.headers.get("x-served-by").map(str::to_owned)),
    status: response.map(|response| response.status),
  }
}

/// A configuration in which a service serves the route.
fn configuration(version: u64, service: &str) -> String {
  let service_entry = |name| {
    format!(
      "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}"
    )
  };
  format!(
    "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"lectures.example\",\"pathPrefix\":\"/clips/\",\
     \"kind\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"{service}\",\
     \"maxAttempts\":1}}],\"services\":[{},{}],\
     \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
    service_entry(FORMER_SERVICE),
    service_entry(NEW_SERVICE)
  )
}
