//! Limits that endpoints name for all boxes together: how many requests a second they take.
//!
//! Two of three plain endpoints said in their answers that they take 2.4 and 2.6 requests a second of all boxes together. No
//! box had the name of that word, so it was passed by like any unknown header, and eight boxes sent on as before: 22 and 21
//! requests in four seconds, where 21 and 19 were allowed at the most, three seconds after the first word and with half a second
//! for each answer to be heard. The rate did not change at the word (seconds of the day, requests at one of the two):
//!
//! ```text
//! 5: 11   6: 5   7: 6   8: 6 (names its limit)   9: 8   10: 9   11: 6   12: 5   13: 7
//!  9.42 E502 part failed: 12efbeaedc6f8f71 at i-4f098d9d68: status 500 Internal Server Error     (its answer named 2.4 a second)
//! 10.98 E508 answered: by i-c811a32c1b with status 200 OK, 5 ms after arrival, tried 1           (its answer named 2.6 a second)
//! ```

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, PATIENCE, Reply,
    endpoint::{engine_reply, leaving, limited, rejection, with_header},
  },
  emulator::eventually,
  futures_util::future::join_all,
  rstest::rstest,
  std::time::{Duration, Instant},
  tokio::time::sleep,
};

/// What the users allow beyond a limit: this times it, and so many requests besides, in each window.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_BESIDES: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(4);
/// The time from the first word until a limit has to hold.
const CONTACT: Duration = Duration::from_secs(3);

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// The limit that endpoints of these tests name, in requests a second.
const LIMIT_PER_S: f64 = 2.5;

/// Boxes beside the first, on the same store.
async fn start_boxes(test: GatewayTest, count: usize) -> Vec<GatewayBox> {
  let mut tests: Vec<GatewayTest> = (2..=count)
    .map(|number| test.beside(&format!("north-{number}"), test.store.address))
    .collect();
  tests.insert(0, test);
  let mut boxes = Vec::new();
  for test in tests {
    boxes.push(test.start().await);
  }
  for gateway in &boxes {
    let knows_all = eventually(PATIENCE, async || {
      gateway.figure("rillford_boxes").await as usize == count
    });
    assert!(knows_all.await, "a box does not know the others");
  }
  boxes
}

/// Callers of all boxes ask one after the other, each with a pause, for a time.
async fn ask_all(boxes: &[GatewayBox], path: &str, pause: Duration, time: Duration) -> Vec<u16> {
  let began = Instant::now();
  let asking = boxes.iter().enumerate().map(|(at, gateway)| async move {
    let mut statuses = Vec::new();
    while began.elapsed() < time {
      let id = format!("{at}-{}", statuses.len());
      statuses.push(gateway.ask(path, &id).await.status.as_u16());
      sleep(pause).await;
    }
    statuses
  });
  join_all(asking).await.concat()
}

/// The most requests in a window of the users, from the time on from which a limit has to hold.
fn most_in_window(arrivals: &[Instant]) -> usize {
  let Some(first) = arrivals.first() else {
    return 0;
  };
  let counted: Vec<&Instant> = arrivals
    .iter()
    .filter(|at| **at >= *first + CONTACT)
    .collect();
  let within = |from: &Instant| {
    counted
      .iter()
      .filter(|at| ***at >= *from && ***at < *from + WINDOW)
      .count()
  };
  counted.iter().map(|from| within(from)).max().unwrap_or(0)
}

/// The same answer from an endpoint that has much to do: the one that names a limit looks the better one.
fn busy(reply: Reply) -> Reply {
  match reply {
    Reply::Write(text) => Reply::WriteLater(Duration::from_millis(100), text),
    other => other,
  }
}

#[tokio::test]
async fn endpoint_gets_no_more_than_the_limit_that_it_names_of_all_boxes_together() {
  let one = EndpointStandIn::start(|seen| limited(Reply::ok(seen, "one"), "2.5")).await;
  let other = EndpointStandIn::start(|seen| busy(Reply::ok(seen, "other"))).await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", None, &one);
  test.enter("p-2", "portal", None, &other);
  let boxes = start_boxes(test, 3).await;
  let pause = Duration::from_millis(50);
  let statuses = ask_all(&boxes, "/unsafe/a", pause, CONTACT + WINDOW * 2).await;
  assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
  let allowed = LIMIT_PER_S * WINDOW.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_BESIDES;
  let most = most_in_window(&one.arrivals());
  assert!(
    most as f64 <= allowed,
    "{most} requests in a window, {allowed} allowed"
  );
  // Not too little either: it serves what it takes.
  assert!(
    most as f64 >= LIMIT_PER_S * WINDOW.as_secs_f64() * 0.9,
    "{most} requests in a window"
  );
}

/// A box before two engines for each part, of which one names a limit.
async fn with_limited_engine(limited_stage: &str, engine: &EndpointStandIn) -> GatewayBox {
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some(limited_stage), engine);
  for (id, stage) in [("e-2", "decode"), ("e-3", "prefill")] {
    let other = EndpointStandIn::engine(EVENTS).await;
    test.enter(id, "llm", Some(stage), &other);
  }
  test.start().await
}

/// What one stream sends an engine has one place: its seat and the stream, or the reading of its prompt.
#[rstest]
#[case::writes("decode")]
#[case::reads("prefill")]
#[tokio::test]
async fn engine_gets_no_more_requests_than_the_limit_that_it_names(#[case] stage: &str) {
  let one = EndpointStandIn::start(|seen| limited(engine_reply(seen, EVENTS), "2.5")).await;
  let gateway = with_limited_engine(stage, &one).await;
  let boxes = [gateway];
  let pause = Duration::from_millis(20);
  let statuses = ask_all(&boxes, "/resumable/a", pause, CONTACT + WINDOW).await;
  assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
  let most = most_in_window(&one.arrivals());
  let allowed = LIMIT_PER_S * WINDOW.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_BESIDES;
  assert!(most as f64 <= allowed, "{most} requests in a window");
  let seats = one
    .seen()
    .iter()
    .filter(|seen| seen.path == "/hold-take")
    .count();
  let streams = one.requests().len();
  // The seat whose answer first named the limit was reserved without a place.
  assert!(
    seats <= streams + 1,
    "{seats} seats for {streams} streams: some were reserved in vain"
  );
}

/// A place is used up once its request has reached the engine, whatever the engine makes of it.
#[rstest]
#[case::refused("refused")]
#[case::lost("lost")]
#[tokio::test]
async fn request_that_an_engine_refuses_or_loses_has_used_its_place(#[case] what: &'static str) {
  let one = EndpointStandIn::start(move |seen| match (seen.path.as_str(), what) {
    ("/resumable/a", "refused") => limited(Reply::not_run(seen), "2.5"),
    ("/resumable/a", _) => Reply::WriteAndClose(String::new()),
    _ => limited(engine_reply(seen, EVENTS), "2.5"),
  })
  .await;
  let reader = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &reader);
  test.enter("e-2", "llm", Some("decode"), &one);
  let boxes = start_boxes(test, 1).await;
  let pause = Duration::from_millis(20);
  ask_all(&boxes, "/resumable/a", pause, CONTACT + WINDOW).await;
  let most = most_in_window(&one.arrivals());
  let allowed = LIMIT_PER_S * WINDOW.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_BESIDES;
  assert!(most as f64 <= allowed, "{most} requests in a window");
}

#[tokio::test]
async fn caller_is_told_at_once_when_all_endpoints_are_at_their_limits() {
  let scripts = [0; 2].map(|_| EndpointStandIn::start(|seen| limited(Reply::ok(seen, "one"), "1")));
  let endpoints = join_all(scripts).await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", None, &endpoints[0]);
  test.enter("p-2", "portal", None, &endpoints[1]);
  let gateway = start_boxes(test, 1).await.remove(0);
  // Both are heard; then neither has a place.
  for number in 0..4 {
    gateway.ask("/safe/a", &format!("r{number}")).await;
  }
  let began = Instant::now();
  let asked = gateway.ask("/safe/a", "late").await;
  assert_eq!(asked.status, 503);
  assert!(
    began.elapsed() < Duration::from_millis(500),
    "it was held back"
  );
  let seconds: f64 = asked.headers["retry-after"]
    .to_str()
    .unwrap()
    .parse()
    .unwrap();
  // A place comes each second; half a second keeps callers apart.
  assert!(seconds > 0.0 && seconds <= 1.0 / 0.94 + 0.6, "{seconds}");
  assert_eq!(gateway.figure("rillford_repeats_total").await, 0.0);
  assert!(gateway.figure("rillford_without_place_total").await > 0.0);
  sleep(Duration::from_secs_f64(seconds)).await;
  assert_eq!(gateway.ask("/safe/a", "again").await.status, 200);
}

/// More digits than any number holds.
const LONG: &str = const {
  const DIGITS: [u8; 8_000] = [b'9'; 8_000];
  match std::str::from_utf8(&DIGITS) {
    Ok(text) => text,
    Err(_) => "",
  }
};

/// What nobody can read changes nothing; a figure beyond all measure is no limit.
#[rstest]
#[tokio::test]
async fn word_that_names_no_limit_changes_nothing(
  #[values("-1", "NaN", "inf", "2,5", "soon", "", "1e308", LONG)] value: &'static str,
) {
  let one = EndpointStandIn::start(move |seen| limited(Reply::ok(seen, "one"), value)).await;
  let gateway = GatewayTest::new().await.with_portal(&one).await;
  for number in 0..20 {
    assert_eq!(
      gateway.ask("/unsafe/a", &format!("r{number}")).await.status,
      200
    );
  }
}

/// White space around a figure does not count; of two figures the smaller one holds.
#[rstest]
#[case::white_space(" 2 ")]
#[case::two_headers("300\r\nserver-limit: 2")]
#[tokio::test]
async fn word_that_names_a_limit_is_read(#[case] value: &'static str) {
  let one = EndpointStandIn::start(move |seen| limited(Reply::ok(seen, "one"), value)).await;
  let gateway = GatewayTest::new().await.with_portal(&one).await;
  for number in 0..20 {
    gateway.ask("/unsafe/a", &format!("r{number}")).await;
  }
  assert!(one.requests().len() <= 3, "{}", one.requests().len());
}

/// Who gets nothing says nothing: an endpoint that names 0 is asked now and then, and its word can end.
#[tokio::test]
async fn endpoint_that_named_nothing_at_all_is_not_locked_out() {
  let one = EndpointStandIn::start(|seen| match seen.id() {
    "0-0" => limited(Reply::ok(seen, "one"), "0"),
    _ => Reply::ok(seen, "one"),
  })
  .await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", None, &one);
  let boxes = start_boxes(test, 1).await;
  let pause = Duration::from_millis(50);
  let statuses = ask_all(&boxes, "/unsafe/a", pause, Duration::from_secs(7)).await;
  assert!(
    statuses.iter().filter(|status| **status == 200).count() > 5,
    "{statuses:?}"
  );
  assert_eq!(statuses.last(), Some(&200));
}

#[tokio::test]
async fn endpoint_that_names_no_limit_any_more_gets_all_again() {
  let began = Instant::now();
  let one = EndpointStandIn::start(move |seen| {
    if began.elapsed() < CONTACT {
      limited(Reply::ok(seen, "one"), "5")
    } else {
      Reply::ok(seen, "one")
    }
  })
  .await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", None, &one);
  let boxes = start_boxes(test, 2).await;
  let pause = Duration::from_millis(50);
  ask_all(&boxes, "/unsafe/a", pause, CONTACT + WINDOW).await;
  let before = one.arrivals().len();
  let statuses = ask_all(&boxes, "/unsafe/b", pause, Duration::from_secs(1)).await;
  assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
  assert_eq!(one.arrivals().len() - before, statuses.len());
}

#[tokio::test]
async fn other_boxes_hear_of_a_limit_before_they_send_a_request() {
  let one = EndpointStandIn::start(|seen| limited(Reply::ok(seen, "one"), "2")).await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", None, &one);
  let boxes = start_boxes(test, 2).await;
  boxes[0].ask("/unsafe/a", "first").await;
  let knows = eventually(PATIENCE, async || {
    boxes[1].figure("rillford_endpoints_limited").await as usize == 1
  });
  assert!(knows.await, "the other box has not heard");
  assert_eq!(one.requests().len(), 1);
}

/// Without the box that counts the others keep the sum: two of them give out a part of it.
#[tokio::test]
async fn sum_is_kept_while_the_box_that_counts_stands_still() {
  let one = EndpointStandIn::start(|seen| limited(Reply::ok(seen, "one"), "2.5")).await;
  let other = EndpointStandIn::start(|seen| busy(Reply::ok(seen, "other"))).await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", None, &one);
  test.enter("p-2", "portal", None, &other);
  let mut boxes = start_boxes(test, 3).await;
  let pause = Duration::from_millis(50);
  ask_all(&boxes, "/unsafe/a", pause, Duration::from_secs(1)).await;
  // The one that gives out places is the only one that has given some.
  let mut counting = 0;
  for (at, gateway) in boxes.iter().enumerate() {
    if gateway.figure("rillford_places_granted_total").await > 0.0 {
      counting = at;
    }
  }
  let stopped = boxes.remove(counting);
  stopped.signal(libc::SIGSTOP);
  let statuses = ask_all(&boxes, "/unsafe/a", pause, CONTACT + WINDOW).await;
  stopped.signal(libc::SIGCONT);
  assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
  let allowed = LIMIT_PER_S * WINDOW.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_BESIDES;
  let most = most_in_window(&one.arrivals());
  assert!(most as f64 <= allowed, "{most} requests in a window");
  assert!(most > 0, "nobody goes on without the box that counts");
}

#[tokio::test]
async fn limited_endpoint_that_leaves_gets_nothing() {
  let one = EndpointStandIn::start(|seen| leaving(limited(Reply::ok(seen, "one"), "100"))).await;
  let other = EndpointStandIn::start(|seen| busy(Reply::ok(seen, "other"))).await;
  let gateway = GatewayTest::new().await.with_portals(&one, &other).await;
  for number in 0..8 {
    assert_eq!(
      gateway.ask("/unsafe/a", &format!("r{number}")).await.status,
      200
    );
  }
  assert_eq!(one.requests().len(), 1);
}

#[tokio::test]
async fn limited_endpoint_that_wants_a_pause_gets_nothing_in_it() {
  let one = EndpointStandIn::start(|seen| limited(rejection(seen, "2"), "100")).await;
  let other = EndpointStandIn::start(|seen| busy(Reply::ok(seen, "other"))).await;
  let gateway = GatewayTest::new().await.with_portals(&one, &other).await;
  let boxes = [gateway];
  let statuses = ask_all(
    &boxes,
    "/unsafe/a",
    Duration::ZERO,
    Duration::from_millis(1_500),
  )
  .await;
  assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
  assert_eq!(one.requests().len(), 1);
}

/// A word that no box knows is seen on the first day: once, by name.
#[tokio::test]
async fn name_that_the_platforms_page_does_not_have_is_noted() {
  let one =
    EndpointStandIn::start(|seen| with_header(Reply::ok(seen, "one"), "server-mood: low")).await;
  let gateway = GatewayTest::new().await.with_portal(&one).await;
  for number in 0..3 {
    gateway.ask("/unsafe/a", &format!("r{number}")).await;
  }
  assert_eq!(gateway.figure("rillford_unknown_answer_names").await, 1.0);
}

#[tokio::test]
async fn limits_that_endpoints_name_are_shown() {
  let one = EndpointStandIn::start(|seen| limited(Reply::ok(seen, "one"), "2.5")).await;
  let gateway = GatewayTest::new().await.with_portal(&one).await;
  gateway.ask("/unsafe/a", "first").await;
  let text = gateway.shown_limits();
  let row: Vec<&str> = text.lines().last().unwrap().split_whitespace().collect();
  assert_eq!(row[..3], ["p-1", "2.5", "Answer"], "{text}");
}
