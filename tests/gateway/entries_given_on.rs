//! Entries whose id is given to an endpoint at another address, of another service too. What was meant for the former one reaches
//! no other one.

use {
  super::{
    EndpointStandIn, GatewayTest, ReceivedRequest, Reply, TIMEOUT, endpoint::engine_reply,
    extra_answers::CallKind,
  },
  emulator::eventually,
  http::StatusCode,
  rillford::{
    decide::Role,
    gateway::{EndpointEntry, EndpointRegistry, SoftwareVersion, Unavailable},
  },
  rstest::rstest,
  std::time::Duration,
  tokio::time::sleep,
};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// A prefill that lasts until the changed entry is known.
const PREFILL_TIME: Duration = Duration::from_millis(1_500);
/// Until a changed entry has reached the box.
const ENTRY_DELAY: Duration = Duration::from_millis(500);
/// Plain requests that leave an idle connection.
const PLAIN_REQUESTS: usize = 3;

/// An engine whose prefills last until the changed entry is known.
fn late_prefill(seen: &ReceivedRequest) -> Reply {
  match engine_reply(seen, EVENTS) {
    Reply::Write(text) if seen.is_prefill() => Reply::WriteLater(PREFILL_TIME, text),
    reply => reply,
  }
}

/// What becomes of a stream whose prompt is prefilled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamFate {
  /// It is sent to the decode engine.
  Begins,
  /// Its caller disconnects, and its reservation is released.
  Abandoned,
}

/// Guards against a stream, or a call about it, that an endpoint of another service runs because it has the engine's id now.
#[rstest]
#[tokio::test]
async fn endpoint_that_takes_over_an_engines_id_runs_only_its_own_requests(
  #[values(StreamFate::Begins, StreamFate::Abandoned)] fate: StreamFate,
) {
  let prefill = EndpointStandIn::start(late_prefill).await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let plain = EndpointStandIn::start(|seen| Reply::ok(seen, "ok")).await;
  let gateway = GatewayTest::new()
    .await
    .with_engines(&prefill, &decode)
    .await;
  let stream = gateway.ask_in_background("/stream/a", "r1");
  let is_prefilling = async || !prefill.requests().is_empty();
  assert!(eventually(TIMEOUT, is_prefilling).await);
  gateway.test.enter("e-2", "portal", None, &plain);
  sleep(ENTRY_DELAY).await;
  for number in 0..PLAIN_REQUESTS {
    let response = gateway.ask("/safe/a", &format!("p{number}")).await;
    assert_eq!(response.status, StatusCode::OK);
  }
  if fate == StreamFate::Abandoned {
    stream.abort();
  }
  sleep(PREFILL_TIME).await;
  let kinds: Vec<CallKind> = plain.received().iter().map(CallKind::of).collect();
  assert_eq!(kinds, [CallKind::Plain; PLAIN_REQUESTS]);
}

/// Guards against requests on connections to an address that is no longer the endpoint's.
#[tokio::test]
async fn requests_go_to_the_address_that_is_listed_now() {
  let former = EndpointStandIn::start(|seen| Reply::ok(seen, "former")).await;
  let current = EndpointStandIn::start(|seen| Reply::ok(seen, "current")).await;
  let gateway = GatewayTest::new().await.with_portal(&former).await;
  gateway.ask("/safe/a", "r1").await;
  gateway.test.enter("p-1", "portal", None, &current);
  sleep(ENTRY_DELAY).await;
  let response = gateway.ask("/safe/a", "r2").await;
  assert_eq!(response.body.unwrap(), "current");
}

/// Guards against the same on a connection that was in use when the address changed.
#[tokio::test]
async fn connection_in_use_while_its_address_changes_is_not_reused() {
  let former = EndpointStandIn::start(|seen| match Reply::ok(seen, "former") {
    Reply::Write(text) => Reply::WriteLater(PREFILL_TIME, text),
    reply => reply,
  })
  .await;
  let current = EndpointStandIn::start(|seen| Reply::ok(seen, "current")).await;
  let gateway = GatewayTest::new().await.with_portal(&former).await;
  let in_flight = gateway.ask_in_background("/unsafe/a", "r1");
  let is_received = async || !former.requests().is_empty();
  assert!(eventually(TIMEOUT, is_received).await);
  gateway.test.enter("p-1", "portal", None, &current);
  in_flight.await.unwrap().unwrap();
  let response = gateway.ask("/unsafe/a", "r2").await;
  assert_eq!(response.body.unwrap(), "current");
}

/// Guards against work that is sent by an entry whose id belongs to another endpoint now.
#[rstest]
#[case::address(|entry: &mut EndpointEntry| entry.address = "127.0.0.1:2".parse().unwrap())]
#[case::service(|entry: &mut EndpointEntry| entry.service = "portal".into())]
#[case::no_engine(|entry: &mut EndpointEntry| entry.role = None)]
fn endpoint_chosen_before_its_entry_was_given_on_is_not_listed(
  #[case] change: fn(&mut EndpointEntry),
) {
  let chosen = EndpointEntry {
    address: "127.0.0.1:1".parse().unwrap(),
    cold_ms: 0,
    hall: "north".into(),
    id: "e-1".into(),
    leaving: false,
    role: Some(Role::Decode),
    service: "llm".into(),
    slots: 8,
    started_ms: None,
    version: SoftwareVersion::new("v1"),
  };
  let mut registry = EndpointRegistry::default();
  registry.put(chosen.clone());
  assert_eq!(registry.check(&chosen, 0), Ok(()));
  let mut current = chosen.clone();
  change(&mut current);
  registry.put(current);
  assert_eq!(registry.check(&chosen, 0), Err(Unavailable::Unlisted));
}
