//! Boxes that can't reach endpoints which other boxes reach.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::{engine_reply, leaving, limited},
  },
  emulator::{
    eventually,
    forwarding::{CutPattern, ForwardingFleet, ForwardingWay, replay_forwarding},
  },
  http::StatusCode,
  rillford::{
    HttpClient,
    gateway::{EndpointGroup, PeerAnswers, PeerList, Reachability},
  },
  rstest::rstest,
  socket2::{Domain, Socket, Type},
  std::{
    collections::BTreeSet,
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
  },
  tokio::time::sleep,
};

const EVENTS: &str = "id: 1\ndata: a\n\n";

/// How connections to an endpoint fail at a box.
#[derive(Clone, Copy, Debug)]
pub(super) enum Cut {
  /// Connection attempts get no answer.
  Hang,
  /// Connection attempts are refused.
  Refuse,
}

/// An address at which connection attempts fail, as long as it is held.
pub(super) struct CutAddress {
  pub(super) address: SocketAddr,
  _socket: Socket,
  _queued: Vec<TcpStream>,
}

impl CutAddress {
  pub(super) fn new(cut: Cut) -> Self {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    // Bound in any case: the port of a closed socket may go to another test.
    socket.bind(&any.into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let queued = match cut {
      Cut::Hang => fill_queue(&socket, address),
      Cut::Refuse => Vec::new(),
    };
    Self {
      address,
      _queued: queued,
      _socket: socket,
    }
  }
}

/// Listens and accepts nothing: the queue is full, and further attempts are dropped.
fn fill_queue(listener: &Socket, address: SocketAddr) -> Vec<TcpStream> {
  listener.listen(0).unwrap();
  let mut queued = Vec::new();
  while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
    queued.push(stream);
  }
  queued
}

/// A box that reaches no endpoint, and one that reaches all.
struct CutOffBox {
  cut_off: GatewayBox,
  other: GatewayBox,
  portal: EndpointStandIn,
  decode: EndpointStandIn,
  prefill: EndpointStandIn,
  _addresses: Vec<CutAddress>,
}

impl CutOffBox {
  async fn start(cut: Cut) -> Self {
    Self::start_with(cut, EndpointStandIn::engine(EVENTS).await).await
  }

  async fn start_with(cut: Cut, decode: EndpointStandIn) -> Self {
    let portal = EndpointStandIn::start(|seen| Reply::ok(seen, "portal")).await;
    Self::start_between(cut, portal, decode).await
  }

  async fn start_with_portal(reply: fn(&ReceivedRequest) -> Reply) -> Self {
    let portal = EndpointStandIn::start(reply).await;
    Self::start_between(Cut::Refuse, portal, EndpointStandIn::engine(EVENTS).await).await
  }

  async fn start_between(cut: Cut, portal: EndpointStandIn, decode: EndpointStandIn) -> Self {
    let prefill = EndpointStandIn::engine(EVENTS).await;
    let entries = [
      ("p-1", "portal", None, &portal),
      ("e-1", "llm", Some("prefill"), &prefill),
      ("e-2", "llm", Some("decode"), &decode),
    ];
    let (test, other) = (GatewayTest::new().await, GatewayTest::new().await);
    let mut addresses = Vec::new();
    for (id, service, stage, endpoint) in entries {
      let address = CutAddress::new(cut);
      test.enter_at(id, service, stage, address.address, "ready");
      other.enter_at(id, service, stage, endpoint.address, "ready");
      addresses.push(address);
    }
    let cut_off = test.start().await;
    let other = other.named("north-2").start().await;
    cut_off.test.enter_box("north-2", other.boxes);
    other.test.enter_box("north-1", cut_off.boxes);
    let lists_both = async |gateway: &GatewayBox| gateway.metric("rillford_boxes").await == 2.0;
    assert!(eventually(TIMEOUT, async || lists_both(&cut_off).await).await);
    assert!(eventually(TIMEOUT, async || lists_both(&other).await).await);
    Self {
      _addresses: addresses,
      cut_off,
      decode,
      other,
      portal,
      prefill,
    }
  }
}

/// Guards against a box that rejects the requests which the box beside it could serve.
#[rstest]
#[tokio::test]
async fn callers_of_a_box_that_reaches_no_endpoint_are_served(
  #[values(Cut::Hang, Cut::Refuse)] cut: Cut,
  #[values("/safe/a", "/unsafe/a", "/resumable/a", "/stream/a")] path: &str,
) {
  let boxes = CutOffBox::start(cut).await;
  let sent = 9;
  let mut served = 0;
  for number in 0..sent {
    let response = boxes.cut_off.ask(path, &format!("r{number}")).await;
    served += usize::from(response.status == StatusCode::OK && response.body.is_ok());
  }
  assert!(3 * served >= 2 * sent, "{served} of {sent} served");
  let arrived = boxes.portal.requests().len() + boxes.decode.requests().len();
  assert_eq!(arrived, served);
  assert!(boxes.prefill.requests().len() <= served);
  assert!(boxes.other.is_ready().await);
}

/// A box that reaches no endpoint, beside another box at an address.
async fn cut_off_beside(address: SocketAddr) -> (GatewayBox, Vec<CutAddress>) {
  let test = GatewayTest::new().await;
  let addresses = vec![CutAddress::new(Cut::Refuse)];
  test.enter_at("p-1", "portal", None, addresses[0].address, "ready");
  test.enter_box("north-2", address);
  let cut_off = test.start().await;
  assert!(
    eventually(TIMEOUT, async || cut_off.metric("rillford_boxes").await
      == 2.0)
    .await
  );
  (cut_off, addresses)
}

/// Guards against a request that boxes pass to each other, or hold, while none reaches an endpoint.
#[tokio::test]
async fn boxes_that_are_all_cut_off_reject_at_once() {
  let (one, _one_addresses) = cut_off_beside(CutAddress::new(Cut::Refuse).address).await;
  let (other, _other_addresses) = cut_off_beside(one.boxes).await;
  one.test.enter_box("north-2", other.boxes);
  for number in 0..6 {
    let response = one.ask("/unsafe/a", &format!("r{number}")).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
  }
  for gateway in [&one, &other] {
    assert_eq!(gateway.metric("rillford_forwarded_total").await, 0.0);
    assert_eq!(
      gateway.metric("rillford_accepted_from_boxes_total").await,
      0.0
    );
  }
}

/// Interval between a caller's requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a cut has to be noticed.
const CONTACT: Duration = Duration::from_secs(3);

/// Sends requests for [`CONTACT`], then `count` more; returns how many of these were served.
async fn served_after_contact(gateway: &GatewayBox, path: &str, count: usize) -> usize {
  let began = Instant::now();
  let (mut counted, mut served) = (0, 0);
  for number in 0.. {
    let is_counted = began.elapsed() >= CONTACT;
    let response = gateway.ask(path, &format!("r{number}")).await;
    counted += usize::from(is_counted);
    served += usize::from(is_counted && response.status == StatusCode::OK);
    if counted == count {
      break;
    }
    sleep(REQUEST_INTERVAL).await;
  }
  served
}

/// Guards against callers who are rejected because only boxes that are cut off as well are asked.
#[rstest]
#[tokio::test]
async fn callers_are_served_while_nearly_all_boxes_are_cut_off(
  #[values(Cut::Hang, Cut::Refuse)] cut: Cut,
  #[values("/unsafe/a", "/stream/a")] path: &str,
) {
  let boxes = CutOffBox::start(cut).await;
  let mut others = Vec::new();
  for number in 3..43 {
    let declines = |seen: &ReceivedRequest| Reply::status(seen, "421 Misdirected Request", "");
    let other = EndpointStandIn::start(declines).await;
    let test = &boxes.cut_off.test;
    test.enter_box(&format!("north-{number}"), other.address);
    others.push(other);
  }
  let lists_all = async || boxes.cut_off.metric("rillford_boxes").await == 42.0;
  assert!(eventually(TIMEOUT, lists_all).await);
  let sent = 30;
  let served = served_after_contact(&boxes.cut_off, path, sent).await;
  assert!(3 * served >= 2 * sent, "{served} of {sent} served");
}

/// Guards against a box that does not notice that it is cut off, since no endpoint's limit leaves it a request to try.
#[rstest]
#[tokio::test]
async fn cut_off_box_without_permits_forwards_its_requests(
  #[values(Cut::Hang, Cut::Refuse)] cut: Cut,
) {
  let boxes = CutOffBox::start(cut).await;
  let limited_portal = EndpointStandIn::start(|seen| limited(Reply::ok(seen, "one"), "0")).await;
  let test = &boxes.cut_off.test;
  test.enter("p-2", "portal", None, &limited_portal);
  test.store.remove("servers/p-1");
  let has_limit = async || {
    boxes.cut_off.ask("/unsafe/a", "r").await;
    boxes.cut_off.metric("rillford_endpoints_limited").await == 1.0
  };
  assert!(eventually(TIMEOUT, has_limit).await);
  let address = CutAddress::new(cut);
  test.enter_at("p-2", "portal", None, address.address, "ready");
  let sent = 30;
  let served = served_after_contact(&boxes.cut_off, "/unsafe/a", sent).await;
  assert!(3 * served >= 2 * sent, "{served} of {sent} served");
}

/// Guards against a second run of a request that another box may have had run.
#[tokio::test]
async fn request_lost_at_another_box_is_sent_to_no_further_one() {
  let lossy = EndpointStandIn::start(|_| Reply::WriteAndClose(String::new())).await;
  let (cut_off, _addresses) = cut_off_beside(lossy.address).await;
  for number in 3..6 {
    cut_off
      .test
      .enter_box(&format!("north-{number}"), lossy.address);
  }
  let response = cut_off.ask("/unsafe/a", "r1").await;
  assert_eq!(response.status, StatusCode::BAD_GATEWAY);
  assert_eq!(lossy.received().len(), 1);
}

#[tokio::test]
async fn box_without_forwarding_is_passed_over() {
  let not_found = |seen: &ReceivedRequest| Reply::status(seen, "404 Not Found", "");
  let older = EndpointStandIn::start(not_found).await;
  let (cut_off, _addresses) = cut_off_beside(older.address).await;
  let response = cut_off.ask("/safe/a", "r1").await;
  assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
  let forwarded = &older.received()[0];
  assert_eq!(forwarded.path, "/forward/safe/a");
  let remaining_ms: u64 = forwarded.header("rillford-remaining-ms").parse().unwrap();
  assert!(remaining_ms <= 4_000, "{remaining_ms}");
}

#[tokio::test]
async fn leaving_box_declines_forwarded_requests() {
  let boxes = CutOffBox::start(Cut::Refuse).await;
  boxes.other.signal(libc::SIGTERM);
  assert!(eventually(TIMEOUT, async || !boxes.other.is_ready().await).await);
  let response = boxes.cut_off.ask("/unsafe/a", "r1").await;
  assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
  assert!(boxes.portal.requests().is_empty());
}

#[tokio::test]
async fn engine_is_freed_when_the_caller_of_a_forwarded_stream_disconnects() {
  let decode = EndpointStandIn::start(|seen| {
    if seen.path.starts_with("/stream/") && !seen.is_prefill() {
      Reply::NoResponse
    } else {
      engine_reply(seen, EVENTS)
    }
  })
  .await;
  let boxes = CutOffBox::start_with(Cut::Refuse, decode).await;
  let pending = boxes.cut_off.ask_in_background("/stream/a", "r1");
  assert!(eventually(TIMEOUT, async || boxes.decode.requests().len() == 1).await);
  pending.abort();
  assert!(eventually(TIMEOUT, async || boxes.decode.closed().len() == 1).await);
}

#[tokio::test]
async fn forwarded_stream_ends_when_its_caller_disconnects_midway() {
  let decode = EndpointStandIn::start(|seen| {
    if seen.path.starts_with("/stream/") && !seen.is_prefill() {
      Reply::Write(Reply::stream_part(seen, EVENTS))
    } else {
      engine_reply(seen, EVENTS)
    }
  })
  .await;
  let boxes = CutOffBox::start_with(Cut::Refuse, decode).await;
  let request = boxes.cut_off.request("/stream/a", "r1");
  let response = HttpClient::default().send(request).await.unwrap();
  assert_eq!(response.status(), StatusCode::OK);
  drop(response);
  let is_gone = async || boxes.other.metric("rillford_callers_gone_total").await == 1.0;
  assert!(eventually(TIMEOUT, is_gone).await);
}

impl CutOffBox {
  /// Lets the box reach its plain endpoint.
  fn heal(&self) {
    let address = self.portal.address;
    let test = &self.cut_off.test;
    test.enter_at("p-1", "portal", None, address, "ready");
  }

  async fn is_cut_off(&self) -> bool {
    let row = "rillford_unreachable{service=\"portal\",role=\"none\"}";
    self.cut_off.metric(row).await == 1.0
  }
}

#[tokio::test]
async fn box_serves_by_itself_again_once_it_reaches_an_endpoint() {
  let boxes = CutOffBox::start(Cut::Hang).await;
  let mut number = 0;
  let mut ask = async || {
    number += 1;
    boxes
      .cut_off
      .ask("/unsafe/a", &format!("r{number}"))
      .await
      .status
  };
  while !boxes.is_cut_off().await {
    assert_eq!(ask().await, StatusCode::OK);
  }
  boxes.heal();
  assert!(eventually(TIMEOUT, async || !boxes.is_cut_off().await).await);
  let forwarded = boxes.cut_off.metric("rillford_forwarded_total").await;
  for _ in 0..5 {
    assert_eq!(ask().await, StatusCode::OK);
  }
  assert_eq!(
    boxes.cut_off.metric("rillford_forwarded_total").await,
    forwarded
  );
}

/// Guards against new requests to an endpoint whose shutdown notice this box has passed on for another one.
#[tokio::test]
async fn notice_in_a_forwarded_response_counts_at_this_box() {
  let boxes = CutOffBox::start_with_portal(|seen| leaving(Reply::ok(seen, "portal"))).await;
  let response = boxes.cut_off.ask("/unsafe/a", "r1").await;
  assert_eq!(response.status, StatusCode::OK);
  assert!(!response.headers.contains_key("rillford-endpoint"));
  boxes.heal();
  let notices = boxes.cut_off.metric("rillford_leaving_notices_total").await;
  assert_eq!(notices, 1.0);
  let response = boxes.cut_off.ask("/unsafe/a", "r2").await;
  assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
  assert_eq!(boxes.portal.requests().len(), 1);
}

/// Guards against a box that asks for callers while it can serve none by itself.
#[tokio::test]
async fn box_is_not_ready_while_it_reaches_no_endpoint_at_all() {
  let boxes = CutOffBox::start(Cut::Refuse).await;
  let mut number = 0;
  let mut ask_all = async || {
    for path in ["/unsafe/a", "/stream/a"] {
      number += 1;
      let response = boxes.cut_off.ask(path, &format!("r{number}")).await;
      assert_eq!(response.status, StatusCode::OK);
    }
  };
  while boxes.cut_off.is_ready().await {
    ask_all().await;
  }
  assert!(boxes.other.is_ready().await);
  // Callers on open connections are served all the same.
  ask_all().await;
  boxes.heal();
  assert!(boxes.cut_off.becomes_ready().await);
}

/// Guards against a box that needs many requests to notice that it reaches no endpoint.
#[test]
fn group_is_suspected_after_one_failure_without_contact() {
  let group = EndpointGroup {
    role: None,
    service: "portal".into(),
  };
  let mut reachability = Reachability::default();
  reachability.record_contact(&group, 1_000);
  reachability.record_failure(&group, "a".into(), 5, 1_100);
  assert_eq!(reachability.suspected(1_200).count(), 0);
  assert_eq!(reachability.suspected(1_300).count(), 1);
  // Failures beside contact with others don't make a group unreachable.
  reachability.record_failure(&group, "b".into(), 5, 1_290);
  assert_eq!(
    reachability.record_failure(&group, "c".into(), 5, 1_299),
    None
  );
  assert!(
    reachability
      .record_failure(&group, "d".into(), 5, 1_300)
      .is_some()
  );
  assert_eq!(reachability.suspected(1_400).count(), 0);
  assert_eq!(reachability.record_contact(&group, 1_800), Some(500));
}

/// Guards against a group that is never tried, since no request may be sent there.
#[test]
fn group_is_suspected_when_its_requests_can_not_be_sent() {
  let group = EndpointGroup {
    role: None,
    service: "portal".into(),
  };
  let mut reachability = Reachability::default();
  reachability.record_contact(&group, 1_000);
  assert_eq!(reachability.suspected(9_000).count(), 0);
  reachability.record_unsent(group.clone());
  assert_eq!(reachability.suspected(1_999).count(), 0);
  assert_eq!(reachability.suspected(2_000).count(), 1);
  reachability.record_contact(&group, 2_000);
  assert_eq!(reachability.suspected(9_000).count(), 0);
}

/// Guards against services that are noticed one after the other when a box loses the paths to all endpoints.
#[test]
fn groups_are_suspected_when_another_group_becomes_unreachable() {
  let [portal, engines] = ["portal", "llm"].map(|service| EndpointGroup {
    role: None,
    service: service.into(),
  });
  let mut reachability = Reachability::default();
  reachability.record_contact(&portal, 1_000);
  reachability.record_contact(&engines, 1_000);
  let lost = reachability.record_failure(&portal, "a".into(), 1, 1_300);
  assert!(lost.is_some());
  let suspected: Vec<_> = reachability.suspected(1_300).collect();
  assert_eq!(suspected, [(&engines, 0)]);
  reachability.record_contact(&engines, 1_400);
  assert_eq!(reachability.suspected(9_000).count(), 0);
}

/// Guards against callers of boxes in wide cuts who are rejected while other boxes could serve them.
#[rstest]
#[case::one(CutPattern::One, 58)]
#[case::half(CutPattern::Half, 58)]
#[case::four_of_five(CutPattern::FourOfFive, 58)]
#[case::one_hall(CutPattern::OneHall, 58)]
#[case::all_but_one_hall(CutPattern::AllButOneHall, 58)]
#[case::nearly_all_of_few(CutPattern::NearlyAll, 8)]
#[case::nearly_all(CutPattern::NearlyAll, 58)]
#[case::nearly_all_of_many(CutPattern::NearlyAll, 300)]
fn replay_of_a_wide_cut_serves_callers_of_cut_boxes(
  #[case] pattern: CutPattern,
  #[case] boxes: usize,
) {
  let fleet = ForwardingFleet {
    boxes,
    halls: 3,
    requests_per_s: 5.6,
  };
  let figures = replay_forwarding(pattern, fleet, ForwardingWay::Remembered, 1);
  assert!(figures.served_share() >= 2.0 / 3.0, "{figures:?}");
}

/// Guards against boxes that spend their time on asking each other while none reaches an endpoint.
#[test]
fn replay_of_boxes_that_are_all_cut_off_bounds_what_they_ask() {
  let fleet = ForwardingFleet {
    boxes: 58,
    halls: 3,
    requests_per_s: 5.6,
  };
  let figures = replay_forwarding(CutPattern::All, fleet, ForwardingWay::Remembered, 1);
  assert_eq!(figures.served, 0);
  assert!(figures.asked_per_request() <= 3.0, "{figures:?}");
}

/// A box that declined is asked again after those that were not asked for longer.
#[test]
fn search_for_an_accepting_box_gets_to_all_boxes() {
  let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
  let peers = PeerList {
    other_halls: (1..=41).map(address).collect(),
    ..PeerList::default()
  };
  let mut answers = PeerAnswers::default();
  let mut asked = BTreeSet::new();
  for request in 0..6 {
    let now_ms = request * 2_000;
    let mut tried = Vec::new();
    while let Some(peer) = answers.next("llm", &peers, &tried, now_ms, || 0.0) {
      answers.record_declined("llm", peer, now_ms);
      tried.push(peer);
      asked.insert(peer);
    }
    assert!(!tried.is_empty());
    answers.record_fruitless("llm", now_ms);
  }
  assert_eq!(asked.len(), 41);
}
