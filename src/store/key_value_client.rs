//! A client of the platform's key-value service, by its published protocol: the etcd v3 JSON gateway.

use {
  crate::{
    http_client::{CallError, HttpClient},
    ids::Name,
  },
  base64::{Engine, engine::general_purpose::STANDARD as BASE64},
  bytes::{Buf, BytesMut},
  http_body_util::BodyExt,
  hyper::body::Incoming,
  serde::{Deserialize, Serialize, de::DeserializeOwned},
  serde_json::json,
  std::{sync::Arc, time::Duration},
};

const MOST_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Why a call to the service came to nothing.
#[derive(Debug, thiserror::Error)]
#[error("{step} at {peer}: {source}")]
pub struct KeyValueError {
  /// What was asked.
  pub step: &'static str,
  /// The service.
  pub peer: Name,
  /// Why.
  pub source: CallError,
}

/// A value with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
  /// The key.
  pub key: String,
  /// The value.
  pub value: String,
  /// The revision at which it was last changed.
  pub revision: u64,
}

/// The result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
  /// It was done, at this revision.
  Done(u64),
  /// Another value is there; 0 if none is.
  Conflict(u64),
}

#[derive(Debug, Deserialize)]
struct Header {
  #[serde(default, deserialize_with = "number")]
  revision: u64,
}

#[derive(Debug, Deserialize)]
struct Pair {
  key: String,
  #[serde(default)]
  value: String,
  #[serde(default, deserialize_with = "number")]
  mod_revision: u64,
}

#[derive(Debug, Deserialize)]
struct RangeReply {
  header: Header,
  #[serde(default)]
  kvs: Vec<Pair>,
}

#[derive(Debug, Deserialize)]
struct TxnReply {
  header: Header,
  #[serde(default)]
  succeeded: bool,
  #[serde(default)]
  responses: Vec<TxnResponse>,
}

#[derive(Debug, Deserialize)]
struct TxnResponse {
  #[serde(default)]
  response_range: Option<RangeReply>,
}

#[derive(Debug, Deserialize)]
struct LeaseReply {
  #[serde(rename = "ID", default)]
  id: String,
  #[serde(rename = "TTL", default, deserialize_with = "number")]
  ttl_s: u64,
}

#[derive(Debug, Deserialize)]
struct KeepAliveReply {
  result: LeaseReply,
}

#[derive(Debug, Deserialize)]
struct WatchReply {
  result: WatchResult,
}

#[derive(Debug, Deserialize)]
struct WatchResult {
  #[serde(default, deserialize_with = "number")]
  compact_revision: u64,
  #[serde(default)]
  canceled: bool,
  #[serde(default)]
  events: Vec<WatchEvent>,
}

#[derive(Debug, Deserialize)]
struct WatchEvent {
  kv: Pair,
}

/// The gateway writes 64-bit numbers as strings.
fn number<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
  #[derive(Deserialize)]
  #[serde(untagged)]
  enum Number {
    Text(String),
    Plain(u64),
  }
  match Number::deserialize(deserializer)? {
    Number::Text(text) => text.parse().map_err(serde::de::Error::custom),
    Number::Plain(plain) => Ok(plain),
  }
}

fn coded(text: &str) -> String {
  BASE64.encode(text)
}

fn plain(text: &str) -> String {
  BASE64
    .decode(text)
    .ok()
    .and_then(|bytes| String::from_utf8(bytes).ok())
    .unwrap_or_default()
}

/// The key behind all that begin with a prefix.
fn range_end(prefix: &str) -> String {
  let mut bytes = prefix.as_bytes().to_vec();
  if let Some(last) = bytes.last_mut() {
    *last += 1;
  }
  BASE64.encode(bytes)
}

impl From<Pair> for StoredValue {
  fn from(pair: Pair) -> Self {
    Self {
      key: plain(&pair.key),
      revision: pair.mod_revision,
      value: plain(&pair.value),
    }
  }
}

/// A client of the key-value service. Each call is reported to `counted`.
#[derive(Clone)]
pub struct KeyValueClient {
  http: HttpClient,
  url: Name,
  limit: Duration,
  counted: Arc<dyn Fn() + Send + Sync>,
}

impl KeyValueClient {
  /// A client for the service at a URL; each call may take `limit`.
  pub fn new(url: &str, limit: Duration, counted: Arc<dyn Fn() + Send + Sync>) -> Self {
    Self {
      counted,
      http: HttpClient::default(),
      limit,
      url: url.trim_end_matches('/').into(),
    }
  }

  async fn call<Q: Serialize, A: DeserializeOwned>(
    &self,
    step: &'static str,
    path: &str,
    question: &Q,
  ) -> Result<A, KeyValueError> {
    (self.counted)();
    let uri = format!("{}{path}", self.url);
    self
      .http
      .post(&uri, question, self.limit)
      .await
      .map_err(|source| self.error(step, source))
  }

  fn error(&self, step: &'static str, source: CallError) -> KeyValueError {
    KeyValueError {
      peer: self.url.clone(),
      source,
      step,
    }
  }

  /// Reads one key.
  pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, KeyValueError> {
    let question = json!({ "key": coded(key) });
    let reply = self
      .call::<_, RangeReply>("reading a key", "/v3/kv/range", &question)
      .await?;
    Ok(reply.kvs.into_iter().next().map(StoredValue::from))
  }

  /// Reads one key as it was at an earlier revision.
  pub async fn get_at(&self, key: &str, revision: u64) -> Result<Option<StoredValue>, KeyValueError> {
    let question = json!({ "key": coded(key), "revision": revision.to_string() });
    let reply = self
      .call::<_, RangeReply>("reading a key's past", "/v3/kv/range", &question)
      .await?;
    Ok(reply.kvs.into_iter().next().map(StoredValue::from))
  }

  /// Reads all keys with a prefix, and the revision of the reading.
  pub async fn list(&self, prefix: &str) -> Result<(Vec<StoredValue>, u64), KeyValueError> {
    let question = json!({ "key": coded(prefix), "range_end": range_end(prefix) });
    let reply = self
      .call::<_, RangeReply>("reading keys", "/v3/kv/range", &question)
      .await?;
    let stored = reply.kvs.into_iter().map(StoredValue::from).collect();
    Ok((stored, reply.header.revision))
  }

  /// Writes a key if its revision is still the expected one; 0 expects that it is absent.
  pub async fn compare_and_swap(
    &self,
    key: &str,
    expected: u64,
    value: &str,
    lease: Option<&str>,
  ) -> Result<SwapOutcome, KeyValueError> {
    let mut put = json!({ "key": coded(key), "value": coded(value) });
    if let Some(lease) = lease {
      put["lease"] = json!(lease);
    }
    self
      .transact(key, expected, json!([{ "request_put": put }]))
      .await
  }

  /// Writes two keys if the first is absent.
  pub async fn create_both(
    &self,
    first: (&str, &str),
    second: (&str, &str),
  ) -> Result<SwapOutcome, KeyValueError> {
    let put = |(key, value)| json!({ "request_put": { "key": coded(key), "value": coded(value) } });
    self
      .transact(first.0, 0, json!([put(first), put(second)]))
      .await
  }

  /// Deletes a key if its revision is still the expected one.
  pub async fn remove(&self, key: &str, expected: u64) -> Result<SwapOutcome, KeyValueError> {
    let delete = json!({ "request_delete_range": { "key": coded(key) } });
    self.transact(key, expected, json!([delete])).await
  }

  async fn transact(
    &self,
    key: &str,
    expected: u64,
    success: serde_json::Value,
  ) -> Result<SwapOutcome, KeyValueError> {
    let question = json!({
      "compare": [{
        "key": coded(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": expected.to_string(),
      }],
      "failure": [{ "request_range": { "key": coded(key) } }],
      "success": success,
    });
    let reply = self
      .call::<_, TxnReply>("writing a key", "/v3/kv/txn", &question)
      .await?;
    if reply.succeeded {
      return Ok(SwapOutcome::Done(reply.header.revision));
    }
    let present = reply
      .responses
      .into_iter()
      .filter_map(|response| response.response_range)
      .flat_map(|range| range.kvs)
      .map(|pair| pair.mod_revision)
      .next();
    Ok(SwapOutcome::Conflict(present.unwrap_or(0)))
  }

  /// Deletes all keys with a prefix.
  pub async fn remove_all(&self, prefix: &str) -> Result<(), KeyValueError> {
    let question = json!({ "key": coded(prefix), "range_end": range_end(prefix) });
    self
      .call::<_, serde_json::Value>("deleting keys", "/v3/kv/deleterange", &question)
      .await
      .map(|_| ())
  }

  /// Takes out a lease.
  pub async fn grant_lease(&self, ttl: Duration) -> Result<Name, KeyValueError> {
    let question = json!({ "TTL": ttl.as_secs().max(1).to_string(), "ID": "0" });
    let reply = self
      .call::<_, LeaseReply>("taking a lease", "/v3/lease/grant", &question)
      .await?;
    Ok(reply.id.into())
  }

  /// Extends a lease; false when it has lapsed.
  pub async fn keep_alive(&self, lease: &str) -> Result<bool, KeyValueError> {
    let question = json!({ "ID": lease });
    let reply = self
      .call::<_, KeepAliveReply>("extending a lease", "/v3/lease/keepalive", &question)
      .await?;
    Ok(reply.result.ttl_s > 0)
  }

  /// Watches all keys with a prefix from a revision on. A waiting watch counts as one call.
  pub async fn watch(&self, prefix: &str, from: u64) -> Result<Watch, KeyValueError> {
    (self.counted)();
    let question = json!({
      "create_request": {
        "key": coded(prefix),
        "range_end": range_end(prefix),
        "start_revision": from.to_string(),
      }
    });
    let uri = format!("{}/v3/watch", self.url);
    let opened = tokio::time::timeout(self.limit, self.http.post_stream(&uri, &question)).await;
    let step = "watching keys";
    match opened {
      Ok(Ok(response)) => Ok(Watch {
        body: response.into_body(),
        buffer: BytesMut::new(),
      }),
      Ok(Err(source)) => Err(self.error(step, source)),
      Err(_) => Err(self.error(step, CallError::TimedOut(self.limit.as_millis()))),
    }
  }
}

/// A running watch.
pub struct Watch {
  body: Incoming,
  buffer: BytesMut,
}

impl Watch {
  /// The next changes; none when the watch has ended and must be made anew after a whole reading.
  pub async fn next(&mut self) -> Option<Vec<StoredValue>> {
    loop {
      if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        let reply = serde_json::from_slice::<WatchReply>(&line).ok()?.result;
        if reply.canceled || reply.compact_revision > 0 {
          return None;
        }
        if reply.events.is_empty() {
          continue;
        }
        let changes = reply.events.into_iter().map(|event| event.kv.into());
        return Some(changes.collect());
      }
      if self.buffer.len() > MOST_EVENT_BYTES {
        return None;
      }
      let frame = self.body.frame().await?.ok()?;
      if let Ok(data) = frame.into_data() {
        self.buffer.extend_from_slice(&data);
      }
    }
  }
}
