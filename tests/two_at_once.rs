//! Two simultaneous failures.

use {
  crate::{
    Test,
    test::{PATIENCE, finish},
  },
  emulator::{Ask, EngineFaults, KeyValueFaults, Told, answer_text, eventually},
};

const PROMPT: &str = "Both at once. ";

#[tokio::test]
async fn request_completes_when_another_box_and_its_engine_are_killed() {
  let mut test = Test::new().slow_answers().start().await;
  let stream = test.open("north-2", &Ask::new(PROMPT, 160)).await;
  let killed = ["north-decode-1", "north-decode-2"]
    .into_iter()
    .find(|name| !test.engine(name).held().is_empty())
    .unwrap();
  test.deployment.hosts.get_mut(killed).unwrap().kill();
  test.deployment.boxes.get_mut("north-1").unwrap().kill();
  assert_eq!(
    finish(stream).await,
    Told::Answered(answer_text(PROMPT, 160))
  );
  let free = eventually(PATIENCE, async || {
    let names = ["north-prefill-1", "north-decode-1", "north-decode-2"];
    let live = names.into_iter().filter(|name| *name != killed);
    live
      .map(|name| test.engine(name).held().len())
      .sum::<usize>()
      == 0
  });
  assert!(free.await);
}

#[tokio::test]
async fn box_is_killed_during_a_store_outage_and_the_other_serves() {
  let mut test = Test::new().start().await;
  test.deployment.doors["north"].set(KeyValueFaults {
    cut: true,
    ..KeyValueFaults::default()
  });
  test.deployment.boxes.get_mut("north-1").unwrap().kill();
  test.wait_serving("north-2").await;
  let result = test.refund("north-2", "refund-cut").await;
  assert!(
    matches!(result, Told::NotRun { status: 503, .. }),
    "{result:?}"
  );
  assert_eq!(test.refund_runs("refund-cut"), 0);
}

#[tokio::test]
async fn isolated_boxes_both_serve_and_cancel_no_live_attempts() {
  let test = Test::new().slow_answers().start().await;
  test.deployment.cut_box("north-2");
  let wait_isolated = async |name: &str| {
    test
      .wait_status(name, |status| status.peers.iter().all(|peer| !peer.live))
      .await;
  };
  wait_isolated("north-1").await;
  wait_isolated("north-2").await;
  // Each box takes itself for the owner of every engine, and the answers take longer than a hold lives.
  let ask = Ask::new(PROMPT, 240);
  let (one, other) = tokio::join!(
    test.complete("north-1", &ask),
    test.complete("north-2", &ask)
  );
  assert_eq!(one, Told::Answered(answer_text(PROMPT, 240)));
  assert_eq!(other, Told::Answered(answer_text(PROMPT, 240)));
  test.deployment.mend_links();
  test
    .wait_status("north-1", |status| {
      status.peers.iter().all(|peer| peer.live)
    })
    .await;
  test.wait_nothing_held().await;
}

#[tokio::test]
async fn caller_disconnects_while_its_engine_ignores_hold_extensions_and_loses_cancels() {
  let test = Test::new().slow_answers().start().await;
  let stream = test.open("north-1", &Ask::new(PROMPT, 800)).await;
  for name in ["north-decode-1", "north-decode-2"] {
    test.engine(name).set_faults(EngineFaults {
      deaf_to_holds: true,
      lose_cancel_answers: 1,
      ..EngineFaults::default()
    });
  }
  drop(stream);
  test.wait_nothing_held().await;
}
