//! What endpoints say of themselves in their answers: that they leave, or for how long they want no work.
//!
//! Boxes learnt from the store alone that an endpoint leaves. The store was away when one wanted to say so there, and stayed away for
//! thirteen seconds; all of its answers said it, no box read that, and the list from before said that it was ready. On another day an
//! endpoint turned all requests away within a millisecond and asked for three seconds without any. Boxes left it alone for 120 ms at a
//! time, and since it had nothing in progress it looked the least busy of three. Six requests of one box reached it in one such pause;
//! callers were refused because the budget for repeats was spent there while the two others served. What settled it, of one box each
//! (seconds of the day):
//!
//! ```text
//!  8.22 E508 answered: by i-df3faaa403 with status 200 OK, 5 ms after arrival, tried 1        (its answer said that it leaves)
//!  8.53 E402 store lost: watching: no answer within 4000 ms
//! 10.32 E508 answered: by i-df3faaa403 with status 200 OK, 62 ms after arrival, tried 1
//!
//!  6.05 E502 part failed: at i-4f098d9d68: refused by the endpoint with status 503            (its answer asked for 3 s)
//!  6.37, 6.57, 6.95, 7.34 the same
//! ```

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, Reply, Seen,
    endpoint::{engine_reply, leaving, turned_away},
  },
  http::StatusCode,
  rstest::rstest,
  std::time::{Duration, Instant},
  tokio::time::sleep,
};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// Callers of a test that ask one after the other.
const ASKS: usize = 30;
/// The users' bound: so many requests may reach an endpoint while it wants none, from half a second after it said so.
const MOST_IN_PAUSE: usize = 2;
/// The pause that endpoints of these tests want.
const PAUSE: Duration = Duration::from_secs(3);

/// Asks one after the other until the time is over.
async fn ask_for(gateway: &GatewayBox, path: &str, time: Duration) -> Vec<StatusCode> {
  let began = Instant::now();
  let mut statuses = Vec::new();
  while began.elapsed() < time {
    let id = format!("r{}", statuses.len());
    statuses.push(gateway.ask(path, &id).await.status);
    sleep(Duration::from_millis(20)).await;
  }
  statuses
}

async fn ask_often(gateway: &GatewayBox, path: &str) -> Vec<StatusCode> {
  let mut statuses = Vec::new();
  for number in 0..ASKS {
    statuses.push(gateway.ask(path, &format!("r{number}")).await.status);
  }
  statuses
}

#[tokio::test]
async fn endpoint_that_says_that_it_leaves_gets_nothing_more_while_the_store_lists_it_as_ready() {
  let one = EndpointStandIn::start(|seen| leaving(Reply::ok(seen, "one"))).await;
  let other = EndpointStandIn::start(|seen| Reply::ok(seen, "other")).await;
  let gateway = GatewayTest::new().await.with_portals(&one, &other).await;
  let statuses = ask_often(&gateway, "/unsafe/a").await;
  assert!(statuses.iter().all(|status| *status == StatusCode::OK));
  assert_eq!(one.requests().len(), 1, "requests after its own word");
}

#[tokio::test]
async fn endpoint_that_wants_a_pause_gets_nothing_until_its_end() {
  let one = EndpointStandIn::start(|seen| turned_away(seen, "3")).await;
  let other = EndpointStandIn::start(|seen| Reply::ok(seen, "other")).await;
  let gateway = GatewayTest::new().await.with_portals(&one, &other).await;
  let statuses = ask_for(&gateway, "/unsafe/a", PAUSE - Duration::from_millis(500)).await;
  assert!(statuses.iter().all(|status| *status == StatusCode::OK));
  let sent = one.requests().len();
  assert!(sent > 0);
  assert!(sent <= 1 + MOST_IN_PAUSE, "{sent} requests in its pause");
}

/// A stand-in that turns readings of prompts away, seats, or whole streams.
fn engine_that_turns_away(seen: &Seen, what: &str) -> Reply {
  let is_turned_away = match what {
    "seat" => seen.path == "/hold-take",
    "prompt" => seen.is_prompt(),
    "stream" => !seen.is_prompt() && seen.path.starts_with("/resumable/"),
    other => panic!("{other}"),
  };
  if is_turned_away {
    turned_away(seen, "3")
  } else {
    engine_reply(seen, EVENTS)
  }
}

#[rstest]
#[case::seat("seat", "decode")]
#[case::prompt("prompt", "prefill")]
#[case::stream("stream", "decode")]
#[tokio::test]
async fn engine_that_wants_a_pause_gets_nothing_until_its_end(
  #[case] what: &'static str,
  #[case] stage: &str,
) {
  let one = EndpointStandIn::start(move |seen| engine_that_turns_away(seen, what)).await;
  let other = EndpointStandIn::engine(EVENTS).await;
  let rest = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some(stage), &one);
  test.enter("e-2", "llm", Some(stage), &other);
  let other_stage = if stage == "decode" {
    "prefill"
  } else {
    "decode"
  };
  test.enter("e-3", "llm", Some(other_stage), &rest);
  let gateway = test.start().await;
  let statuses = ask_for(&gateway, "/resumable/a", PAUSE - Duration::from_millis(500)).await;
  assert!(
    statuses.iter().all(|status| *status == StatusCode::OK),
    "{statuses:?}"
  );
  let asked = one.seen();
  let wanted = asked.iter().filter(|seen| seen.method != "DELETE").count();
  assert!(wanted > 0);
  assert!(wanted <= 2 + MOST_IN_PAUSE, "{wanted} calls in its pause");
}
