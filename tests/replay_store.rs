//! The replay's store and operator: faults strike the boxes that they name and end apart, limits hold over all boxes, and
//! configurations change as a day's steps say.

use {
  base64::{Engine, engine::general_purpose::STANDARD},
  replay::{
    BoxStores, Impairment, Operator, Recorder, Routes, Site, StoreFaultPlay, play_store_fault,
    struck_boxes,
  },
  rstest::rstest,
  serde_json::{Value, json},
  stand_ins::{FaultGuard, PlatformStore, StoreCondition, StoreLimits, WriteLoss},
  std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
  },
};

/// Bound on all waiting; far above what is expected, so that a slow machine changes no verdict.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time in which nothing arrives.
const QUIET: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longer than any test takes, and short enough for the store to remember.
const LONG_AGO: Duration = Duration::from_secs(29);

const SITE: &str = r#"
name = "small"
contracts = []
length_s = 10.0
zones = [{ name = "north", region = "one" }]
machines = [{ class = "front", cpu_share = 1.0, cores = 1, memory_mb = 64, fds = 64, link_mbps = 10.0, zone = "north", count = 2 }]
services = [
  { name = "chat", servers = [{ zone = "north", count = 2 }], slots = 8, queue = 2, conn_cap = 40, llm = { step_ms = 3.0, step_ms_per_slot = 0.1, prefill_tokens_per_ms = 50.0, first_ms = 30.0, stride = 11, chunk = 2048, kv_tokens = 50000, kv_bytes = 18432.0, link_mbps = 350000.0, report_lag_ms = 900.0, prefill = 0.35, handle_s = 0.5, switch_s = 6.0, pin_ms = 4000.0, hold_ms = 2000.0 } },
  { name = "shop", servers = [{ zone = "north", count = 1 }], slots = 6, queue = 24, conn_cap = 96 },
  { name = "stock", servers = [{ zone = "north", count = 1 }], slots = 6, queue = 24, conn_cap = 96 },
]
classes = [
  { name = "talk", service = "chat", method = "POST", kind = "stream", aim_ms = 900.0, deadline_ms = 14000, timeout_ms = 14000, priority = 1, retries = 1, attempts = 2, stream = { pieces = { mean = 71.0 }, piece_bytes = { mean = 80.0 }, gap_aim_ms = 300.0, resume = true, prompt_tokens = { mean = 5000.0 } } },
  { name = "buy", service = "shop", method = "POST", kind = "unsafe", aim_ms = 300, deadline_ms = 4000, timeout_ms = 2000, attempts = 1 },
  { name = "look", service = "shop", method = "GET", kind = "safe", aim_ms = 300, deadline_ms = 4000, timeout_ms = 2000, attempts = 2 },
]
traffic = [{ zone = "north", mix = { talk = 1.0, buy = 1.0, look = 1.0 }, per_s = 5.0, clients = 4 }]
[net]
in_zone_ms = 0.2
cross_zone_ms = 0.5
cross_region_ms = 12.0
client_ms = 3.0
[timing]
catch_up_s = 4.0
again_s = 7.2
pass_ms = 120.0
[discovery]
beat_ms = 1200
lag_ms = 800
[config]
idle_routes = 3
body_bytes = 1000
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
drain_ms = 2000
config_ms = 2000
touch_ms = 3000
ack_ms = 4000
outer_ms = 5000
grace_s = 8.0
recover_s = 12.0
budget_slack = 52.0
[platform]
writes_per_s = 400.0
reads_per_s = 2000.0
"#;

/// A connection to the store.
struct Channel(TcpStream);

impl Channel {
  async fn open(address: SocketAddr) -> Self {
    Self(TcpStream::connect(address).await.unwrap())
  }

  async fn send(&mut self, method: &str, path: &str, body: &Value) {
    let body = body.to_string();
    let length = body.len();
    let bytes = format!(
      "{method} {path} HTTP/1.1\r\nhost: store\r\ncontent-type: application/json\r\n\
       content-length: {length}\r\n\r\n{body}"
    );
    self.0.write_all(bytes.as_bytes()).await.unwrap();
  }

  /// The next response; fails with the end of the connection.
  async fn response(&mut self) -> io::Result<(u16, Value)> {
    let mut bytes = Vec::new();
    loop {
      if self.0.read_buf(&mut bytes).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
      }
      if let Some(response) = parse(&bytes) {
        return Ok(response);
      }
    }
  }

  async fn call(&mut self, method: &str, path: &str, body: &Value) -> (u16, Value) {
    self.send(method, path, body).await;
    let response = timeout(PATIENCE, self.response()).await;
    response.unwrap().unwrap()
  }

  /// How the connection ends.
  async fn end(&mut self) -> io::ErrorKind {
    let response = timeout(PATIENCE, self.response()).await;
    response.unwrap().unwrap_err().kind()
  }

  async fn assert_quiet(&mut self) {
    let response = timeout(QUIET, self.response()).await;
    assert!(response.is_err(), "{response:?}");
  }
}

/// A whole response with a length.
fn parse(bytes: &[u8]) -> Option<(u16, Value)> {
  let text = std::str::from_utf8(bytes).unwrap();
  let (head, body) = text.split_once("\r\n\r\n")?;
  let status = head.split(' ').nth(1)?.parse().unwrap();
  let mut lengths = head
    .lines()
    .filter_map(|line| line.strip_prefix("content-length: "));
  let length: usize = lengths.next().map_or(0, |length| length.parse().unwrap());
  (body.len() >= length).then(|| (status, serde_json::from_str(body).unwrap_or_default()))
}

/// A store with a view for each of two boxes.
async fn two_views() -> (PlatformStore, PlatformStore, PlatformStore) {
  let store = PlatformStore::start().await.unwrap();
  let view = || store.start_view(|_, value| value);
  let (first, second) = (view().await.unwrap(), view().await.unwrap());
  (store, first, second)
}

async fn call(view: &PlatformStore, method: &str, path: &str, body: Value) -> (u16, Value) {
  let mut channel = Channel::open(view.address).await;
  channel.call(method, path, &body).await
}

async fn get(view: &PlatformStore, path: &str) -> (u16, Value) {
  call(view, "GET", path, Value::Null).await
}

async fn status(view: &PlatformStore) -> u16 {
  get(view, "/kv-range?pathPrefix=").await.0
}

/// Writes a key of a box; `revision` is the condition on the key.
fn write_call(key: &str, lease: u64, revision: Option<u64>) -> Value {
  let condition = revision.map(|revision| json!({"key": key, "revision": revision}));
  let conditions: Vec<Value> = condition.into_iter().collect();
  let set = json!({"key": key, "value": STANDARD.encode("box"), "lease": lease});
  json!({"prevRevision": conditions, "setKeys": [set], "remove": []})
}

async fn write(view: &PlatformStore, key: &str, lease: u64, revision: Option<u64>) -> (u16, Value) {
  call(view, "POST", "/kv-txn", write_call(key, lease, revision)).await
}

async fn grant(view: &PlatformStore, ttl_ms: u64) -> u64 {
  let (status, body) = call(view, "POST", "/kv-lease", json!({"ttlMs": ttl_ms})).await;
  assert_eq!(status, 200);
  body["lease"].as_u64().unwrap()
}

fn has_key(store: &PlatformStore, key: &str) -> bool {
  store.keys().iter().any(|of| of == key)
}

async fn eventually(mut holds: impl AsyncFnMut() -> bool) {
  let wait = async {
    while !holds().await {
      sleep(POLL_INTERVAL).await;
    }
  };
  timeout(PATIENCE, wait).await.unwrap();
}

fn limits() -> StoreLimits {
  StoreLimits {
    history: Duration::from_secs(3_600),
    page_items: 500,
    reads_per_s: 1e9,
    writes_per_s: 1e9,
  }
}

#[rstest]
#[case::busy(StoreCondition::Busy, 503)]
#[case::many(StoreCondition::Many, 429)]
#[tokio::test]
async fn one_box_is_rejected_while_another_is_served(
  #[case] condition: StoreCondition,
  #[case] expected: u16,
) {
  let (_store, first, second) = two_views().await;
  let guard = first.begin_condition(condition);
  assert_eq!(status(&first).await, expected);
  assert_eq!(status(&second).await, 200);
  drop(guard);
  assert_eq!(status(&first).await, 200);
}

#[tokio::test]
async fn connections_of_one_box_are_reset() {
  let (_store, first, second) = two_views().await;
  let mut idle = Channel::open(first.address).await;
  idle.call("GET", "/kv-key?key=a", &Value::Null).await;
  let mut watching = Channel::open(first.address).await;
  let watch = "/kv-watch?pathPrefix=&after=0&waitMs=30000";
  watching.send("GET", watch, &Value::Null).await;
  watching.assert_quiet().await;
  let guard = first.begin_condition(StoreCondition::Reset);
  assert_eq!(idle.end().await, io::ErrorKind::ConnectionReset);
  assert_eq!(watching.end().await, io::ErrorKind::ConnectionReset);
  let mut late = Channel::open(first.address).await;
  assert_eq!(late.end().await, io::ErrorKind::ConnectionReset);
  assert_eq!(status(&second).await, 200);
  drop(guard);
  assert_eq!(status(&first).await, 200);
}

#[tokio::test]
async fn silent_store_takes_connections_and_answers_none() {
  let (store, first, second) = two_views().await;
  let mut watching = Channel::open(first.address).await;
  let watch = "/kv-watch?pathPrefix=&after=0&waitMs=30000";
  watching.send("GET", watch, &Value::Null).await;
  watching.assert_quiet().await;
  let guard = first.begin_condition(StoreCondition::Silent);
  store.put("a", b"1");
  let mut channel = Channel::open(first.address).await;
  let body = write_call("box", 0, None);
  channel.send("POST", "/kv-txn", &body).await;
  channel.assert_quiet().await;
  watching.assert_quiet().await;
  assert!(!has_key(&store, "box"));
  assert_eq!(status(&second).await, 200);
  drop(guard);
  assert_eq!(status(&first).await, 200);
}

#[rstest]
#[case::busy(StoreCondition::Busy)]
#[case::many(StoreCondition::Many)]
#[tokio::test]
async fn waiting_watches_are_cut_as_a_rejection_begins(#[case] condition: StoreCondition) {
  let (_store, first, _) = two_views().await;
  let mut watching = Channel::open(first.address).await;
  let watch = "/kv-watch?pathPrefix=&after=0&waitMs=30000";
  watching.send("GET", watch, &Value::Null).await;
  watching.assert_quiet().await;
  let _guard = first.begin_condition(condition);
  assert_eq!(watching.end().await, io::ErrorKind::UnexpectedEof);
}

#[tokio::test]
async fn overlapping_rejections_end_apart() {
  let (store, first, second) = two_views().await;
  let busy = first.begin_condition(StoreCondition::Busy);
  let many = first.begin_condition(StoreCondition::Many);
  assert_eq!(status(&first).await, 429);
  drop(busy);
  assert_eq!(status(&first).await, 429);
  let everywhere = store.begin_condition_everywhere(StoreCondition::Busy);
  assert_eq!(status(&first).await, 503);
  assert_eq!(status(&second).await, 503);
  drop(everywhere);
  assert_eq!(status(&first).await, 429);
  assert_eq!(status(&second).await, 200);
  drop(many);
  assert_eq!(status(&first).await, 200);
}

#[tokio::test]
async fn writes_of_all_boxes_share_one_limit() {
  const PER_S: u32 = 10;
  let (store, first, second) = two_views().await;
  store.set_limits(StoreLimits {
    writes_per_s: PER_S.into(),
    ..limits()
  });
  let started = Instant::now();
  let mut admitted = 0;
  for _ in 0..4 * PER_S {
    for view in [&first, &second] {
      let (status, _) = write(view, "box", 0, None).await;
      assert!([200, 429].contains(&status), "{status}");
      admitted += u32::from(status == 200);
    }
  }
  let allowed = f64::from(PER_S) * (1.0 + started.elapsed().as_secs_f64());
  assert!(admitted >= PER_S);
  assert!(f64::from(admitted) <= allowed, "{admitted} of {allowed}");
}

#[tokio::test]
async fn stale_reads_are_free_and_others_are_not() {
  let (store, first, _) = two_views().await;
  let lease = grant(&first, 60_000).await;
  store.set_limits(StoreLimits {
    reads_per_s: 0.0,
    writes_per_s: 0.0,
    ..limits()
  });
  let statuses = [
    get(&first, "/kv-range?pathPrefix=&serializable=1").await.0,
    get(&first, "/kv-range?pathPrefix=").await.0,
    get(&first, "/kv-key?key=a").await.0,
    get(&first, "/kv-watch?pathPrefix=&after=0&waitMs=1")
      .await
      .0,
    call(&first, "POST", &format!("/kv-keep/{lease}"), Value::Null)
      .await
      .0,
    call(&first, "POST", "/kv-lease", json!({"ttlMs": 1_000}))
      .await
      .0,
    write(&first, "box", 0, None).await.0,
  ];
  assert_eq!(statuses, [200, 429, 429, 429, 429, 429, 429]);
}

#[tokio::test]
async fn renewals_cost_a_tenth_of_a_read() {
  let (store, first, _) = two_views().await;
  let lease = grant(&first, 60_000).await;
  store.set_limits(StoreLimits {
    reads_per_s: 1.0,
    ..limits()
  });
  let started = Instant::now();
  let mut admitted = 0;
  for _ in 0..40 {
    let path = format!("/kv-keep/{lease}");
    let (status, _) = call(&first, "POST", &path, Value::Null).await;
    admitted += u32::from(status == 200);
  }
  let allowed = 10.0 * (1.0 + started.elapsed().as_secs_f64());
  // The tenths may not add up to one read exactly.
  assert!(admitted >= 9, "{admitted}");
  assert!(f64::from(admitted) <= allowed, "{admitted} of {allowed}");
}

#[rstest]
#[case::at_once(false)]
#[case::late(true)]
#[tokio::test]
async fn lost_answer_of_a_write_silences_its_connection(#[case] is_late: bool) {
  let (store, first, second) = two_views().await;
  let guard = store.begin_write_loss(WriteLoss {
    is_late,
    seed: 1,
    share: 1.0,
  });
  let mut channel = Channel::open(first.address).await;
  let body = write_call("box", 0, None);
  channel.send("POST", "/kv-txn", &body).await;
  channel.send("GET", "/kv-key?key=box", &Value::Null).await;
  eventually(async || has_key(&store, "box")).await;
  channel.assert_quiet().await;
  assert_eq!(get(&second, "/kv-key?key=box").await.0, 200);
  drop(guard);
  assert_eq!(write(&first, "other", 0, None).await.0, 200);
}

#[tokio::test]
async fn late_write_outlives_its_connection_and_not_its_condition() {
  let (store, first, _) = two_views().await;
  store.put("taken", b"1");
  let guard = store.begin_write_loss(WriteLoss {
    is_late: true,
    seed: 1,
    share: 1.0,
  });
  for (key, revision) in [("taken", 0), ("free", 0)] {
    let mut channel = Channel::open(first.address).await;
    let body = write_call(key, 0, Some(revision));
    channel.send("POST", "/kv-txn", &body).await;
    channel.assert_quiet().await;
  }
  drop(guard);
  eventually(async || has_key(&store, "free")).await;
  let (_, item) = get(&first, "/kv-key?key=taken").await;
  assert_eq!(item["value"], STANDARD.encode("1"));
}

#[rstest]
#[case::share(0.3)]
#[case::none(0.0)]
#[tokio::test]
async fn share_of_lost_answers_is_as_seeded(#[case] share: f64) {
  let mut runs = Vec::new();
  for _ in 0..2 {
    let (store, first, _) = two_views().await;
    let _guard = store.begin_write_loss(WriteLoss {
      is_late: false,
      seed: 7,
      share,
    });
    let mut answered = Vec::new();
    for _ in 0..20 {
      let mut channel = Channel::open(first.address).await;
      let body = write_call("box", 0, None);
      channel.send("POST", "/kv-txn", &body).await;
      let revision = store_revision(&first).await;
      let response = timeout(QUIET, channel.response()).await;
      answered.push(response.is_ok());
      assert!(store_revision(&first).await >= revision);
    }
    runs.push(answered);
  }
  assert_eq!(runs[0], runs[1]);
  assert_eq!(runs[0].iter().all(|is_answered| *is_answered), share == 0.0);
}

async fn store_revision(view: &PlatformStore) -> u64 {
  let (_, body) = get(view, "/kv-range?pathPrefix=").await;
  body["timestamp"].as_u64().unwrap()
}

#[rstest]
#[case::configuration("op/config")]
#[case::endpoint("servers/e-1")]
#[tokio::test]
async fn boxes_may_not_write_the_keys_of_others(#[case] key: &str) {
  let (store, first, _) = two_views().await;
  store.put(key, b"theirs");
  assert_eq!(write(&first, key, 0, None).await.0, 403);
  let removal = json!({"prevRevision": [], "setKeys": [], "remove": [key]});
  assert_eq!(call(&first, "POST", "/kv-txn", removal).await.0, 403);
  let (_, item) = get(&first, &format!("/kv-key?key={key}")).await;
  assert_eq!(item["value"], STANDARD.encode("theirs"));
}

#[tokio::test]
async fn failed_condition_shows_the_present_item() {
  let (_store, first, _) = two_views().await;
  assert_eq!(write(&first, "box", 0, Some(0)).await.0, 200);
  let (status, body) = write(&first, "box", 0, Some(0)).await;
  assert_eq!(status, 412);
  assert_eq!(body["items"][0]["key"], "box");
  assert_eq!(body["items"][0]["value"], STANDARD.encode("box"));
}

#[tokio::test]
async fn write_under_a_lease_that_is_over_is_rejected() {
  let (store, first, _) = two_views().await;
  let lease = grant(&first, 60_000).await;
  let path = format!("/kv-lease-end/{lease}");
  call(&first, "DELETE", &path, Value::Null).await;
  assert_eq!(write(&first, "box", lease, None).await.0, 404);
  let path = format!("/kv-keep/{lease}");
  assert_eq!(call(&first, "POST", &path, Value::Null).await.0, 404);
  assert!(!has_key(&store, "box"));
}

#[tokio::test]
async fn key_keeps_its_creation_as_it_changes() {
  let (store, first, _) = two_views().await;
  store.put("a", b"1");
  let (_, created) = get(&first, "/kv-key?key=a").await;
  store.put("a", b"2");
  let (_, changed) = get(&first, "/kv-key?key=a").await;
  assert_eq!(changed["created"], created["revision"]);
  assert_ne!(changed["revision"], created["revision"]);
}

#[rstest]
#[case::limit(Some(500), 500)]
#[case::usual(None, 2)]
#[tokio::test]
async fn pages_hold_as_many_items_as_the_limit(
  #[case] page_items: Option<usize>,
  #[case] expected: usize,
) {
  let (store, first, _) = two_views().await;
  if let Some(page_items) = page_items {
    store.set_limits(StoreLimits {
      page_items,
      ..limits()
    });
  }
  for number in 0..501 {
    store.put(&format!("key-{number:03}"), b"1");
  }
  let (_, page) = get(&first, "/kv-range?pathPrefix=").await;
  assert_eq!(page["items"].as_array().unwrap().len(), expected);
  assert_eq!(page["hasMore"], true);
  let (_, page) = get(&first, "/kv-range?pathPrefix=&after=key-499").await;
  assert_eq!(page["items"].as_array().unwrap().len(), 1);
  assert_eq!(page["hasMore"], false);
}

#[tokio::test]
async fn page_of_large_values_ends_early() {
  let (store, first, _) = two_views().await;
  store.set_limits(limits());
  for key in ["a", "b", "c"] {
    store.put_raw(key, &"v".repeat(600_000));
  }
  let (_, page) = get(&first, "/kv-range?pathPrefix=").await;
  assert_eq!(page["items"].as_array().unwrap().len(), 1);
  assert_eq!(page["hasMore"], true);
}

#[tokio::test]
async fn stale_reads_show_earlier_items_and_others_the_present_ones() {
  let (store, first, _) = two_views().await;
  store.set_limits(limits());
  store.put("a", b"1");
  store.remove("a");
  store.put("b", b"2");
  let items = async |path: &str| get(&first, path).await.1["items"].as_array().unwrap().len();
  let stale = "/kv-range?pathPrefix=&serializable=1";
  let guard = store.begin_stale_reads(LONG_AGO);
  assert_eq!(items(stale).await, 0);
  assert_eq!(items("/kv-range?pathPrefix=").await, 1);
  // A younger age counts while both last, and shows the item in the end.
  let younger = store.begin_stale_reads(Duration::from_millis(1));
  eventually(async || items(stale).await == 1).await;
  drop(younger);
  assert_eq!(items(stale).await, 0);
  drop(guard);
  assert_eq!(items(stale).await, 1);
}

#[tokio::test]
async fn watch_hears_nothing_before_a_compaction_and_has_to_list_anew() {
  let (store, first, _) = two_views().await;
  let mut watching = Channel::open(first.address).await;
  let watch = "/kv-watch?pathPrefix=&after=0&waitMs=1";
  let deaf = store.begin_deaf_watches();
  watching.send("GET", watch, &Value::Null).await;
  store.put("a", b"1");
  watching.assert_quiet().await;
  store.compact_history();
  drop(deaf);
  // The cut may come before the response.
  match timeout(PATIENCE, watching.response()).await.unwrap() {
    Ok((status, _)) => assert_eq!(status, 410),
    Err(error) => assert_eq!(error.kind(), io::ErrorKind::UnexpectedEof),
  }
  assert_eq!(get(&first, watch).await.0, 410);
}

#[tokio::test]
async fn watch_from_a_forgotten_revision_is_gone() {
  let (store, first, _) = two_views().await;
  store.set_limits(StoreLimits {
    history: Duration::ZERO,
    ..limits()
  });
  store.put("a", b"1");
  let watch = "/kv-watch?pathPrefix=&after=0&waitMs=1";
  eventually(async || get(&first, watch).await.0 == 410).await;
  let (status, body) = get(&first, "/kv-watch?pathPrefix=&after=1&waitMs=1").await;
  assert_eq!((status, &body["events"]), (200, &json!([])));
}

#[tokio::test]
async fn watch_is_not_ended_by_changes_below_other_prefixes() {
  let (store, first, _) = two_views().await;
  let mut watching = Channel::open(first.address).await;
  let watch = "/kv-watch?pathPrefix=mine/&after=0&waitMs=60000";
  watching.send("GET", watch, &Value::Null).await;
  store.put("theirs/a", b"1");
  watching.assert_quiet().await;
  store.put("mine/a", b"1");
  let (status, body) = timeout(PATIENCE, watching.response())
    .await
    .unwrap()
    .unwrap();
  assert_eq!(status, 200);
  assert_eq!(body["events"].as_array().unwrap().len(), 1);
  assert_eq!(body["events"][0]["key"], "mine/a");
}

#[tokio::test]
async fn leases_wait_while_paused_and_run_out_afterwards() {
  let (store, first, _) = two_views().await;
  let pause = store.begin_lease_pause();
  let lease = grant(&first, 1).await;
  assert_eq!(write(&first, "box", lease, None).await.0, 200);
  let longer = store.begin_lease_pause();
  drop(pause);
  sleep(2 * QUIET).await;
  assert!(has_key(&store, "box"));
  drop(longer);
  eventually(async || !has_key(&store, "box")).await;
}

#[tokio::test]
async fn ended_leases_of_one_box_leave_those_of_others() {
  let (store, first, second) = two_views().await;
  for (view, key) in [(&first, "first"), (&second, "second")] {
    let lease = grant(view, 60_000).await;
    assert_eq!(write(view, key, lease, None).await.0, 200);
  }
  first.end_leases_of_view();
  assert_eq!(store.keys(), ["second"]);
}

#[tokio::test]
async fn leader_is_the_box_that_took_a_leased_key_under_a_condition() {
  let (store, first, second) = two_views().await;
  assert_eq!(store.last_leader(), None);
  let lease = grant(&second, 60_000).await;
  assert_eq!(write(&second, "leader", lease, Some(0)).await.0, 200);
  // Neither an entry of its own, nor a record, nor a failed attempt makes a leader.
  let lease = grant(&first, 60_000).await;
  assert_eq!(write(&first, "box", lease, None).await.0, 200);
  assert_eq!(write(&first, "record", 0, Some(0)).await.0, 200);
  assert_eq!(write(&first, "leader", lease, Some(0)).await.0, 412);
  assert_eq!(store.last_leader(), Some(second.address));
}

/// A store with the views of four boxes, of which the last does not run.
async fn four_boxes() -> BoxStores {
  let stores = BoxStores::start(&site()).await.unwrap();
  for index in 0..4 {
    stores.open_view(index, |_, value| value).await.unwrap();
  }
  for index in 0..3 {
    let view = stores.view(index).unwrap();
    let lease = grant(&view, 60_000).await;
    let (status, _) = write(&view, &format!("box-{index}"), lease, None).await;
    assert_eq!(status, 200);
  }
  stores
}

fn conditions(stores: &BoxStores) -> Vec<StoreCondition> {
  let boxes = stores.boxes();
  let views = boxes.iter().filter_map(|index| stores.view(*index));
  views.map(|view| view.condition()).collect()
}

/// A call of `meet` or `drain`, and the conditions of the boxes' views at it.
type Change = (&'static str, Vec<StoreCondition>);

fn fault(kind: &str, how: &str) -> Impairment {
  Impairment {
    count: Some(1),
    for_s: Some(0.02),
    how: how.into(),
    kind: kind.into(),
    ..Impairment::default()
  }
}

async fn play(fault: &Impairment, stores: &BoxStores, seed: u64) -> (bool, Vec<Change>) {
  let changes = Mutex::new(Vec::new());
  let note = |name| changes.lock().unwrap().push((name, conditions(stores)));
  let play = StoreFaultPlay {
    drain: &|| note("drain"),
    meet: &|| note("meet"),
    recorder: &Recorder::default(),
    seed,
  };
  let is_played = play_store_fault(fault, stores, play).await;
  (is_played, changes.into_inner().unwrap())
}

#[rstest]
#[case::busy("nodes busy revoke meet drain", StoreCondition::Busy)]
#[case::many("nodes many meet drain", StoreCondition::Many)]
#[case::reset("nodes reset meet drain", StoreCondition::Reset)]
#[case::silent("nodes meet drain", StoreCondition::Silent)]
#[tokio::test]
async fn fault_strikes_one_box_and_ends_before_a_server_leaves(
  #[case] how: &str,
  #[case] condition: StoreCondition,
) {
  let stores = four_boxes().await;
  let fault = fault("platform_down", how);
  let struck = struck_boxes(&fault, &stores, 5);
  assert_eq!(struck.len(), 1);
  let (_, changes) = play(&fault, &stores, 5).await;
  let serving = vec![StoreCondition::Serving; 4];
  let mut during = serving.clone();
  during[struck[0]] = condition;
  let expected = [
    ("meet", during),
    ("meet", serving.clone()),
    ("drain", serving),
  ];
  assert_eq!(changes, expected);
  let entry = format!("box-{}", struck[0]);
  assert_eq!(has_key(stores.store(), &entry), !fault.has("revoke"));
  assert_eq!(
    stores.store().keys().len(),
    3 - usize::from(fault.has("revoke"))
  );
}

#[tokio::test]
async fn struck_boxes_run_and_are_as_seeded() {
  let stores = four_boxes().await;
  let all = Impairment {
    count: None,
    share: Some(1.0),
    ..fault("platform_down", "nodes")
  };
  let draws: Vec<_> = (0..20)
    .map(|seed| struck_boxes(&all, &stores, seed))
    .collect();
  let again: Vec<_> = (0..20)
    .map(|seed| struck_boxes(&all, &stores, seed))
    .collect();
  assert_eq!(draws, again);
  assert!(draws.iter().any(|boxes| *boxes != draws[0]));
  for boxes in draws {
    assert_eq!(BTreeSet::from_iter(boxes), BTreeSet::from([0, 1, 2]));
  }
}

#[tokio::test]
async fn share_of_no_whole_box_strikes_one() {
  let stores = four_boxes().await;
  let few = Impairment {
    count: None,
    share: Some(0.01),
    ..fault("platform_down", "nodes")
  };
  assert_eq!(struck_boxes(&few, &stores, 1).len(), 1);
}

#[tokio::test]
async fn leader_is_struck_first() {
  let stores = four_boxes().await;
  let leader = stores.view(2).unwrap();
  let lease = grant(&leader, 60_000).await;
  assert_eq!(write(&leader, "leader", lease, Some(0)).await.0, 200);
  assert_eq!(stores.leader(), Some(2));
  let fault = fault("platform_down", "nodes leader busy");
  for seed in 0..20 {
    assert_eq!(struck_boxes(&fault, &stores, seed), [2]);
  }
}

#[tokio::test]
async fn fault_of_the_whole_store_strikes_all_boxes() {
  let stores = four_boxes().await;
  let fault = fault("platform_down", "busy meet");
  let (_, changes) = play(&fault, &stores, 1).await;
  let serving = vec![StoreCondition::Serving; 4];
  let expected = [("meet", vec![StoreCondition::Busy; 4]), ("meet", serving)];
  assert_eq!(changes, expected);
}

#[tokio::test]
async fn server_leaves_before_a_compaction() {
  let stores = four_boxes().await;
  let fault = fault("platform_compact", "drain");
  let (_, changes) = play(&fault, &stores, 1).await;
  let serving = vec![StoreCondition::Serving; 4];
  assert_eq!(changes, [("drain", serving)]);
  let watch = "/kv-watch?pathPrefix=&after=0&waitMs=1";
  assert_eq!(get(stores.store(), watch).await.0, 410);
}

#[rstest]
#[case::slow("platform_slow", true)]
#[case::lost("platform_lost", true)]
#[case::other("zone_cut", false)]
#[tokio::test]
async fn store_serves_all_boxes_after_a_fault(#[case] kind: &str, #[case] expected: bool) {
  let stores = four_boxes().await;
  let (is_played, changes) = play(&fault(kind, ""), &stores, 1).await;
  assert_eq!(is_played, expected);
  assert!(changes.is_empty());
  for index in 0..4 {
    let view = stores.view(index).unwrap();
    assert_eq!(write(&view, "box", 0, None).await.0, 200);
  }
}

#[tokio::test]
async fn delays_that_overlap_end_apart() {
  let (store, first, _) = two_views().await;
  let long: FaultGuard = store.begin_delay(Duration::from_secs(3_600));
  let short = store.begin_delay(Duration::from_millis(1));
  assert_eq!(status(&first).await, 200);
  drop(short);
  let mut channel = Channel::open(first.address).await;
  channel.send("GET", "/kv-key?key=a", &Value::Null).await;
  channel.assert_quiet().await;
  drop(long);
  assert_eq!(status(&first).await, 200);
}

fn site() -> Site {
  Site::parse(SITE).unwrap()
}

#[test]
fn routes_are_as_seeded_and_never_shared() {
  let site = site();
  let places = |seed| {
    let routes = Routes::draw(&site, seed);
    let classes = site.classes.iter();
    let places = classes.map(|class| routes.get(&class.name).unwrap().clone());
    places.collect::<Vec<_>>()
  };
  assert_eq!(places(1), places(1));
  assert_ne!(places(1), places(2));
  for seed in 0..500 {
    let prefixes: BTreeSet<_> = places(seed)
      .into_iter()
      .map(|place| place.path_prefix)
      .collect();
    assert_eq!(prefixes.len(), site.classes.len(), "seed {seed}");
  }
}

#[test]
fn class_is_found_by_host_and_path() {
  let site = site();
  let routes = Routes::draw(&site, 3);
  for class in &site.classes {
    let place = routes.get(&class.name).unwrap();
    let path = format!("{}2f", place.path_prefix);
    assert_eq!(routes.class_of(&place.host, &path), Some(&class.name));
    assert_eq!(routes.class_of("other.example", &path), None);
    assert_eq!(routes.class_of(&place.host, "/2f"), None);
  }
}

/// The operator's configuration in the store.
async fn configuration(store: &PlatformStore) -> Value {
  let (status, item) = get(store, "/kv-key?key=op/config").await;
  assert_eq!(status, 200);
  let value = STANDARD.decode(item["value"].as_str().unwrap()).unwrap();
  serde_json::from_slice(&value).unwrap()
}

async fn operator(seed: u64) -> (Operator, PlatformStore, Recorder) {
  let store = PlatformStore::start().await.unwrap();
  let recorder = Recorder::default();
  let operator = Operator::new(Arc::new(site()), store.clone(), seed, recorder.clone());
  (operator, store, recorder)
}

#[tokio::test]
async fn first_configuration_names_all_routes_and_services() {
  let (operator, store, _) = operator(5).await;
  assert!(store.keys().is_empty());
  operator.write_first();
  let document = configuration(&store).await;
  let routes = document["routes"].as_array().unwrap();
  assert_eq!(routes.len(), 3 + 3);
  let place = operator.routes().get("talk").unwrap().clone();
  let talk = routes
    .iter()
    .find(|route| route["pathPrefix"] == *place.path_prefix)
    .unwrap();
  assert_eq!(talk["host"], *place.host);
  assert_eq!(talk["kind"], "stream");
  assert_eq!(talk["service"], "chat");
  assert_eq!(talk["resumable"], true);
  assert_eq!(talk["gapTargetMs"], 300.0);
  assert_eq!(talk["maxAttempts"], 2);
  let services = document["services"].as_array().unwrap();
  assert_eq!(services[0]["engine"]["kvTokens"], 50_000);
  assert_eq!(services[0]["engine"]["handleTtlS"], 0.5);
  assert_eq!(services[1].get("engine"), None);
  assert_eq!(services[1]["maxConnections"], 96);
  assert_eq!(document["limits"]["maxBodyBytes"], 1_000);
}

#[rstest]
#[case::timeout("timeout")]
#[case::idle("idle")]
#[case::route("route")]
#[case::weights("weights")]
#[tokio::test]
async fn change_raises_the_version_and_leaves_the_places(
  #[case] how: &str,
  #[values(1, 2, 3, 4, 5)] seed: u64,
) {
  let (operator, store, recorder) = operator(seed).await;
  operator.write_first();
  let mut before = configuration(&store).await;
  for _ in 0..20 {
    operator.change(how);
    let after = configuration(&store).await;
    assert!(after["version"].as_u64() > before["version"].as_u64());
    assert_ne!(after["routes"], before["routes"]);
    assert_eq!(after["services"], before["services"]);
    for index in 0..3 {
      for field in ["name", "host", "pathPrefix", "kind"] {
        assert_eq!(
          after["routes"][index][field],
          before["routes"][index][field]
        );
      }
    }
    // A route of engines has no other service to go to.
    assert_eq!(after["routes"][0]["service"], "chat");
    before = after;
  }
  assert_eq!(recorder.timeline().len(), 21);
}

#[tokio::test]
async fn many_idle_routes_come_in_one_version() {
  let (operator, store, _) = operator(5).await;
  operator.write_first();
  let version = operator.version();
  operator.add_idle_routes(350);
  let document = configuration(&store).await;
  assert!(operator.version() > version);
  assert_eq!(document["version"], operator.version());
  let routes = document["routes"].as_array().unwrap();
  let prefixes: BTreeSet<_> = routes
    .iter()
    .map(|route| route["pathPrefix"].as_str().unwrap())
    .collect();
  assert_eq!((routes.len(), prefixes.len()), (356, 356));
}

#[tokio::test]
async fn change_that_is_not_played_is_noted_and_writes_nothing() {
  let (operator, store, recorder) = operator(5).await;
  operator.write_first();
  let before = configuration(&store).await;
  operator.change("tenant");
  assert_eq!(configuration(&store).await, before);
  let timeline = recorder.timeline();
  assert!(timeline[1].1.contains("\"tenant\" is not played"));
}
