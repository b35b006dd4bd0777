//! A request that ends each engine that runs it comes again under new ids, at all boxes.
//!
//! Two requests ended sixteen engines each although every try kept to its route's two attempts. The engine ended within a tenth
//! of a second of the first token, the box sent the request to one more engine, which ended too, and told the caller that its stream
//! was broken off. Then the caller came again, at another box and under another id, and it all began anew: nothing that a box
//! knew of a request outlasted its try, and no box told another. What settled it, for two tries of one request at one box:
//!
//! ```text
//! E510 streaming: at i-8c25dbc6ee with status 200 OK, read by i-e2eb8de501: seat 1 ms, prompt 36 ms, head 13 ms, try 1
//! E506 stream broke: after event None: error reading a body from connection
//! E510 streaming: at i-06ebedeca0 with status 200 OK, read by i-d5faae2d4a: seat 8 ms, prompt 39 ms, head 18 ms, try 2
//! E506 stream broke: after event None: error reading a body from connection
//! E511 reservation failed: at i-8c25dbc6ee: unsent: Connection refused (os error 111)
//! ```

use {
  super::{EndpointStandIn, GatewayBox, GatewayTest, Reply, Seen, endpoint::engine_reply},
  http::{Request, StatusCode},
  http_body_util::Full,
  std::time::Duration,
  tokio::time::sleep,
};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// The body that ends engines.
const CRASHING: &str = "a prompt that no engine survives";
/// How long an engine is down.
const DOWN: Duration = Duration::from_millis(300);
/// Engines that write answers.
const WRITERS: usize = 6;
/// The users' bound on what boxes know of each other, as in the boxes' settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// The users' bound: so many more may be sent such a request after that.
const MOST_MORE: usize = 3;

/// An engine that ends as soon as it runs the crashing request.
pub(super) fn fragile(seen: &Seen) -> Reply {
  if is_crashing_run(seen) {
    return Reply::End(Reply::stream_part(seen, "").replace("0\r\n\r\n", ""), DOWN);
  }
  engine_reply(seen, EVENTS)
}

pub(super) fn is_crashing_run(seen: &Seen) -> bool {
  !seen.is_prompt() && seen.body == CRASHING.as_bytes()
}

/// Engines that write answers and are as easily ended, each back under its id.
pub(super) async fn fragile_writers(test: &GatewayTest, count: usize) -> Vec<EndpointStandIn> {
  let mut writers = Vec::new();
  for number in 0..count {
    let store = test.store.clone();
    let id = format!("e-{}", 10 + number);
    let on_start = move |address, start| {
      GatewayTest::enter_life(&store, &id, "decode", address, 1_000 * start);
    };
    writers.push(EndpointStandIn::start_in_lives(fragile, on_start).await);
  }
  writers
}

/// How often the crashing request has begun to run.
pub(super) fn crashing_runs(writers: &[EndpointStandIn]) -> usize {
  let runs = writers.iter().flat_map(EndpointStandIn::requests);
  runs.filter(is_crashing_run).count()
}

/// The crashing request, under an id of its own.
pub(super) fn crashing(gateway: &GatewayBox, id: &str) -> Request<Full<bytes::Bytes>> {
  let mut request = gateway.request("/resumable/a", id);
  *request.body_mut() = Full::from(CRASHING);
  request
}

#[tokio::test]
async fn request_that_ended_three_engines_is_sent_to_few_more_whichever_box_it_comes_to() {
  let test = GatewayTest::new().await;
  let reader = EndpointStandIn::engine(EVENTS).await;
  test.enter("e-1", "llm", Some("prefill"), &reader);
  let writers = fragile_writers(&test, WRITERS).await;
  let others = ["north-2", "north-3"].map(|name| test.beside(name, test.store.address));
  let mut boxes = vec![test.start().await];
  for other in others {
    boxes.push(other.start().await);
  }
  let mut tries = 0;
  while crashing_runs(&writers) < 3 {
    tries += 1;
    let gateway = &boxes[tries % boxes.len()];
    let _ = gateway.send(crashing(gateway, &format!("c-{tries}"))).await;
    sleep(DOWN).await;
  }
  sleep(CONTACT).await;
  let before = crashing_runs(&writers);
  for number in 0..12 {
    let gateway = &boxes[number % boxes.len()];
    let _ = gateway
      .send(crashing(gateway, &format!("d-{number}")))
      .await;
    sleep(DOWN / 2).await;
  }
  let more = crashing_runs(&writers) - before;
  assert!(more <= MOST_MORE, "it was sent to {more} more engines");
  sleep(2 * DOWN).await;
  for gateway in &boxes {
    let asked = gateway.ask("/resumable/a", "other").await;
    assert_eq!(asked.status, StatusCode::OK);
    assert_eq!(asked.body.unwrap(), EVENTS);
  }
}
