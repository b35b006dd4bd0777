//! The platform's store, in memory.

use {
  axum::{
    Json, Router,
    extract::{Path, Query, State},
    response::{IntoResponse, Response},
    routing::{delete, get, post},
  },
  base64::{Engine, engine::general_purpose::STANDARD},
  http::StatusCode,
  serde_json::{Value, json},
  std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
  },
  tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
  },
};

#[derive(Clone)]
struct Item {
  value: String,
  revision: u64,
  lease: u64,
}

#[derive(Default)]
struct Contents {
  items: BTreeMap<String, Item>,
  /// Changes as a watch tells them.
  history: Vec<(u64, Value)>,
  history_from: u64,
  revision: u64,
  is_down: bool,
  holds_pages: bool,
  listings: usize,
}

/// The store with what a test may do to it.
#[derive(Clone)]
pub(crate) struct PlatformStore {
  pub(crate) address: SocketAddr,
  contents: Arc<Mutex<Contents>>,
  changed: watch::Sender<u64>,
}

type Ask = HashMap<String, String>;

impl PlatformStore {
  pub(crate) async fn start() -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store = Self {
      address: listener.local_addr().unwrap(),
      changed: watch::Sender::new(0),
      contents: Arc::default(),
    };
    let router = Router::new()
      .route("/kv-range", get(range))
      .route("/kv-key", get(key))
      .route("/kv-watch", get(changes))
      .route("/kv-txn", post(change))
      .route(
        "/kv-lease",
        post(|| async { Json(json!({"lease": 7, "ttlMs": 9000})) }),
      )
      .route(
        "/kv-keep/{lease}",
        post(|| async { Json(json!({"ttlMs": 9000})) }),
      )
      .route("/kv-lease-end/{lease}", delete(end_lease))
      .with_state(store.clone());
    tokio::spawn(async move { axum::serve(listener, router).await });
    store
  }

  pub(crate) fn put(&self, key: &str, value: &[u8]) {
    self.write(key, STANDARD.encode(value), 0);
  }

  pub(crate) fn remove(&self, key: &str) {
    let mut contents = self.contents.lock().unwrap();
    contents.items.remove(key);
    contents.revision += 1;
    let revision = contents.revision;
    let event = json!({"key": key, "revision": revision, "removed": true});
    contents.history.push((revision, event));
    drop(contents);
    self.changed.send_replace(revision);
  }

  /// Forgets what has changed so far: a watch from before is told so.
  pub(crate) fn forget_history(&self) {
    let mut contents = self.contents.lock().unwrap();
    contents.revision += 1;
    contents.history_from = contents.revision;
    contents.history.clear();
    let revision = contents.revision;
    drop(contents);
    self.changed.send_replace(revision);
  }

  /// Answers every call with 503, or serves again.
  pub(crate) fn set_down(&self, is_down: bool) {
    let mut contents = self.contents.lock().unwrap();
    contents.is_down = is_down;
    let revision = contents.revision;
    drop(contents);
    self.changed.send_replace(revision);
  }

  /// Withholds every page of a listing but the first.
  pub(crate) fn set_holds_pages(&self, holds_pages: bool) {
    self.contents.lock().unwrap().holds_pages = holds_pages;
  }

  pub(crate) fn keys(&self) -> Vec<String> {
    self
      .contents
      .lock()
      .unwrap()
      .items
      .keys()
      .cloned()
      .collect()
  }

  pub(crate) fn listings(&self) -> usize {
    self.contents.lock().unwrap().listings
  }

  fn write(&self, key: &str, value: String, lease: u64) -> u64 {
    let mut contents = self.contents.lock().unwrap();
    contents.revision += 1;
    let revision = contents.revision;
    let item = Item {
      lease,
      revision,
      value,
    };
    contents.history.push((revision, shown(key, &item)));
    contents.items.insert(key.into(), item);
    drop(contents);
    self.changed.send_replace(revision);
    revision
  }

  fn is_down(&self) -> bool {
    self.contents.lock().unwrap().is_down
  }
}

fn shown(key: &str, item: &Item) -> Value {
  json!({
    "key": key, "value": item.value, "revision": item.revision, "created": item.revision,
    "lease": item.lease,
  })
}

fn down() -> Response {
  StatusCode::SERVICE_UNAVAILABLE.into_response()
}

async fn range(State(store): State<PlatformStore>, Query(ask): Query<Ask>) -> Response {
  if store.is_down() {
    return down();
  }
  store.contents.lock().unwrap().listings += 1;
  while ask.contains_key("after") && store.contents.lock().unwrap().holds_pages {
    sleep(Duration::from_millis(5)).await;
  }
  let contents = store.contents.lock().unwrap();
  let prefix = ask.get("pathPrefix").map_or("", String::as_str);
  let after = ask.get("after").map_or("", String::as_str);
  // Two items a page, so that every listing has pages.
  let rows: Vec<_> = contents
    .items
    .iter()
    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
    .collect();
  let items: Vec<Value> = rows
    .iter()
    .take(2)
    .map(|(key, item)| shown(key, item))
    .collect();
  Json(json!({"items": items, "hasMore": rows.len() > 2, "timestamp": contents.revision}))
    .into_response()
}

async fn key(State(store): State<PlatformStore>, Query(ask): Query<Ask>) -> Response {
  if store.is_down() {
    return down();
  }
  let contents = store.contents.lock().unwrap();
  match contents.items.get_key_value(ask["key"].as_str()) {
    Some((key, item)) => Json(shown(key, item)).into_response(),
    None => StatusCode::NOT_FOUND.into_response(),
  }
}

async fn changes(State(store): State<PlatformStore>, Query(ask): Query<Ask>) -> Response {
  let after: u64 = ask["after"].parse().unwrap();
  let wait = Duration::from_millis(ask["waitMs"].parse().unwrap());
  let mut changed = store.changed.subscribe();
  let _ = timeout(
    wait,
    changed.wait_for(|revision| *revision > after || store.is_down()),
  )
  .await;
  if store.is_down() {
    return down();
  }
  let contents = store.contents.lock().unwrap();
  if after < contents.history_from {
    return StatusCode::GONE.into_response();
  }
  let events: Vec<&Value> = contents
    .history
    .iter()
    .filter(|(revision, _)| *revision > after)
    .map(|(_, event)| event)
    .collect();
  Json(json!({"events": events, "timestamp": contents.revision})).into_response()
}

async fn change(State(store): State<PlatformStore>, Json(call): Json<Value>) -> Response {
  if store.is_down() {
    return down();
  }
  for condition in call["prevRevision"].as_array().unwrap() {
    let key = condition["key"].as_str().unwrap();
    let present = store
      .contents
      .lock()
      .unwrap()
      .items
      .get(key)
      .map_or(0, |item| item.revision);
    if condition["revision"] != json!(present) {
      return (StatusCode::PRECONDITION_FAILED, Json(json!({"items": []}))).into_response();
    }
  }
  let mut revision = 0;
  for put in call["setKeys"].as_array().unwrap() {
    let value = put["value"].as_str().unwrap().to_string();
    revision = store.write(
      put["key"].as_str().unwrap(),
      value,
      put["lease"].as_u64().unwrap(),
    );
  }
  Json(json!({"revision": revision})).into_response()
}

async fn end_lease(State(store): State<PlatformStore>, Path(_): Path<u64>) -> Response {
  let keys: Vec<String> = {
    let contents = store.contents.lock().unwrap();
    let held = contents.items.iter().filter(|(_, item)| item.lease > 0);
    held.map(|(key, _)| key.clone()).collect()
  };
  for key in keys {
    store.remove(&key);
  }
  Json(json!({})).into_response()
}
