//! The soak's endpoints: what they run, and what they reject, by the platform's rules.

use {
  rstest::rstest,
  soak::{EndpointKind, Recorder, Starts, serve_as},
  std::time::Duration,
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    spawn,
    time::timeout,
  },
};

const PATIENCE: Duration = Duration::from_secs(20);
const ORDER: &str = r#"{"operation":"none","stage":"decode","holder":"a","fence":1}"#;

/// Sends a request to an endpoint of a kind. Returns the status, whether the response says that it did not run, and the ids of the
/// work that was recorded.
async fn send(
  kind: EndpointKind,
  line: &str,
  headers: &[&str],
  body: &str,
) -> (u16, bool, Vec<String>) {
  let recorder = Recorder::default();
  let response = response(kind, Starts::Everywhere, &recorder, line, headers, body).await;
  let status = response.split(' ').nth(1).unwrap().parse().unwrap();
  let records = recorder.records();
  let ids = records.work.iter().map(|work| work.id.clone()).collect();
  (status, response.contains("x-not-executed: 1"), ids)
}

/// Sends a request to an endpoint of a kind that names its starts as given. Returns the response's head and body.
async fn response(
  kind: EndpointKind,
  starts: Starts,
  recorder: &Recorder,
  line: &str,
  headers: &[&str],
  body: &str,
) -> String {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  let of_endpoint = recorder.clone();
  spawn(async move {
    let (stream, _) = listener.accept().await.unwrap();
    serve_as(kind, starts, stream, of_endpoint).await;
  });
  let mut box_side = TcpStream::connect(address).await.unwrap();
  let headers: String = headers
    .iter()
    .map(|header| format!("{header}\r\n"))
    .collect();
  let length = body.len();
  let request = format!(
    "{line} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
  );
  box_side.write_all(request.as_bytes()).await.unwrap();
  let mut response = String::new();
  let read = timeout(PATIENCE, box_side.read_to_string(&mut response)).await;
  read.unwrap().unwrap();
  response
}

#[rstest]
#[case::reservation("POST /hold-take")]
#[case::release_of_a_reservation("DELETE /hold-drop/h1")]
#[case::release_of_an_export("DELETE /kv-handle/e1")]
#[case::listing("GET /kv-list")]
#[case::report("GET /report")]
#[case::role_order("POST /order")]
#[tokio::test]
async fn plain_endpoint_runs_whatever_has_an_id(#[case] line: &str) {
  let kind = EndpointKind::Plain;
  let ran = (200, false, vec!["a-1".to_string()]);
  assert_eq!(send(kind, line, &["x-request-id: a-1"], "").await, ran);
  let named = ["x-request-id: a-1", "x-expect-instance: i-0"];
  assert_eq!(send(kind, line, &named, "").await, ran);
  let other = ["x-request-id: a-1", "x-expect-instance: i-9"];
  assert_eq!(send(kind, line, &other, "").await, (421, true, vec![]));
  // It does not run, but nobody should have sent it.
  let without_id = (400, true, vec![String::new()]);
  assert_eq!(send(kind, line, &[], "").await, without_id);
}

#[rstest]
#[case::stream_at_a_prefill_engine(EndpointKind::Prefill, "POST /stream/a", &[], 421)]
#[case::prefill_at_a_decode_engine(EndpointKind::Decode, "POST /stream/a", &["x-serving-stage: prefill"], 421)]
#[case::unknown_handle(EndpointKind::Decode, "POST /stream/a", &["x-kv-source: 127.0.0.1:1/e9"], 503)]
#[tokio::test]
async fn engine_rejects_what_it_can_not_run(
  #[case] kind: EndpointKind,
  #[case] line: &str,
  #[case] headers: &[&str],
  #[case] status: u16,
) {
  let headers = [headers, &["x-request-id: a"]].concat();
  let seen = send(kind, line, &headers, "prompt").await;
  assert_eq!(seen, (status, true, vec![]));
}

#[tokio::test]
async fn engine_rejects_an_unknown_order() {
  let (status, _, work) = send(EndpointKind::Prefill, "POST /order", &[], ORDER).await;
  assert_eq!((status, work), (400, vec![]));
}

#[rstest]
#[case::everywhere("everywhere", Starts::Everywhere, true)]
#[case::nowhere("nowhere", Starts::Nowhere, false)]
#[case::entries("entries", Starts::Entries, false)]
#[case::reports("reports", Starts::Reports, true)]
#[case::new_ids("new-ids", Starts::NewIds, false)]
#[tokio::test]
async fn report_names_the_start_if_it_is_to(
  #[case] name: &str,
  #[case] starts: Starts,
  #[case] is_named: bool,
) {
  assert_eq!(name.parse(), Ok(starts));
  let recorder = Recorder::default();
  let response = response(
    EndpointKind::Decode,
    starts,
    &recorder,
    "GET /report",
    &[],
    "",
  )
  .await;
  assert_eq!(response.contains(r#""born":1"#), is_named, "{response}");
}

#[rstest]
#[case::empty("")]
#[case::upper_case("Entries")]
#[case::singular("report")]
fn unknown_place_of_starts_is_an_error_that_names_it(#[case] name: &str) {
  let error = name.parse::<Starts>().unwrap_err();
  assert!(error.contains(&format!("{name:?}")), "{error}");
}
