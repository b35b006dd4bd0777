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
  super::{EndpointStandIn, GatewayBox, GatewayTest, PATIENCE, Reply, endpoint::limited},
  emulator::eventually,
  futures_util::future::join_all,
  std::time::{Duration, Instant},
  tokio::time::sleep,
};

/// What the users allow beyond a limit: this times it, and so many requests besides, in each window.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_BESIDES: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(4);
/// The time from the first word until a limit has to hold.
const CONTACT: Duration = Duration::from_secs(3);

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
