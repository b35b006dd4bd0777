//! A draining endpoint gets no new work within a few seconds; a graceful stop interrupts no request.

use {
  crate::{
    Test,
    test::{PATIENCE, finish},
  },
  emulator::{Ask, EngineFaults, Told, answer_text, eventually},
  http::Method,
  rillford::decide::EndpointState,
};

#[tokio::test]
async fn endpoint_that_reports_leaving_gets_no_new_work_from_any_box() {
  let test = Test::new().start().await;
  test.engine("north-decode-1").set_faults(EngineFaults {
    leaving: true,
    ..EngineFaults::default()
  });
  let left = eventually(PATIENCE, async || {
    test.endpoint_state("north-1", "north-decode-1").await == EndpointState::Leaving
      && test.endpoint_state("north-2", "north-decode-1").await == EndpointState::Leaving
  });
  assert!(left.await);
  let before = test.engine("north-decode-1").tally().decodes;
  for name in ["north-1", "north-2"] {
    for _ in 0..4 {
      assert!(
        test
          .complete(name, &Ask::new("on we go", 3))
          .await
          .is_answered()
      );
    }
  }
  assert_eq!(test.engine("north-decode-1").tally().decodes, before);
}

#[tokio::test]
async fn drain_on_one_box_applies_on_all_boxes() {
  let test = Test::new().start().await;
  let path = "/endpoints/north-decode-2/drain";
  let (status, _) = test.admin("north-1", Method::POST, path, None, "").await;
  assert_eq!(status, 200);
  let left = eventually(PATIENCE, async || {
    test.endpoint_state("north-2", "north-decode-2").await == EndpointState::Leaving
  });
  assert!(left.await);
  let before = test.engine("north-decode-2").tally().decodes;
  for _ in 0..4 {
    assert!(
      test
        .complete("north-2", &Ask::new("on we go", 3))
        .await
        .is_answered()
    );
  }
  assert_eq!(test.engine("north-decode-2").tally().decodes, before);
}

#[tokio::test]
async fn endpoint_is_used_again_with_a_new_incarnation() {
  let test = Test::new().start().await;
  let engine = test.engine("north-decode-1");
  engine.set_faults(EngineFaults {
    leaving: true,
    ..EngineFaults::default()
  });
  let is = async |wanted| {
    eventually(PATIENCE, async || {
      test.endpoint_state("north-1", "north-decode-1").await == wanted
    })
    .await
  };
  assert!(is(EndpointState::Leaving).await);
  engine.set_faults(EngineFaults::default());
  engine.restart();
  assert!(is(EndpointState::Live).await);
}

#[tokio::test]
async fn planned_stop_finishes_streams_and_hands_engines_over() {
  let mut test = Test::new().slow_answers().start().await;
  let ask = Ask::new("A stream over a planned stop. ", 330);
  let mut streams = Vec::new();
  for name in ["north-1", "north-1", "north-2"] {
    streams.push(test.open(name, &ask).await);
  }
  let process = &test.deployment.boxes["north-1"];
  process.signal(libc::SIGTERM);
  // A second signal interrupts nothing either.
  process.signal(libc::SIGTERM);
  let gone = eventually(PATIENCE, async || {
    !test.caller.is_ready(&test.url("north-1")).await
  });
  assert!(gone.await, "the health check still passes");
  for stream in streams {
    let whole = answer_text("A stream over a planned stop. ", 330);
    assert_eq!(finish(stream).await, Told::Answered(whole));
  }
  let process = test.deployment.boxes.get_mut("north-1").unwrap();
  let exited = eventually(PATIENCE, async || process.ended().is_some()).await;
  assert!(exited, "the box does not exit");
  assert!(process.ended().unwrap().success());
  test.wait_serving("north-2").await;
  test.wait_nothing_held().await;
}
