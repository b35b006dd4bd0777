//! Streams that are resumed at an engine with their prompt cached.

use {
  super::{EndpointStandIn, GatewayTest, Reply, Seen, endpoint::engine_reply},
  http::{HeaderValue, StatusCode},
  rstest::rstest,
};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const BEGINNING: &str = "id: 1\ndata: a\n\nid: 2\nda";
const REST: &str = "id: 2\ndata: b\n\n";
/// A prompt of 100 tokens: a shared segment and the request's own.
const SEGMENTS: &str = "5c1e:20,91bd:80";

fn is_stream(seen: &Seen) -> bool {
  seen.path.starts_with("/resumable/") && !seen.is_prompt()
}

/// An engine that lists its cached segments.
fn caching(seen: &Seen, segments: &str) -> Reply {
  match seen.path.as_str() {
    "/kv-list" => Reply::ok(
      seen,
      &format!(r#"{{"epoch":1,"nextPageToken":3,"held":{segments}}}"#),
    ),
    _ if is_stream(seen) => Reply::stream(seen, REST),
    _ => engine_reply(seen, EVENTS),
  }
}

fn caches_all(seen: &Seen) -> Reply {
  caching(seen, r#"[["","5c1e",20,"m"],["","91bd",80,"m"]]"#)
}

fn caches_shared_segment(seen: &Seen) -> Reply {
  caching(seen, r#"[["","5c1e",20,"m"]]"#)
}

fn caches_no_beginning(seen: &Seen) -> Reply {
  caching(seen, r#"[["","91bd",80,"m"]]"#)
}

#[rstest]
#[case::all_of_it(caches_all, 0)]
#[case::too_little(caches_shared_segment, 1)]
#[case::without_its_beginning(caches_no_beginning, 1)]
#[tokio::test]
async fn caller_resumes_a_stream(#[case] reply: fn(&Seen) -> Reply, #[case] prefills: usize) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let empty = EndpointStandIn::start(|seen| caching(seen, "[]")).await;
  let caching = EndpointStandIn::start(reply).await;
  let test = GatewayTest::new().await;
  test.enter("e-3", "llm", Some("decode"), &caching);
  let gateway = test.with_engines(&prefill, &empty).await;
  let mut request = gateway.request("/resumable/a", "r1");
  let headers = request.headers_mut();
  headers.insert("last-event-id", HeaderValue::from_static("1"));
  headers.insert("x-prompt-prefix", HeaderValue::from_static(SEGMENTS));
  let response = gateway.send(request).await;
  assert_eq!(response.status, StatusCode::OK);
  assert_eq!(response.body.unwrap(), REST);
  assert_eq!(prefill.requests().len(), prefills);
  if prefills == 0 {
    let run = &caching.requests()[0];
    assert_eq!(run.header("last-event-id"), "1");
    assert_eq!(run.header("x-hold"), "h1");
    assert_eq!(run.header("x-kv-source"), "");
    // The prompt is cached: memory is reserved for the response only.
    let calls = caching.seen();
    let hold = calls.iter().find(|seen| seen.path == "/hold-take").unwrap();
    assert!(String::from_utf8_lossy(&hold.body).contains("\"tokens\":25"));
  }
}

#[tokio::test]
async fn interrupted_stream_resumes_at_the_same_engine() {
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
  let response = gateway.ask("/resumable/a", "r1").await;
  assert_eq!(response.body.unwrap(), EVENTS);
  assert_eq!(prefill.requests().len(), 1);
  let runs = [one.requests().len(), other.requests().len()];
  assert!(runs == [2, 0] || runs == [0, 2], "{runs:?}");
}

#[tokio::test]
async fn rejected_resumption_is_tried_at_another_engine() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let full = EndpointStandIn::start(|seen| match seen.path.as_str() {
    "/hold-take" => Reply::not_run(seen),
    _ => caches_all(seen),
  })
  .await;
  let other = EndpointStandIn::start(|seen| caching(seen, "[]")).await;
  let test = GatewayTest::new().await;
  test.enter("e-3", "llm", Some("decode"), &other);
  let gateway = test.with_engines(&prefill, &full).await;
  let mut request = gateway.request("/resumable/a", "r1");
  let headers = request.headers_mut();
  headers.insert("last-event-id", HeaderValue::from_static("1"));
  headers.insert("x-prompt-prefix", HeaderValue::from_static(SEGMENTS));
  let response = gateway.send(request).await;
  assert_eq!(response.body.unwrap(), REST);
  assert_eq!(prefill.requests().len(), 1);
  assert!(full.requests().is_empty());
}

/// Guards against a shared listing, by which a request would find engines of another service.
#[tokio::test]
async fn each_service_has_its_own_listing_of_cached_prompts() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let decode = EndpointStandIn::start(caches_all).await;
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
  let other_decode = EndpointStandIn::start(caches_all).await;
  test.enter("o-1", "other", Some("prefill"), &other_prefill);
  test.enter("o-2", "other", Some("decode"), &other_decode);
  let gateway = test.with_engines(&prefill, &decode).await;
  for path in ["/resumable/a", "/resumable/other/a"] {
    let mut request = gateway.request(path, path);
    let headers = request.headers_mut();
    headers.insert("last-event-id", HeaderValue::from_static("1"));
    headers.insert("x-prompt-prefix", HeaderValue::from_static(SEGMENTS));
    assert_eq!(gateway.send(request).await.body.unwrap(), REST);
  }
  assert!(prefill.requests().is_empty());
  assert!(other_prefill.requests().is_empty());
  // With a shared listing the second request would be resumed at an engine of the first service.
  assert_eq!(decode.requests().len(), 1);
  assert_eq!(other_decode.requests().len(), 1);
}
