//! Streams that go on at the engine that still keeps their prompt.

use {
  super::{EndpointStandIn, GatewayTest, Reply, Seen, endpoint::engine_reply},
  http::{HeaderValue, StatusCode},
  rstest::rstest,
};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const BEGINNING: &str = "id: 1\ndata: a\n\nid: 2\nda";
const REST: &str = "id: 2\ndata: b\n\n";
/// A prompt of 100 tokens: a shared part and the request's own.
const PARTS: &str = "5c1e:20,91bd:80";

fn is_stream(seen: &Seen) -> bool {
  seen.path.starts_with("/resumable/") && !seen.is_prompt()
}

/// An engine that lists what it keeps.
fn keeping(seen: &Seen, held: &str) -> Reply {
  match seen.path.as_str() {
    "/kv-list" => Reply::ok(
      seen,
      &format!(r#"{{"epoch":1,"nextPageToken":3,"held":{held}}}"#),
    ),
    _ if is_stream(seen) => Reply::stream(seen, REST),
    _ => engine_reply(seen, EVENTS),
  }
}

fn keeps_all(seen: &Seen) -> Reply {
  keeping(seen, r#"[["","5c1e",20,"m"],["","91bd",80,"m"]]"#)
}

fn keeps_shared_part(seen: &Seen) -> Reply {
  keeping(seen, r#"[["","5c1e",20,"m"]]"#)
}

fn keeps_no_beginning(seen: &Seen) -> Reply {
  keeping(seen, r#"[["","91bd",80,"m"]]"#)
}

#[rstest]
#[case::all_of_it(keeps_all, 0)]
#[case::too_little(keeps_shared_part, 1)]
#[case::without_its_beginning(keeps_no_beginning, 1)]
#[tokio::test]
async fn caller_that_comes_back_for_the_rest(
  #[case] kept: fn(&Seen) -> Reply,
  #[case] prompts_read: usize,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let empty = EndpointStandIn::start(|seen| keeping(seen, "[]")).await;
  let keeping = EndpointStandIn::start(kept).await;
  let test = GatewayTest::new().await;
  test.enter("e-3", "llm", Some("decode"), &keeping);
  let gateway = test.with_engines(&prefill, &empty).await;
  let mut request = gateway.request("/resumable/a", "r1");
  let headers = request.headers_mut();
  headers.insert("last-event-id", HeaderValue::from_static("1"));
  headers.insert("x-prompt-prefix", HeaderValue::from_static(PARTS));
  let asked = gateway.send(request).await;
  assert_eq!(asked.status, StatusCode::OK);
  assert_eq!(asked.body.unwrap(), REST);
  assert_eq!(prefill.requests().len(), prompts_read);
  if prompts_read == 0 {
    let run = &keeping.requests()[0];
    assert_eq!(run.header("last-event-id"), "1");
    assert_eq!(run.header("x-hold"), "h1");
    assert_eq!(run.header("x-kv-source"), "");
    // The prompt has its place already: only the answer needs one.
    let asked = keeping.seen();
    let hold = asked.iter().find(|seen| seen.path == "/hold-take").unwrap();
    assert!(String::from_utf8_lossy(&hold.body).contains("\"tokens\":25"));
  }
}

#[tokio::test]
async fn stream_that_broke_goes_on_at_the_engine_that_wrote_it() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let script = |seen: &Seen| match seen.header("last-event-id") {
    "" if is_stream(seen) => Reply::WriteAndClose(Reply::stream_part(seen, BEGINNING)),
    _ if is_stream(seen) => Reply::stream(seen, REST),
    _ => engine_reply(seen, EVENTS),
  };
  let one = EndpointStandIn::start(script).await;
  let other = EndpointStandIn::start(script).await;
  let test = GatewayTest::new().await;
  test.enter("e-3", "llm", Some("decode"), &other);
  let gateway = test.with_engines(&prefill, &one).await;
  let asked = gateway.ask("/resumable/a", "r1").await;
  assert_eq!(asked.body.unwrap(), EVENTS);
  assert_eq!(prefill.requests().len(), 1);
  let runs = [one.requests().len(), other.requests().len()];
  assert!(runs == [2, 0] || runs == [0, 2], "{runs:?}");
}

#[tokio::test]
async fn engine_that_refuses_to_go_on_is_followed_by_another() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let full = EndpointStandIn::start(|seen| match seen.path.as_str() {
    "/hold-take" => Reply::not_run(seen),
    _ => keeps_all(seen),
  })
  .await;
  let other = EndpointStandIn::start(|seen| keeping(seen, "[]")).await;
  let test = GatewayTest::new().await;
  test.enter("e-3", "llm", Some("decode"), &other);
  let gateway = test.with_engines(&prefill, &full).await;
  let mut request = gateway.request("/resumable/a", "r1");
  let headers = request.headers_mut();
  headers.insert("last-event-id", HeaderValue::from_static("1"));
  headers.insert("x-prompt-prefix", HeaderValue::from_static(PARTS));
  let asked = gateway.send(request).await;
  assert_eq!(asked.body.unwrap(), REST);
  assert_eq!(prefill.requests().len(), 1);
  assert!(full.requests().is_empty());
}

/// Found by reading: one listing stood for all services, so a request of the second one found engines of the first.
#[tokio::test]
async fn each_service_has_a_listing_of_its_own() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let decode = EndpointStandIn::start(keeps_all).await;
  let test = GatewayTest::new().await.configure(|configuration| {
    let mut service = configuration["services"][1].clone();
    service["name"] = "other".into();
    let mut route = configuration["routes"][3].clone();
    route["name"] = "other".into();
    route["pathPrefix"] = "/resumable/other/".into();
    route["service"] = "other".into();
    let list = |key: &str, row| {
      configuration[key]
        .as_array()
        .unwrap()
        .iter()
        .cloned()
        .chain([row])
        .collect()
    };
    let (services, routes): (Vec<_>, Vec<_>) = (list("services", service), list("routes", route));
    configuration["services"] = services.into();
    configuration["routes"] = routes.into();
  });
  let other_prefill = EndpointStandIn::engine(EVENTS).await;
  let other_decode = EndpointStandIn::start(keeps_all).await;
  test.enter("o-1", "other", Some("prefill"), &other_prefill);
  test.enter("o-2", "other", Some("decode"), &other_decode);
  let gateway = test.with_engines(&prefill, &decode).await;
  for path in ["/resumable/a", "/resumable/other/a"] {
    let mut request = gateway.request(path, path);
    let headers = request.headers_mut();
    headers.insert("last-event-id", HeaderValue::from_static("1"));
    headers.insert("x-prompt-prefix", HeaderValue::from_static(PARTS));
    assert_eq!(gateway.send(request).await.body.unwrap(), REST);
  }
  assert!(prefill.requests().is_empty());
  assert!(other_prefill.requests().is_empty());
  // Without a listing of its own the second request goes on at an engine of the first service.
  assert_eq!(decode.requests().len(), 1);
  assert_eq!(other_decode.requests().len(), 1);
}
