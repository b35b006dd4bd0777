//! Queue reservations at prefill engines: a box reserves a place before it sends a prompt, and goes on without one when the coordinator
//! does not answer.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::{engine_reply, with_header},
  },
  bytes::Bytes,
  emulator::{eventually, own_addresses},
  http::{Request, StatusCode},
  http_body_util::Full,
  rillford::{
    HttpClient,
    gateway::{BoxEntry, BoxList, EndpointIncarnation, Place, PlaceId, PlaceOutcome, PrefillGroup},
    ids::Name,
  },
  rstest::rstest,
  std::{net::SocketAddr, os::fd::AsRawFd, time::Duration},
  tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
  },
};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// How long the engines of the tests take for a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(600);
/// A decode engine that reports a slowdown has this header in its responses to calls.
const SLOWED: &str = "x-server-load: 0,0,8,150";

/// Settings with a value of `enabled`; engines keep their roles.
fn settings(enabled: &str) -> String {
  format!("[prefill_queue]\nenabled = \"{enabled}\"\n[mechanisms]\nrole_orders = false\n")
}

async fn test(enabled: &str) -> GatewayTest {
  let mut test = GatewayTest::new().await;
  test.extra_settings = settings(enabled);
  test
}

fn group(hall: &str) -> PrefillGroup {
  PrefillGroup {
    hall: hall.into(),
    service: "llm".into(),
    shard: 0,
  }
}

/// The first of some boxes of the hall that is the coordinator of its group.
fn coordinator(names: &[String]) -> Name {
  let mut boxes = BoxList::default();
  for name in names {
    let entry = BoxEntry {
      address: "127.0.0.1:1".parse().unwrap(),
      hall: "north".into(),
    };
    boxes.put(name.as_str().into(), entry);
  }
  group("north").coordinator(&boxes).unwrap().0
}

/// The name of a box that is the coordinator beside the box `north-1`.
fn name_before_north_1() -> String {
  let names = (2..).map(|number| format!("north-{number}"));
  let is_first = |name: &String| *coordinator(&["north-1".into(), name.clone()]) == **name;
  names.take(100).find(is_first).unwrap()
}

/// An engine that takes some time for a prompt.
async fn slow_prefill() -> EndpointStandIn {
  EndpointStandIn::start(|seen| match engine_reply(seen, EVENTS) {
    Reply::Write(text) if seen.is_prefill() => Reply::WriteLater(PREFILL_TIME, text),
    reply => reply,
  })
  .await
}

fn stream_request(gateway: &GatewayBox, id: &str) -> Request<Full<Bytes>> {
  let mut request = gateway.request("/stream/a", id);
  let counts = "5000,50".parse().unwrap();
  request.headers_mut().insert("x-token-counts", counts);
  request
}

async fn is_served(gateway: &GatewayBox, id: &str) -> bool {
  gateway.send(stream_request(gateway, id)).await.status == StatusCode::OK
}

async fn know_each_other(boxes: &[&GatewayBox]) -> bool {
  let know = async || {
    for gateway in boxes {
      if gateway.metric("rillford_boxes").await < boxes.len() as f64 {
        return false;
      }
    }
    true
  };
  eventually(TIMEOUT, know).await
}

/// The messages on places that a box received.
fn place_messages(peer: &EndpointStandIn) -> Vec<ReceivedRequest> {
  let received = peer.received().into_iter();
  received
    .filter(|message| message.path.starts_with("/prefill-"))
    .collect()
}

fn count(messages: &[ReceivedRequest], path: &str) -> usize {
  messages
    .iter()
    .filter(|message| message.path == path)
    .count()
}

/// A peer that is the coordinator, with a box that has one prefill and one decode engine.
async fn box_beside(
  test: GatewayTest,
  peer: SocketAddr,
  decode: &EndpointStandIn,
) -> (GatewayBox, EndpointStandIn) {
  test.enter_box(&name_before_north_1(), peer);
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let gateway = test.with_engines(&prefill, decode).await;
  let knows_peer = async || gateway.metric("rillford_boxes").await >= 2.0;
  assert!(eventually(TIMEOUT, knows_peer).await);
  (gateway, prefill)
}

fn not_found(_: &ReceivedRequest) -> Reply {
  Reply::Write("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".into())
}

/// Existing deployments must see neither new messages nor new metrics.
#[rstest]
#[case::missing("", false, "", false)]
#[case::never("never", true, SLOWED, false)]
#[case::always("always", false, "", true)]
#[case::nothing_shows_a_need("by_configuration", false, "x-server-load: 0,0,8", false)]
#[case::unreadable_slowdown("by_configuration", false, "x-server-load: 0,0,8,fast", false)]
#[case::slowdown_is_reported("by_configuration", false, SLOWED, true)]
#[case::streams_are_ranked("by_configuration", true, "", true)]
#[tokio::test]
async fn messages_are_sent_only_where_places_are_enabled(
  #[case] enabled: &str,
  #[case] is_ranked: bool,
  #[case] header: &'static str,
  #[case] is_expected: bool,
) {
  let mut test = GatewayTest::new().await.configure(|configuration| {
    configuration["routes"][3]["priority"] = if is_ranked { 0 } else { 1 }.into();
  });
  if !enabled.is_empty() {
    test.extra_settings = settings(enabled);
  }
  let peer = EndpointStandIn::start(not_found).await;
  let decode = EndpointStandIn::start(move |seen| {
    let reply = engine_reply(seen, EVENTS);
    if header.is_empty() || !seen.path.starts_with("/hold-") {
      return reply;
    }
    with_header(reply, header)
  })
  .await;
  let (gateway, prefill) = box_beside(test, peer.address, &decode).await;
  for number in 0..5 {
    assert!(is_served(&gateway, &format!("r{number}")).await);
  }
  assert_eq!(prefill.requests().len(), 5);
  assert_eq!(!place_messages(&peer).is_empty(), is_expected);
  let not_supported = "rillford_prefill_without_place_total{reason=\"not_supported\"}";
  assert_eq!(gateway.metric(not_supported).await > 0.0, is_expected);
}

/// Boxes of two builds run side by side during a release: an older one answers 404, and is not asked with each prompt.
#[tokio::test]
async fn box_that_does_not_know_places_is_asked_once_a_second() {
  let peer = EndpointStandIn::start(not_found).await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let (gateway, prefill) = box_beside(test("always").await, peer.address, &decode).await;
  let mut sent = 0;
  while count(&place_messages(&peer), "/prefill-place") < 3 {
    assert!(is_served(&gateway, &format!("r{sent}")).await);
    sent += 1;
    assert_eq!(prefill.requests().len(), sent);
  }
  let asked = place_messages(&peer);
  // Both clocks round; the box measures from the answer on.
  let gaps = asked.windows(2).map(|pair| pair[1].at - pair[0].at);
  assert!(gaps.min().unwrap() >= Duration::from_millis(990));
  // The box granted nothing, so that there is nothing to release.
  assert_eq!(count(&asked, "/prefill-finish"), 0);
}

/// A frozen coordinator, or one beyond a cut: the connection is open, and no answer comes. It may have granted a place all the same.
#[tokio::test]
async fn coordinator_that_does_not_answer_delays_no_prompt_for_long_and_hears_of_the_place() {
  let peer = EndpointStandIn::start(|seen| match seen.path.as_str() {
    "/prefill-place" => Reply::NoResponse,
    "/prefill-finish" => Reply::ok(seen, ""),
    _ => not_found(seen),
  })
  .await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let (gateway, prefill) = box_beside(test("always").await, peer.address, &decode).await;
  for number in 0..10 {
    assert!(is_served(&gateway, &format!("r{number}")).await);
  }
  assert_eq!(prefill.requests().len(), 10);
  let skipped = "rillford_prefill_without_place_total{reason=\"skipped\"}";
  assert!(gateway.metric(skipped).await > 0.0);
  let reported = async || count(&place_messages(&peer), "/prefill-finish") > 0;
  assert!(eventually(TIMEOUT, reported).await);
}

/// A listener that drops the packets of new connections, as a cut link does: the queue of connections that it has not accepted is
/// full.
async fn unreachable_peer() -> (TcpListener, Vec<TcpStream>) {
  let [address] = own_addresses();
  let listener = TcpListener::bind(address).await.unwrap();
  // SAFETY: the descriptor is that of the listener, which is open.
  assert_eq!(unsafe { libc::listen(listener.as_raw_fd(), 0) }, 0);
  let mut open = Vec::new();
  let connect = || timeout(Duration::from_millis(200), TcpStream::connect(address));
  while let Ok(connection) = connect().await {
    open.push(connection.unwrap());
  }
  (listener, open)
}

/// Boxes that are cut off from the coordinator, and reach the engines all the same.
#[tokio::test]
async fn coordinator_beyond_a_cut_delays_no_prompt_for_long() {
  let (peer, _open) = unreachable_peer().await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let address = peer.local_addr().unwrap();
  let (gateway, prefill) = box_beside(test("always").await, address, &decode).await;
  for number in 0..10 {
    assert!(is_served(&gateway, &format!("r{number}")).await);
  }
  assert_eq!(prefill.requests().len(), 10);
  for reason in ["no_answer", "skipped"] {
    let name = format!("rillford_prefill_without_place_total{{reason=\"{reason}\"}}");
    assert!(gateway.metric(&name).await > 0.0, "{reason}");
  }
}

type Reports = (Name, Name, u32, Vec<(PlaceId, PlaceOutcome)>);

/// Lists of endpoints differ between boxes: a coordinator may grant a place at an engine that the box does not list.
#[tokio::test]
async fn place_at_an_unknown_engine_is_reported_unused_and_the_prompt_goes_elsewhere() {
  let place = Place {
    ahead: 0,
    end_in_ms: 10,
    engine: EndpointIncarnation::of("unlisted", Some(1)),
    start_in_ms: 0,
    tokens_ahead: 0,
  };
  let granted = postcard::to_stdvec(&Some(place)).unwrap();
  let peer = EndpointStandIn::start(move |seen| match seen.path.as_str() {
    "/prefill-place" => {
      let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
        granted.len()
      );
      Reply::WriteBytes([head.as_bytes(), &granted].concat())
    }
    "/prefill-finish" => Reply::ok(seen, ""),
    _ => not_found(seen),
  })
  .await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let (gateway, prefill) = box_beside(test("always").await, peer.address, &decode).await;
  assert!(is_served(&gateway, "r1").await);
  assert_eq!(prefill.requests().len(), 1);
  let reported = async || count(&place_messages(&peer), "/prefill-finish") > 0;
  assert!(eventually(TIMEOUT, reported).await);
  let messages = place_messages(&peer);
  let finish = messages
    .iter()
    .find(|message| message.path == "/prefill-finish");
  let (service, hall, shard, reports): Reports =
    postcard::from_bytes(&finish.unwrap().body).unwrap();
  assert_eq!((&*service, &*hall, shard), ("llm", "north", 0));
  assert!(matches!(reports[..], [(_, PlaceOutcome::Unused)]));
  let unavailable = "rillford_prefill_without_place_total{reason=\"engine_unavailable\"}";
  assert_eq!(gateway.metric(unavailable).await, 1.0);
}

/// Two boxes with the same endpoints; the second one is the coordinator.
async fn two_boxes(
  prefill: &[&EndpointStandIn],
  decode: &EndpointStandIn,
) -> (GatewayBox, GatewayBox) {
  let test = test("always").await;
  for (number, engine) in prefill.iter().enumerate() {
    test.enter(&format!("e-{number}"), "llm", Some("prefill"), engine);
  }
  test.enter("d-1", "llm", Some("decode"), decode);
  let other = test.second_box(&name_before_north_1(), test.store.address);
  let one = test.start().await;
  let other = other.start().await;
  assert!(know_each_other(&[&one, &other]).await);
  (one, other)
}

async fn queued(coordinator: &GatewayBox, engine: &str) -> f64 {
  let name = format!("rillford_prefill_places{{engine=\"{engine}\"}}");
  coordinator.metric(&name).await
}

/// Each box sends one prompt per second and knows only its own: prompts queued behind those of other boxes while engines were idle.
#[tokio::test]
async fn two_boxes_send_no_prompt_behind_another_while_an_engine_is_idle() {
  let engines = [slow_prefill().await, slow_prefill().await];
  let decode = EndpointStandIn::engine(EVENTS).await;
  let (one, other) = two_boxes(&[&engines[0], &engines[1]], &decode).await;
  for round in 0..8 {
    let ids = [format!("a{round}"), format!("b{round}")];
    let (first, second) = tokio::join!(is_served(&one, &ids[0]), is_served(&other, &ids[1]));
    assert!(first && second);
    for engine in &engines {
      let of_round = |seen: &&ReceivedRequest| ids.iter().any(|id| id == seen.id());
      let requests = engine.requests();
      let at: Vec<_> = requests
        .iter()
        .filter(of_round)
        .map(|seen| seen.at)
        .collect();
      // A slow machine may send the second prompt after the first one is finished.
      let is_behind = at.len() > 1 && at[1] - at[0] < PREFILL_TIME;
      assert!(!is_behind, "round {round}");
    }
  }
  assert_eq!(
    one.metric("rillford_prefill_places_reserved_total").await,
    8.0
  );
  assert_eq!(
    other.metric("rillford_prefill_places_granted_total").await,
    16.0
  );
}

/// A burst arrives in one hall: its prefill engines queue while those of other halls are idle.
#[tokio::test]
async fn prompt_that_would_wait_goes_to_an_idle_engine_of_another_hall() {
  let engines = [slow_prefill().await, slow_prefill().await];
  let decode = EndpointStandIn::engine(EVENTS).await;
  let test = test("always").await;
  test.enter("e-1", "llm", Some("prefill"), &engines[0]);
  test.enter_in_hall("e-2", "llm", Some("prefill"), &engines[1], "south");
  test.enter("d-1", "llm", Some("decode"), &decode);
  let mut south = test.second_box("south-1", test.store.address);
  south.hall = "south";
  let north = test.start().await;
  let south = south.start().await;
  assert!(know_each_other(&[&north, &south]).await);
  let first = north.send(stream_request(&north, "r1"));
  let second = async {
    let has_first = async || !engines[0].requests().is_empty();
    assert!(eventually(TIMEOUT, has_first).await);
    is_served(&north, "r2").await
  };
  let (first, second) = tokio::join!(first, second);
  assert!(first.status == StatusCode::OK && second);
  let ids = |engine: &EndpointStandIn| {
    let requests = engine.requests();
    requests
      .iter()
      .map(|seen| seen.id().to_string())
      .collect::<Vec<_>>()
  };
  assert_eq!(ids(&engines[0]), ["r1"]);
  assert_eq!(ids(&engines[1]), ["r2"]);
  // The place in the first hall was released.
  assert_eq!(
    north.metric("rillford_prefill_places_unused_total").await,
    1.0
  );
  assert_eq!(queued(&north, "e-1").await, 0.0);
  let finished = async || queued(&south, "e-2").await == 0.0;
  assert!(eventually(TIMEOUT, finished).await);
  for gateway in [&north, &south] {
    assert_eq!(
      gateway
        .metric("rillford_prefill_places_expired_total")
        .await,
      0.0
    );
  }
}

/// An engine that never finishes a prompt.
async fn stuck_prefill() -> EndpointStandIn {
  EndpointStandIn::start(|seen| match engine_reply(seen, EVENTS) {
    _ if seen.is_prefill() => Reply::NoResponse,
    reply => reply,
  })
  .await
}

/// A caller that leaves frees the place at once: until it expired, the engine would seem busy.
#[tokio::test]
async fn place_of_a_caller_that_disconnects_is_released() {
  let stuck = stuck_prefill().await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let (one, coordinator) = two_boxes(&[&stuck], &decode).await;
  let caller = one.ask_in_background("/stream/a", "r1");
  let is_sent = async || !stuck.requests().is_empty();
  assert!(eventually(TIMEOUT, is_sent).await);
  caller.abort();
  let released = async || queued(&coordinator, "e-0").await == 0.0;
  assert!(eventually(TIMEOUT, released).await);
  let granted = coordinator.metric("rillford_prefill_places_granted_total");
  assert_eq!(granted.await, 1.0);
  let expired = coordinator.metric("rillford_prefill_places_expired_total");
  assert_eq!(expired.await, 0.0);
}

/// Nobody reports on the places of a box that was killed.
#[tokio::test]
async fn places_of_a_killed_box_expire() {
  let stuck = stuck_prefill().await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let (one, coordinator) = two_boxes(&[&stuck], &decode).await;
  let _caller = one.ask_in_background("/stream/a", "r1");
  let is_sent = async || !stuck.requests().is_empty();
  assert!(eventually(TIMEOUT, is_sent).await);
  one.signal(libc::SIGKILL);
  let expired = async || {
    let expired = coordinator.metric("rillford_prefill_places_expired_total");
    expired.await == 1.0
  };
  assert!(eventually(TIMEOUT, expired).await);
  assert_eq!(queued(&coordinator, "e-0").await, 0.0);
}

/// The prompts of a box go on as without places while the coordinator is gone, and places are granted again afterwards.
#[rstest]
#[case::killed(libc::SIGKILL)]
#[case::frozen(libc::SIGSTOP)]
#[tokio::test]
async fn prompts_go_on_without_their_coordinator(#[case] signal: i32) {
  let engine = EndpointStandIn::engine(EVENTS).await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let (one, coordinator) = two_boxes(&[&engine], &decode).await;
  assert!(is_served(&one, "before").await);
  let reserved = async || one.metric("rillford_prefill_places_reserved_total").await;
  assert_eq!(reserved().await, 1.0);
  coordinator.signal(signal);
  for number in 0..10 {
    assert!(is_served(&one, &format!("r{number}")).await);
  }
  assert_eq!(engine.requests().len(), 11);
  let skipped = one.metric("rillford_prefill_without_place_total{reason=\"skipped\"}");
  assert!(skipped.await > 0.0);
  let before = reserved().await;
  if signal == libc::SIGSTOP {
    coordinator.signal(libc::SIGCONT);
  }
  // The entry of the killed box expires, and the other one coordinates the group itself.
  let reserves_again = async || is_served(&one, "after").await && reserved().await > before;
  assert!(eventually(TIMEOUT, reserves_again).await);
}

/// Boxes whose lists differ, or that don't use places, must not both grant places of one group.
#[rstest]
#[case::coordinator("always", "north", StatusCode::OK)]
#[case::switched_off("never", "north", StatusCode::CONFLICT)]
#[case::other_hall("always", "south", StatusCode::CONFLICT)]
#[tokio::test]
async fn only_the_coordinator_answers_requests_for_places(
  #[case] enabled: &str,
  #[case] hall: &str,
  #[case] status: StatusCode,
) {
  let engine = EndpointStandIn::engine(EVENTS).await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let gateway = test(enabled).await.with_engines(&engine, &decode).await;
  let knows_itself = async || gateway.metric("rillford_boxes").await >= 1.0;
  assert!(eventually(TIMEOUT, knows_itself).await);
  let id = PlaceId {
    box_incarnation: 1,
    sequence: 1,
  };
  let excluded: Vec<EndpointIncarnation> = Vec::new();
  let place = (
    "llm", hall, 0_u32, "north-2", id, 100_u64, 900_u64, excluded,
  );
  let finish = ("llm", hall, 0_u32, vec![(id, PlaceOutcome::Unused)]);
  let messages = [
    ("/prefill-place", postcard::to_stdvec(&place).unwrap()),
    ("/prefill-finish", postcard::to_stdvec(&finish).unwrap()),
  ];
  for (path, body) in messages {
    let request = Request::post(format!("http://{}{path}", gateway.boxes));
    let request = request.body(Full::new(Bytes::from(body))).unwrap();
    let response = HttpClient::default().send(request).await.unwrap();
    assert_eq!(response.status(), status, "{path}");
  }
}
