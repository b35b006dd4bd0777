//! Resumptions of streams whose origin no box has recorded, at boxes without contact to the store.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, TIMEOUT,
    cut_off::{Cut, CutAddress},
    harness::CallerResponse,
    store_proxy::StoreProxy,
    versions::{EVENTS, begins_and_resumes, resume, wait_until_recorded},
  },
  emulator::eventually,
  http::StatusCode,
  rstest::rstest,
};

/// What boxes without contact to the store know of the other part of the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OtherPart {
  /// Its box is listed, and can't be reached.
  Listed,
  /// Its box has registered since.
  Unlisted,
}

/// A part of the deployment with one version of the engines, and boxes that have lost the store.
struct Part {
  boxes: Vec<GatewayBox>,
  decode: EndpointStandIn,
  _prefill: EndpointStandIn,
  _unreachable: CutAddress,
}

impl Part {
  async fn start(halls: &[&'static str], other: OtherPart) -> Self {
    let test = GatewayTest::new().await;
    let prefill = EndpointStandIn::engine(EVENTS).await;
    test.enter("e-1", "llm", Some("prefill"), &prefill);
    let decode = EndpointStandIn::start(begins_and_resumes).await;
    test.enter_version("e-2", &decode, "v1");
    let unreachable = CutAddress::new(Cut::Refuse);
    if other == OtherPart::Listed {
      test.enter_box_of_hall("west-1", "west", unreachable.address);
    }
    let proxy = StoreProxy::to(test.store.address).await;
    let mut boxes = Vec::new();
    for hall in halls {
      let mut of_hall = test.second_box(&format!("{hall}-{}", boxes.len()), proxy.address);
      of_hall.hall = hall;
      boxes.push(of_hall.start().await);
    }
    let count = (halls.len() + usize::from(other == OtherPart::Listed)) as f64;
    for gateway in &boxes {
      let lists_all = async || gateway.metric("rillford_boxes").await == count;
      assert!(eventually(TIMEOUT, lists_all).await);
    }
    // Streams begin at recorded versions alone.
    wait_until_recorded(&boxes[0], 1).await;
    proxy.cut().await;
    for gateway in &boxes {
      let is_stale = async || gateway.ask("/missing/", "m").await.status != StatusCode::NOT_FOUND;
      assert!(eventually(TIMEOUT, is_stale).await);
    }
    Self {
      boxes,
      decode,
      _prefill: prefill,
      _unreachable: unreachable,
    }
  }

  async fn resume(&self, id: &str, resumes: &str) -> CallerResponse {
    resume(&self.boxes[0], id, resumes).await
  }
}

/// Begins a stream at a version that the rest of the deployment does not know; its box is killed.
async fn begin_at_another_version(id: &str) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let decode = EndpointStandIn::start(begins_and_resumes).await;
  test.enter_version("e-3", &decode, "v2");
  let gateway = test.named("west-1").start().await;
  gateway.ask_in_background("/resumable/a", id);
  let records = async || gateway.metric("rillford_stream_records").await == 1.0;
  assert!(eventually(TIMEOUT, records).await);
}

/// Checks that a stream of the other part does not go on at a version of this one.
async fn assert_rejected(part: &Part) {
  begin_at_another_version("r0").await;
  let response = part.resume("again", "r0").await;
  assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
  assert!(response.headers.contains_key("retry-after"));
  let requests = part.decode.requests();
  assert!(requests.iter().all(|seen| seen.id() != "again"));
}

/// Guards against boxes without contact to the store that confirm to each other that there is one version.
#[rstest]
#[case::listed(OtherPart::Listed)]
#[case::unlisted(OtherPart::Unlisted)]
#[tokio::test]
async fn stream_does_not_go_on_at_the_version_that_boxes_without_contact_know(
  #[case] other: OtherPart,
) {
  assert_rejected(&Part::start(&["north", "north"], other).await).await;
}

/// Guards against a box without contact to the store that takes its own version for the only one as it knows no other box.
#[tokio::test]
async fn stream_does_not_go_on_at_the_version_that_a_single_box_without_contact_knows() {
  assert_rejected(&Part::start(&["north"], OtherPart::Unlisted).await).await;
}

/// When a stream begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Begins {
  WithTheStore,
  WhileItIsAway,
}

/// Guards against streams that are lost with the box that began them while no box reaches the store.
#[rstest]
#[case::one_hall(&["north", "north"])]
#[case::two_halls(&["north", "south"])]
#[tokio::test]
async fn streams_of_a_killed_box_go_on_while_the_store_is_away_for_all(
  #[case] halls: &[&'static str],
  #[values(Begins::WithTheStore, Begins::WhileItIsAway)] begins: Begins,
) {
  let test = GatewayTest::new().await;
  let prefill = EndpointStandIn::engine(EVENTS).await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let decode = EndpointStandIn::start(begins_and_resumes).await;
  test.enter_version("e-2", &decode, "v1");
  let proxy = StoreProxy::to(test.store.address).await;
  let mut boxes = Vec::new();
  for hall in halls {
    let mut of_hall = test.second_box(&format!("{hall}-{}", boxes.len()), proxy.address);
    of_hall.hall = hall;
    boxes.push(of_hall.start().await);
  }
  for gateway in &boxes {
    let lists_all = async || gateway.metric("rillford_boxes").await == 2.0;
    assert!(eventually(TIMEOUT, lists_all).await);
  }
  wait_until_recorded(&boxes[0], 1).await;
  let begin = async || {
    boxes[1].ask_in_background("/resumable/a", "r0");
    let records = async || boxes[1].metric("rillford_stream_records").await == 1.0;
    assert!(eventually(TIMEOUT, records).await);
  };
  if begins == Begins::WithTheStore {
    begin().await;
  }
  proxy.cut().await;
  for gateway in &boxes {
    let is_stale = async || gateway.ask("/missing/", "m").await.status != StatusCode::NOT_FOUND;
    assert!(eventually(TIMEOUT, is_stale).await);
  }
  if begins == Begins::WhileItIsAway {
    begin().await;
  }
  let has_copy = async || boxes[0].metric("rillford_stream_records").await == 1.0;
  assert!(eventually(TIMEOUT, has_copy).await);
  let mut began = boxes.pop().unwrap();
  began.process.kill().unwrap();
  began.process.wait().unwrap();
  let response = resume(&boxes[0], "again", "r0").await;
  assert_eq!(response.status, StatusCode::OK);
}

/// Guards against a hall that is cut off and rejects resumptions of the streams that its own boxes began.
#[tokio::test]
async fn streams_of_a_hall_go_on_while_it_is_cut_off() {
  // More than a box asks while it has contact.
  let part = Part::start(&["north"; 8], OtherPart::Listed).await;
  for (number, began) in part.boxes.iter().enumerate().skip(1) {
    let id = format!("r{number}");
    began.ask_in_background("/resumable/a", &id);
    // Records of other streams come from the other boxes.
    let has_begun = async || began.metric("rillford_stream_copies_total").await >= 1.0;
    assert!(eventually(TIMEOUT, has_begun).await);
    let response = part.resume(&format!("again-{number}"), &id).await;
    assert_eq!(response.status, StatusCode::OK);
  }
}
