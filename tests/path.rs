//! The path of a request through all components, from the caller to the complete response.

use {
  crate::Test,
  emulator::{Ask, Echo, Told, answer_text},
  http::Method,
};

#[tokio::test]
async fn streamed_completion_passes_through_prefill_transfer_and_decode() {
  let test = Test::new().start().await;
  let before = test
    .deployment
    .engine("north-prefill-1")
    .unwrap()
    .tally()
    .prefills;
  let told = test
    .complete("north-1", &Ask::new("Chapter one. ", 30))
    .await;
  assert_eq!(told, Told::Answered(answer_text("Chapter one. ", 30)));
  let after = test
    .deployment
    .engine("north-prefill-1")
    .unwrap()
    .tally()
    .prefills;
  assert_eq!(after, before + 1);
  test.wait_nothing_held().await;
}

#[tokio::test]
async fn buffered_completion_has_the_same_text() {
  let test = Test::new().start().await;
  let told = test
    .complete("north-2", &Ask::new("Chapter two. ", 12).whole())
    .await;
  assert_eq!(told, Told::Answered(answer_text("Chapter two. ", 12)));
}

#[tokio::test]
async fn service_call_keeps_method_path_query_and_body_and_drops_hop_by_hop_headers() {
  let test = Test::new().start().await;
  let headers = [
    ("x-kept".to_string(), "1".to_string()),
    ("x-dropped".to_string(), "1".to_string()),
    ("connection".to_string(), "x-dropped".to_string()),
  ];
  let told = test
    .caller
    .call(
      &test.url("north-1"),
      Method::PUT,
      "portal/a/b?c=d%20e",
      &headers,
      "body",
    )
    .await;
  let Told::Answered(text) = told else {
    panic!("{told:?}");
  };
  let echo = serde_json::from_str::<Echo>(&text).unwrap();
  assert_eq!(
    (echo.method.as_str(), echo.path.as_str()),
    ("PUT", "/a/b?c=d%20e")
  );
  assert_eq!(echo.body, "body");
  assert!(echo.headers.contains(&"x-kept".to_string()));
  for dropped in ["x-dropped", "connection", "authorization"] {
    assert!(!echo.headers.contains(&dropped.to_string()), "{dropped}");
  }
}
