//! Two failures at once.

use {
  crate::{
    Test,
    test::{PATIENCE, finish},
  },
  emulator::{Ask, EngineFaults, KeyValueFaults, Told, answer_text, eventually},
};

const PROMPT: &str = "Both at once. ";

#[tokio::test]
async fn box_and_engine_die_at_once_and_the_other_box_answers_whole() {
  let mut test = Test::new().slow_answers().start().await;
  let stream = test.open("north-2", &Ask::new(PROMPT, 160)).await;
  let dead = ["north-decode-1", "north-decode-2"]
    .into_iter()
    .find(|name| !test.engine(name).held().is_empty())
    .unwrap();
  test.deployment.hosts.get_mut(dead).unwrap().kill();
  test.deployment.boxes.get_mut("north-1").unwrap().kill();
  assert_eq!(
    finish(stream).await,
    Told::Answered(answer_text(PROMPT, 160))
  );
  let free = eventually(PATIENCE, async || {
    let names = ["north-prefill-1", "north-decode-1", "north-decode-2"];
    let living = names.into_iter().filter(|name| *name != dead);
    living
      .map(|name| test.engine(name).held().len())
      .sum::<usize>()
      == 0
  });
  assert!(free.await);
}

#[tokio::test]
async fn box_dies_while_the_platform_is_away_and_the_other_serves_on() {
  let mut test = Test::new().start().await;
  test.deployment.doors["north"].set(KeyValueFaults {
    cut: true,
    ..KeyValueFaults::default()
  });
  test.deployment.boxes.get_mut("north-1").unwrap().kill();
  test.wait_serving("north-2").await;
  let told = test.refund("north-2", "refund-cut").await;
  assert!(matches!(told, Told::NotRun { status: 503, .. }), "{told:?}");
  assert_eq!(test.refund_runs("refund-cut"), 0);
}

#[tokio::test]
async fn boxes_cut_from_each_other_both_serve_and_sweep_nothing_that_lives() {
  let test = Test::new().slow_answers().start().await;
  test.deployment.cut_box("north-2");
  let alone = async |name: &str| {
    test
      .wait_status(name, |status| status.peers.iter().all(|peer| !peer.live))
      .await;
  };
  alone("north-1").await;
  alone("north-2").await;
  // Each takes itself for home of every engine, and holds for longer than the sweep waits.
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
async fn caller_leaves_while_its_engine_hears_no_holds_and_loses_cancels() {
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
