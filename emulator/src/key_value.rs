//! A stand-in for the platform's key-value service: an in-memory implementation of the etcd v3 JSON gateway.

use {
  axum::{
    Json, Router,
    body::Body,
    extract::State,
    response::{IntoResponse, Response},
    routing::{get, post},
  },
  base64::{Engine, engine::general_purpose::STANDARD as BASE64},
  bytes::Bytes,
  futures_util::stream,
  http::StatusCode,
  serde::{Deserialize, Serialize},
  serde_json::{Value, json},
  std::{
    collections::BTreeMap,
    convert::Infallible,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
  },
  tokio::{
    sync::broadcast,
    time::{Instant, sleep},
  },
};

const MAX_BUFFERED_EVENTS: usize = 4_096;

/// Faults that can be injected into one front end of the service; a hall may have its own. All are off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
  /// Calls never receive a response, and watches no events.
  pub cut: bool,
  /// Calls fail with status 503.
  pub down: bool,
  /// Delay of each call.
  pub slow_ms: u64,
  /// Number of further writes that take effect but never receive a response.
  pub lose_write_answers: u32,
  /// Transactions never receive a response and take effect after this delay; 0 for none.
  pub late_writes_ms: u64,
  /// Number of further watch events that are dropped.
  pub swallow_events: u32,
}

#[derive(Clone, Debug)]
struct Version {
  value: Option<String>,
  revision: u64,
  lease: Option<u64>,
}

#[derive(Debug, Default)]
struct Data {
  revision: u64,
  keys: BTreeMap<String, Vec<Version>>,
  leases: BTreeMap<u64, Lease>,
  /// The id of the latest lease; ids are never reused.
  last_lease_id: u64,
  calls: u64,
  watches: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
  ttl: Duration,
  until: Instant,
}

#[derive(Clone, Debug)]
struct Change {
  key: String,
  value: String,
  revision: u64,
}

struct Shared {
  data: Mutex<Data>,
  changes: broadcast::Sender<Change>,
}

/// The data of the service, shared by all its front ends.
#[derive(Clone)]
pub struct KeyValueStandIn(Arc<Shared>);

impl Default for KeyValueStandIn {
  fn default() -> Self {
    let (changes, _) = broadcast::channel(MAX_BUFFERED_EVENTS);
    let data = Mutex::default();
    Self(Arc::new(Shared { changes, data }))
  }
}

/// A front end of the service with its own faults.
#[derive(Clone)]
struct Frontend {
  service: KeyValueStandIn,
  faults: Arc<Mutex<KeyValueFaults>>,
}

/// Handle for the faults of one front end.
#[derive(Clone)]
pub struct DoorFaults(Arc<Mutex<KeyValueFaults>>);

impl DoorFaults {
  /// Replaces the injected faults.
  pub fn set(&self, faults: KeyValueFaults) {
    *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
  }
}

#[derive(Debug, Deserialize)]
struct RangeRequest {
  key: String,
  #[serde(default)]
  range_end: String,
  #[serde(default)]
  revision: String,
}

#[derive(Debug, Deserialize)]
struct PutRequest {
  key: String,
  #[serde(default)]
  value: String,
  #[serde(default)]
  lease: String,
}

#[derive(Debug, Deserialize)]
struct Compare {
  key: String,
  #[serde(default)]
  mod_revision: String,
}

#[derive(Debug, Default, Deserialize)]
struct Operation {
  request_put: Option<PutRequest>,
  request_range: Option<RangeRequest>,
  request_delete_range: Option<RangeRequest>,
}

#[derive(Debug, Deserialize)]
struct TxnRequest {
  #[serde(default)]
  compare: Vec<Compare>,
  #[serde(default)]
  success: Vec<Operation>,
  #[serde(default)]
  failure: Vec<Operation>,
}

fn decode_base64(text: &str) -> String {
  BASE64
    .decode(text)
    .ok()
    .and_then(|bytes| String::from_utf8(bytes).ok())
    .unwrap_or_default()
}

impl Data {
  fn expire(&mut self) -> Vec<Change> {
    let now = Instant::now();
    let expired = self
      .leases
      .iter()
      .filter(|(_, lease)| lease.until <= now)
      .map(|(id, _)| *id)
      .collect::<Vec<_>>();
    let mut changes = Vec::new();
    for id in expired {
      self.leases.remove(&id);
      let keys = self
        .keys
        .iter()
        .filter(|(_, versions)| {
          versions
            .last()
            .is_some_and(|version| version.lease == Some(id) && version.value.is_some())
        })
        .map(|(key, _)| key.clone())
        .collect::<Vec<_>>();
      for key in keys {
        changes.push(self.write(&key, None, None));
      }
    }
    changes
  }

  fn write(&mut self, key: &str, value: Option<String>, lease: Option<u64>) -> Change {
    self.revision += 1;
    let version = Version {
      lease,
      revision: self.revision,
      value: value.clone(),
    };
    self.keys.entry(key.into()).or_default().push(version);
    Change {
      key: key.into(),
      revision: self.revision,
      value: value.unwrap_or_default(),
    }
  }

  fn version_at(&self, key: &str, at: Option<u64>) -> Option<&Version> {
    let at = at.unwrap_or(u64::MAX);
    self
      .keys
      .get(key)?
      .iter()
      .rev()
      .find(|version| version.revision <= at)
      .filter(|version| version.value.is_some())
  }

  fn range(&self, request: &RangeRequest) -> Value {
    let at = request.revision.parse::<u64>().ok().filter(|at| *at > 0);
    let key = decode_base64(&request.key);
    let keys = if request.range_end.is_empty() {
      vec![key]
    } else {
      let end = decode_base64(&request.range_end);
      self
        .keys
        .range(key..end)
        .map(|(key, _)| key.clone())
        .collect()
    };
    let pairs = keys
      .iter()
      .filter_map(|key| {
        let version = self.version_at(key, at)?;
        Some(json!({
          "key": BASE64.encode(key),
          "mod_revision": version.revision.to_string(),
          "value": BASE64.encode(version.value.as_deref().unwrap_or_default()),
        }))
      })
      .collect::<Vec<_>>();
    json!({ "header": self.header(), "count": pairs.len().to_string(), "kvs": pairs })
  }

  fn header(&self) -> Value {
    json!({ "revision": self.revision.to_string() })
  }

  fn run(&mut self, operation: &Operation, changes: &mut Vec<Change>) -> Value {
    if let Some(put) = &operation.request_put {
      let lease = put.lease.parse().ok().filter(|lease| *lease > 0);
      changes.push(self.write(
        &decode_base64(&put.key),
        Some(decode_base64(&put.value)),
        lease,
      ));
      return json!({ "response_put": {} });
    }
    if let Some(range) = &operation.request_range {
      return json!({ "response_range": self.range(range) });
    }
    if let Some(delete) = &operation.request_delete_range {
      let key = decode_base64(&delete.key);
      if self.version_at(&key, None).is_some() {
        changes.push(self.write(&key, None, None));
      }
    }
    json!({ "response_delete_range": {} })
  }

  fn transact(&mut self, request: &TxnRequest) -> (Value, Vec<Change>) {
    let succeeded = request.compare.iter().all(|compare| {
      let expected = compare.mod_revision.parse().unwrap_or(0);
      let revision = self
        .version_at(&decode_base64(&compare.key), None)
        .map_or(0, |version| version.revision);
      revision == expected
    });
    let operations = if succeeded {
      &request.success
    } else {
      &request.failure
    };
    let mut changes = Vec::new();
    let responses = operations
      .iter()
      .map(|operation| self.run(operation, &mut changes))
      .collect::<Vec<_>>();
    let reply = json!({
      "header": self.header(),
      "responses": responses,
      "succeeded": succeeded,
    });
    (reply, changes)
  }
}

impl KeyValueStandIn {
  fn data(&self) -> std::sync::MutexGuard<'_, Data> {
    self.0.data.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn publish(&self, changes: Vec<Change>) {
    for change in changes {
      let _ = self.0.changes.send(change);
    }
  }

  /// Number of calls so far, over all front ends.
  pub fn calls(&self) -> u64 {
    self.data().calls
  }

  /// Number of watches opened so far.
  pub fn watches(&self) -> u64 {
    self.data().watches
  }

  /// Value and revision of a key (not base64).
  pub fn get(&self, key: &str) -> Option<(String, u64)> {
    let data = self.data();
    let version = data.version_at(key, None)?;
    Some((version.value.clone()?, version.revision))
  }

  /// Existing keys with a prefix.
  pub fn keys(&self, prefix: &str) -> Vec<String> {
    let data = self.data();
    data
      .keys
      .keys()
      .filter(|key| key.starts_with(prefix) && data.version_at(key, None).is_some())
      .cloned()
      .collect()
  }

  /// Writes a key (not base64) without a lease, as an operator's tool would. Returns the new revision.
  pub fn put(&self, key: &str, value: &str) -> u64 {
    let change = self.data().write(key, Some(value.into()), None);
    let revision = change.revision;
    self.publish(vec![change]);
    revision
  }

  /// Creates a front end with its own faults.
  pub fn door(&self) -> (Router, DoorFaults) {
    let faults = Arc::<Mutex<KeyValueFaults>>::default();
    let frontend = Frontend {
      faults: faults.clone(),
      service: self.clone(),
    };
    let router = Router::new()
      .route("/v3/kv/range", post(range))
      .route("/v3/kv/txn", post(txn))
      .route("/v3/kv/deleterange", post(delete_range))
      .route("/v3/lease/grant", post(grant))
      .route("/v3/lease/keepalive", post(keep_alive))
      .route("/v3/watch", post(watch))
      .route("/calls", get(calls))
      .route("/switch", post(switch))
      .with_state(frontend);
    (router, DoorFaults(faults))
  }
}

async fn calls(State(frontend): State<Frontend>) -> Json<Value> {
  let data = frontend.service.data();
  Json(json!({ "calls": data.calls, "watches": data.watches }))
}

async fn switch(
  State(frontend): State<Frontend>,
  Json(faults): Json<KeyValueFaults>,
) -> StatusCode {
  DoorFaults(frontend.faults.clone()).set(faults);
  StatusCode::NO_CONTENT
}

impl Frontend {
  fn faults(&self) -> KeyValueFaults {
    self
      .faults
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .clone()
  }

  /// Counts a call, applies injected delays and expires leases. Returns the response if the call is to fail.
  async fn begin_call(&self) -> Option<Response> {
    let faults = self.faults();
    if faults.cut {
      std::future::pending::<()>().await;
    }
    self.service.data().calls += 1;
    if faults.slow_ms > 0 {
      sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    let changes = self.service.data().expire();
    self.service.publish(changes);
    faults
      .down
      .then(|| StatusCode::SERVICE_UNAVAILABLE.into_response())
  }

  /// Whether the response to this write is to be dropped; consumes one of the injected faults.
  fn drops_response(&self) -> bool {
    let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
    let drops = faults.lose_write_answers > 0;
    faults.lose_write_answers = faults.lose_write_answers.saturating_sub(1);
    drops
  }

  fn drops_event(&self) -> bool {
    let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
    let drops = faults.swallow_events > 0;
    faults.swallow_events = faults.swallow_events.saturating_sub(1);
    drops || faults.cut
  }
}

async fn range(State(frontend): State<Frontend>, Json(request): Json<RangeRequest>) -> Response {
  if let Some(failure) = frontend.begin_call().await {
    return failure;
  }
  let reply = frontend.service.data().range(&request);
  Json(reply).into_response()
}

async fn txn(State(frontend): State<Frontend>, Json(request): Json<TxnRequest>) -> Response {
  if let Some(failure) = frontend.begin_call().await {
    return failure;
  }
  let late_ms = frontend.faults().late_writes_ms;
  if late_ms > 0 {
    tokio::spawn(async move {
      sleep(Duration::from_millis(late_ms)).await;
      let (_, changes) = frontend.service.data().transact(&request);
      frontend.service.publish(changes);
    });
    return std::future::pending().await;
  }
  let (reply, changes) = frontend.service.data().transact(&request);
  let wrote = !changes.is_empty();
  frontend.service.publish(changes);
  if wrote && frontend.drops_response() {
    return std::future::pending().await;
  }
  Json(reply).into_response()
}

async fn delete_range(
  State(frontend): State<Frontend>,
  Json(request): Json<RangeRequest>,
) -> Response {
  if let Some(failure) = frontend.begin_call().await {
    return failure;
  }
  let (start, end) = (
    decode_base64(&request.key),
    decode_base64(&request.range_end),
  );
  let keys = frontend.service.keys(&start);
  let mut changes = Vec::new();
  for key in keys.into_iter().filter(|key| *key < end) {
    let change = frontend.service.data().write(&key, None, None);
    changes.push(change);
  }
  frontend.service.publish(changes);
  Json(json!({})).into_response()
}

async fn grant(State(frontend): State<Frontend>, Json(request): Json<Value>) -> Response {
  if let Some(failure) = frontend.begin_call().await {
    return failure;
  }
  let ttl_s = request["TTL"]
    .as_str()
    .and_then(|ttl| ttl.parse().ok())
    .unwrap_or(1);
  let ttl = Duration::from_secs(ttl_s);
  let mut data = frontend.service.data();
  data.last_lease_id += 1;
  let id = data.last_lease_id;
  data.leases.insert(
    id,
    Lease {
      ttl,
      until: Instant::now() + ttl,
    },
  );
  Json(json!({ "ID": id.to_string(), "TTL": ttl_s.to_string() })).into_response()
}

async fn keep_alive(State(frontend): State<Frontend>, Json(request): Json<Value>) -> Response {
  if let Some(failure) = frontend.begin_call().await {
    return failure;
  }
  let id = request["ID"]
    .as_str()
    .and_then(|id| id.parse::<u64>().ok())
    .unwrap_or(0);
  let mut data = frontend.service.data();
  let ttl_s = match data.leases.get_mut(&id) {
    Some(lease) => {
      lease.until = Instant::now() + lease.ttl;
      lease.ttl.as_secs()
    }
    None => 0,
  };
  Json(json!({ "result": { "ID": id.to_string(), "TTL": ttl_s.to_string() } })).into_response()
}

#[derive(Debug, Deserialize)]
struct WatchRequest {
  create_request: WatchCreate,
}

#[derive(Debug, Deserialize)]
struct WatchCreate {
  key: String,
  range_end: String,
  #[serde(default)]
  start_revision: String,
}

async fn watch(State(frontend): State<Frontend>, Json(request): Json<WatchRequest>) -> Response {
  if let Some(failure) = frontend.begin_call().await {
    return failure;
  }
  let create = request.create_request;
  let (start, end) = (decode_base64(&create.key), decode_base64(&create.range_end));
  let from = create.start_revision.parse::<u64>().unwrap_or(0);
  let receiver = frontend.service.0.changes.subscribe();
  let past_changes = changes_since(&frontend.service, &start, &end, from);
  frontend.service.data().watches += 1;
  let created = Bytes::from("{\"result\":{\"created\":true}}\n");
  let initial_events = stream::iter(
    std::iter::once(created)
      .chain(past_changes.iter().map(event_line))
      .map(Ok::<_, Infallible>)
      .collect::<Vec<_>>(),
  );
  let live_events = stream::unfold((receiver, frontend), move |(mut receiver, frontend)| {
    let (start, end) = (start.clone(), end.clone());
    async move {
      loop {
        let change = receiver.recv().await.ok()?;
        if change.key < start || change.key >= end || frontend.drops_event() {
          continue;
        }
        return Some((
          Ok::<_, Infallible>(event_line(&change)),
          (receiver, frontend),
        ));
      }
    }
  });
  Body::from_stream(futures_util::StreamExt::chain(initial_events, live_events)).into_response()
}

fn changes_since(service: &KeyValueStandIn, start: &str, end: &str, from: u64) -> Vec<Change> {
  if from == 0 {
    return Vec::new();
  }
  let data = service.data();
  let mut past_changes = data
    .keys
    .range(start.to_string()..end.to_string())
    .flat_map(|(key, versions)| {
      versions
        .iter()
        .filter(|version| version.revision >= from)
        .map(|version| Change {
          key: key.clone(),
          revision: version.revision,
          value: version.value.clone().unwrap_or_default(),
        })
    })
    .collect::<Vec<_>>();
  past_changes.sort_by_key(|change| change.revision);
  past_changes
}

fn event_line(change: &Change) -> Bytes {
  let line = json!({ "result": { "events": [{ "kv": {
    "key": BASE64.encode(&change.key),
    "mod_revision": change.revision.to_string(),
    "value": BASE64.encode(&change.value),
  } }] } });
  format!("{line}\n").into()
}
