//! A prompt segment on which each engine crashes, in requests of which no two are alike and that come to all boxes.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::engine_reply, harness::CallerResponse,
  },
  bytes::Bytes,
  emulator::eventually,
  http::{Request, StatusCode},
  http_body_util::Full,
  std::time::Duration,
  tokio::time::sleep,
};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// The segment on which engines crash.
const CRASHING: &str = "dead0000";
/// How long a crashed engine is down.
const DOWNTIME: Duration = Duration::from_millis(300);
const DECODE_ENGINES: usize = 6;
/// Crashes after which the segment has to be known.
const CRASHES: usize = 5;
/// Time within which boxes share what they know, as in their settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Bound on the requests with the segment that reach engines after that.
const MAX_MORE: usize = 3;

fn is_crashing_run(seen: &ReceivedRequest) -> bool {
  !seen.is_prefill() && seen.header("x-prompt-prefix").contains(CRASHING)
}

/// An engine that crashes as soon as it begins to answer a request with the segment.
fn fragile(seen: &ReceivedRequest) -> Reply {
  if is_crashing_run(seen) {
    let head = Reply::stream_part(seen, "").replace("0\r\n\r\n", "");
    return Reply::Crash(head, DOWNTIME);
  }
  engine_reply(seen, EVENTS)
}

/// Three boxes before engines that crash on the segment, and restart under the same ids.
struct Fleet {
  boxes: Vec<GatewayBox>,
  engines: Vec<EndpointStandIn>,
  prefill: EndpointStandIn,
}

impl Fleet {
  async fn start() -> Self {
    let test = GatewayTest::new().await;
    let prefill = EndpointStandIn::engine(EVENTS).await;
    test.enter("e-1", "llm", Some("prefill"), &prefill);
    let mut engines = Vec::new();
    for number in 0..DECODE_ENGINES {
      let store = test.store.clone();
      let id = format!("e-{}", 10 + number);
      let on_start = move |address, start| {
        GatewayTest::enter_incarnation(&store, &id, "decode", address, start);
      };
      engines.push(EndpointStandIn::start_restartable(fragile, on_start).await);
    }
    let others = ["north-2", "north-3"].map(|name| test.second_box(name, test.store.address));
    let mut boxes = vec![test.start().await];
    for other in others {
      boxes.push(other.start().await);
    }
    Self {
      boxes,
      engines,
      prefill,
    }
  }

  /// Requests with the segment that reached decode engines.
  fn crashing_runs(&self) -> usize {
    let runs = self.engines.iter().flat_map(EndpointStandIn::requests);
    runs.filter(is_crashing_run).count()
  }

  /// Sends a request of which no other has the body or the last segment.
  async fn send(&self, number: usize, segment: &str) -> CallerResponse {
    let gateway = &self.boxes[number % self.boxes.len()];
    let prompt = format!("5c1e07a2:60,{segment}:30,last{number}:10");
    let mut request: Request<Full<Bytes>> =
      gateway.request("/resumable/a", &format!("{segment}-{number}"));
    *request.body_mut() = Full::from(format!("prompt {segment} {number}"));
    let headers = request.headers_mut();
    headers.insert("x-prompt-prefix", prompt.parse().unwrap());
    gateway.send(request).await
  }

  /// Sends such a request; whether it was served whole.
  async fn ask(&self, number: usize, segment: &str) -> bool {
    let response = self.send(number, segment).await;
    response.status == StatusCode::OK && response.body.is_ok()
  }

  /// Sends requests with the segment until it has crashed several engines.
  async fn crash_some(&self) {
    let mut number = 0;
    while self.crashing_runs() < CRASHES {
      self.ask(number, CRASHING).await;
      number += 1;
      sleep(DOWNTIME / 10).await;
    }
  }
}

/// Guards against crash loops by requests that share a segment only.
#[tokio::test]
async fn segment_that_crashed_five_engines_reaches_few_more_in_any_request() {
  let fleet = Fleet::start().await;
  for number in 0..9 {
    fleet.ask(number, "91bd3f06").await;
  }
  fleet.crash_some().await;
  sleep(CONTACT).await;
  let before = fleet.crashing_runs();
  let prefilled = fleet.prefill.requests().len();
  let mut sound = 0;
  for number in 100..118 {
    fleet.ask(number, CRASHING).await;
    sound += usize::from(fleet.ask(number, "91bd3f06").await);
    sleep(DOWNTIME / 3).await;
  }
  let more = fleet.crashing_runs() - before;
  assert!(more <= MAX_MORE, "{more} more engines got the segment");
  assert!(2 * sound >= 18, "{sound} of 18 sound requests served");
  // What is rejected is rejected before its prompt is prefilled.
  let prefilled = fleet.prefill.requests().len() - prefilled;
  assert!(prefilled <= 18 + MAX_MORE, "{prefilled} prompts prefilled");
}

/// Guards against sound requests that stay rejected since crashing ones use up the probes of the segments that they share.
#[tokio::test]
async fn segment_that_was_blamed_with_a_crashing_one_is_freed_by_a_sound_request() {
  let fleet = Fleet::start().await;
  fleet.crash_some().await;
  sleep(CONTACT).await;
  let before = fleet.crashing_runs();
  let mut sound = 0;
  for number in 100..118 {
    fleet.ask(number, CRASHING).await;
    sound += usize::from(fleet.ask(number, "91bd3f06").await);
    sleep(DOWNTIME / 3).await;
  }
  let more = fleet.crashing_runs() - before;
  assert!(more <= MAX_MORE, "{more} more engines got the segment");
  assert!(2 * sound >= 18, "{sound} of 18 sound requests served");
}

/// Guards against a rejected request whose caller does not learn when to come back.
#[tokio::test]
async fn request_with_a_crashing_segment_is_rejected_with_a_time_to_come_back() {
  let fleet = Fleet::start().await;
  fleet.crash_some().await;
  let mut number = 100;
  // The probe crashes one more engine.
  let has_probe = async || {
    number += 1;
    fleet.ask(number, CRASHING).await;
    let keys = fleet.boxes[0].test.store.keys();
    keys.iter().any(|key| key.contains("trial-"))
  };
  assert!(eventually(TIMEOUT, has_probe).await);
  let before = fleet.crashing_runs();
  for number in 200..206 {
    let response = fleet.send(number, CRASHING).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
  }
  assert_eq!(fleet.crashing_runs(), before);
}
