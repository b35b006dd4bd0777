//! The platform's store, in memory, with what a test or a run may do to it.

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
    future::pending,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
  tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
  },
};

/// Items of a page: so few that every listing has pages.
const PAGE_ITEMS: usize = 2;
/// Pause between looks for leases that are over.
const LEASE_LOOK: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct Item {
  value: String,
  revision: u64,
  /// 0: none.
  lease: u64,
}

struct Lease {
  ttl: Duration,
  ends: Instant,
}

#[derive(Default)]
struct Contents {
  items: BTreeMap<String, Item>,
  leases: HashMap<u64, Lease>,
  last_lease: u64,
  /// Changes as a watch tells them.
  history: Vec<(u64, Value)>,
  history_from: u64,
  revision: u64,
  is_down: bool,
  loses_answers: bool,
  delay: Duration,
  holds_pages: bool,
  listings: usize,
}

impl Contents {
  fn write(&mut self, key: &str, value: String, lease: u64) -> u64 {
    self.revision += 1;
    let revision = self.revision;
    let item = Item {
      lease,
      revision,
      value,
    };
    self.history.push((revision, shown(key, &item)));
    self.items.insert(key.into(), item);
    revision
  }

  fn remove(&mut self, key: &str) -> u64 {
    if self.items.remove(key).is_none() {
      return self.revision;
    }
    self.revision += 1;
    let revision = self.revision;
    let event = json!({"key": key, "revision": revision, "removed": true});
    self.history.push((revision, event));
    revision
  }

  /// Ends a lease, and its keys with it.
  fn end_lease(&mut self, lease: u64) -> u64 {
    self.leases.remove(&lease);
    let held: Vec<String> = self
      .items
      .iter()
      .filter(|(_, item)| item.lease == lease)
      .map(|(key, _)| key.clone())
      .collect();
    for key in held {
      self.remove(&key);
    }
    self.revision
  }
}

/// A running store.
#[derive(Clone)]
pub struct PlatformStore {
  /// Where it listens.
  pub address: SocketAddr,
  contents: Arc<Mutex<Contents>>,
  changed: watch::Sender<u64>,
}

type Ask = HashMap<String, String>;

impl PlatformStore {
  /// Starts a store on a free loopback port. Fails when none can be had.
  pub async fn start() -> io::Result<Self> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let store = Self {
      address: listener.local_addr()?,
      changed: watch::Sender::new(0),
      contents: Arc::default(),
    };
    let router = Router::new()
      .route("/kv-range", get(range))
      .route("/kv-key", get(key))
      .route("/kv-watch", get(changes))
      .route("/kv-txn", post(change))
      .route("/kv-lease", post(grant))
      .route("/kv-keep/{lease}", post(renew))
      .route("/kv-lease-end/{lease}", delete(end_lease))
      .with_state(store.clone());
    tokio::spawn(async move { axum::serve(listener, router).await });
    tokio::spawn(end_old_leases(store.clone()));
    Ok(store)
  }

  fn contents(&self) -> MutexGuard<'_, Contents> {
    // A task that panicked between two changes leaves them whole.
    self.contents.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Changes the contents, and tells those who wait.
  fn alter<T>(&self, change: impl FnOnce(&mut Contents) -> T) -> T {
    let (result, revision) = {
      let mut contents = self.contents();
      let result = change(&mut contents);
      (result, contents.revision)
    };
    self.changed.send_replace(revision);
    result
  }

  /// Writes a key, as the operator and the endpoints do.
  pub fn put(&self, key: &str, value: &[u8]) {
    self.alter(|contents| contents.write(key, STANDARD.encode(value), 0));
  }

  /// Removes a key.
  pub fn remove(&self, key: &str) {
    self.alter(|contents| contents.remove(key));
  }

  /// Forgets what has changed so far: a watch from before is told so.
  pub fn forget_history(&self) {
    self.alter(|contents| {
      contents.revision += 1;
      contents.history_from = contents.revision;
      contents.history.clear();
    });
  }

  /// Answers every call with 503, or serves again.
  pub fn set_down(&self, is_down: bool) {
    self.alter(|contents| contents.is_down = is_down);
  }

  /// Carries out writes without answering them, or answers again.
  pub fn set_loses_answers(&self, loses_answers: bool) {
    self.alter(|contents| contents.loses_answers = loses_answers);
  }

  /// Answers so much later.
  pub fn set_delay(&self, delay: Duration) {
    self.alter(|contents| contents.delay = delay);
  }

  /// Ends all leases at once, and their keys with them.
  pub fn end_leases(&self) {
    self.alter(|contents| {
      let leases: Vec<u64> = contents.leases.keys().copied().collect();
      for lease in leases {
        contents.end_lease(lease);
      }
    });
  }

  /// Withholds every page of a listing but the first.
  pub fn set_holds_pages(&self, holds_pages: bool) {
    self.contents().holds_pages = holds_pages;
  }

  /// The keys that are there.
  pub fn keys(&self) -> Vec<String> {
    self.contents().items.keys().cloned().collect()
  }

  /// How many pages were asked for.
  pub fn listings(&self) -> usize {
    self.contents().listings
  }

  /// Waits as long as a slow store does; `false` when it is down.
  async fn takes_call(&self) -> bool {
    let delay = self.contents().delay;
    sleep(delay).await;
    !self.contents().is_down
  }

  /// The answer to a call that changed something, unless answers are lost.
  async fn answer(&self, answer: Response) -> Response {
    if self.contents().loses_answers {
      pending::<()>().await;
    }
    answer
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

async fn end_old_leases(store: PlatformStore) {
  loop {
    sleep(LEASE_LOOK).await;
    let now = Instant::now();
    let over: Vec<u64> = {
      let contents = store.contents();
      let old = contents.leases.iter().filter(|(_, lease)| lease.ends < now);
      old.map(|(id, _)| *id).collect()
    };
    for lease in over {
      store.alter(|contents| contents.end_lease(lease));
    }
  }
}

async fn range(State(store): State<PlatformStore>, Query(ask): Query<Ask>) -> Response {
  if !store.takes_call().await {
    return down();
  }
  store.contents().listings += 1;
  while ask.contains_key("after") && store.contents().holds_pages {
    sleep(Duration::from_millis(5)).await;
  }
  let contents = store.contents();
  let prefix = ask.get("pathPrefix").map_or("", String::as_str);
  let after = ask.get("after").map_or("", String::as_str);
  let rows: Vec<_> = contents
    .items
    .iter()
    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
    .collect();
  let items: Vec<Value> = rows
    .iter()
    .take(PAGE_ITEMS)
    .map(|(key, item)| shown(key, item))
    .collect();
  let has_more = rows.len() > PAGE_ITEMS;
  Json(json!({"items": items, "hasMore": has_more, "timestamp": contents.revision})).into_response()
}

async fn key(State(store): State<PlatformStore>, Query(ask): Query<Ask>) -> Response {
  if !store.takes_call().await {
    return down();
  }
  let contents = store.contents();
  let wanted = ask.get("key").map_or("", String::as_str);
  match contents.items.get_key_value(wanted) {
    Some((key, item)) => Json(shown(key, item)).into_response(),
    None => StatusCode::NOT_FOUND.into_response(),
  }
}

async fn changes(State(store): State<PlatformStore>, Query(ask): Query<Ask>) -> Response {
  if !store.takes_call().await {
    return down();
  }
  let number = |name: &str| ask.get(name).and_then(|text| text.parse::<u64>().ok());
  let (Some(after), Some(wait_ms)) = (number("after"), number("waitMs")) else {
    return StatusCode::BAD_REQUEST.into_response();
  };
  let mut changed = store.changed.subscribe();
  // Without a change the answer says that there is none.
  let _ = timeout(
    Duration::from_millis(wait_ms),
    changed.wait_for(|revision| *revision > after || store.contents().is_down),
  )
  .await;
  let contents = store.contents();
  if contents.is_down {
    return down();
  }
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
  if !store.takes_call().await {
    return down();
  }
  let answer = store.alter(|contents| carry_out(contents, &call));
  store.answer(answer).await
}

/// Carries out a change whole, or not at all.
fn carry_out(contents: &mut Contents, call: &Value) -> Response {
  let rows = |name: &str| call[name].as_array().cloned().unwrap_or_default();
  let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_string();
  let differs = |condition: &Value| {
    let present = contents.items.get(&text(condition, "key"));
    condition["revision"] != json!(present.map_or(0, |item| item.revision))
  };
  if rows("prevRevision").iter().any(differs) {
    return (StatusCode::PRECONDITION_FAILED, Json(json!({"items": []}))).into_response();
  }
  let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
  let is_over = |row: &Value| lease(row) > 0 && !contents.leases.contains_key(&lease(row));
  if rows("setKeys").iter().any(is_over) {
    return StatusCode::NOT_FOUND.into_response();
  }
  for row in rows("setKeys") {
    contents.write(&text(&row, "key"), text(&row, "value"), lease(&row));
  }
  for key in rows("remove") {
    contents.remove(key.as_str().unwrap_or_default());
  }
  Json(json!({"revision": contents.revision})).into_response()
}

async fn grant(State(store): State<PlatformStore>, Json(call): Json<Value>) -> Response {
  if !store.takes_call().await {
    return down();
  }
  let ttl_ms = call["ttlMs"].as_u64().unwrap_or(0);
  let lease = store.alter(|contents| {
    contents.last_lease += 1;
    let ttl = Duration::from_millis(ttl_ms);
    let lease = Lease {
      ends: Instant::now() + ttl,
      ttl,
    };
    contents.leases.insert(contents.last_lease, lease);
    contents.last_lease
  });
  let answer = Json(json!({"lease": lease, "ttlMs": ttl_ms})).into_response();
  store.answer(answer).await
}

async fn renew(State(store): State<PlatformStore>, Path(lease): Path<u64>) -> Response {
  if !store.takes_call().await {
    return down();
  }
  let renewed = store.contents().leases.get_mut(&lease).map(|lease| {
    lease.ends = Instant::now() + lease.ttl;
    lease.ttl.as_millis()
  });
  let answer = match renewed {
    Some(ttl_ms) => {
      Json(json!({"ttlMs": u64::try_from(ttl_ms).unwrap_or(u64::MAX)})).into_response()
    }
    None => StatusCode::NOT_FOUND.into_response(),
  };
  store.answer(answer).await
}

async fn end_lease(State(store): State<PlatformStore>, Path(lease): Path<u64>) -> Response {
  if !store.takes_call().await {
    return down();
  }
  store.alter(|contents| contents.end_lease(lease));
  store.answer(Json(json!({})).into_response()).await
}
