//! A client of the platform's key-value service over the etcd v3 JSON gateway.

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

const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// A failed call to the service.
#[derive(Debug, thiserror::Error)]
#[error("{operation} at {url}: {source}")]
pub struct KeyValueError {
  /// The operation.
  pub operation: &'static str,
  /// The base URL of the service.
  pub url: Name,
  /// The cause.
  pub source: CallError,
}

/// A value with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
  /// The key.
  pub key: String,
  /// The value.
  pub value: String,
  /// The revision of its last change.
  pub revision: u64,
}

/// The result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
  /// The value was written, at this revision.
  Done(u64),
  /// The key has another revision than expected: this one, or 0 if it is absent.
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

/// Parses a 64-bit integer, which the gateway encodes as a string.
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

fn encode_base64(text: &str) -> String {
  BASE64.encode(text)
}

fn decode_base64(text: &str) -> String {
  BASE64
    .decode(text)
    .ok()
    .and_then(|bytes| String::from_utf8(bytes).ok())
    .unwrap_or_default()
}

/// The end of the range of keys with a prefix, exclusive.
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
      key: decode_base64(&pair.key),
      revision: pair.mod_revision,
      value: decode_base64(&pair.value),
    }
  }
}

/// A client of the key-value service. Runs `on_call` for each call, for metrics.
#[derive(Clone)]
pub struct KeyValueClient {
  http: HttpClient,
  url: Name,
  call_timeout: Duration,
  on_call: Arc<dyn Fn() + Send + Sync>,
}

impl KeyValueClient {
  /// A client for the service at a URL, with a timeout for each call.
  pub fn new(url: &str, call_timeout: Duration, on_call: Arc<dyn Fn() + Send + Sync>) -> Self {
    Self {
      call_timeout,
      http: HttpClient::default(),
      on_call,
      url: url.trim_end_matches('/').into(),
    }
  }

  async fn call<T: Serialize, R: DeserializeOwned>(
    &self,
    operation: &'static str,
    path: &str,
    request: &T,
  ) -> Result<R, KeyValueError> {
    (self.on_call)();
    let uri = format!("{}{path}", self.url);
    self
      .http
      .post(&uri, request, self.call_timeout)
      .await
      .map_err(|source| self.error(operation, source))
  }

  fn error(&self, operation: &'static str, source: CallError) -> KeyValueError {
    KeyValueError {
      operation,
      source,
      url: self.url.clone(),
    }
  }

  /// Reads a key.
  pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, KeyValueError> {
    let request = json!({ "key": encode_base64(key) });
    let reply = self
      .call::<_, RangeReply>("reading a key", "/v3/kv/range", &request)
      .await?;
    Ok(reply.kvs.into_iter().next().map(StoredValue::from))
  }

  /// Reads a key as of an earlier revision.
  pub async fn get_at(
    &self,
    key: &str,
    revision: u64,
  ) -> Result<Option<StoredValue>, KeyValueError> {
    let request = json!({ "key": encode_base64(key), "revision": revision.to_string() });
    let reply = self
      .call::<_, RangeReply>("reading a key's history", "/v3/kv/range", &request)
      .await?;
    Ok(reply.kvs.into_iter().next().map(StoredValue::from))
  }

  /// Reads all keys with a prefix; also returns the revision of the snapshot.
  pub async fn list(&self, prefix: &str) -> Result<(Vec<StoredValue>, u64), KeyValueError> {
    let request = json!({ "key": encode_base64(prefix), "range_end": range_end(prefix) });
    let reply = self
      .call::<_, RangeReply>("reading keys", "/v3/kv/range", &request)
      .await?;
    let stored = reply.kvs.into_iter().map(StoredValue::from).collect();
    Ok((stored, reply.header.revision))
  }

  /// Writes a key if its revision is the expected one; 0 means that the key is absent.
  pub async fn compare_and_swap(
    &self,
    key: &str,
    expected: u64,
    value: &str,
    lease: Option<&str>,
  ) -> Result<SwapOutcome, KeyValueError> {
    let mut put = json!({ "key": encode_base64(key), "value": encode_base64(value) });
    if let Some(lease) = lease {
      put["lease"] = json!(lease);
    }
    self
      .transact(key, expected, json!([{ "request_put": put }]))
      .await
  }

  /// Writes two keys in one transaction if the first is absent.
  pub async fn create_both(
    &self,
    first: (&str, &str),
    second: (&str, &str),
  ) -> Result<SwapOutcome, KeyValueError> {
    let put = |(key, value)| json!({ "request_put": { "key": encode_base64(key), "value": encode_base64(value) } });
    self
      .transact(first.0, 0, json!([put(first), put(second)]))
      .await
  }

  /// Deletes a key if its revision is the expected one.
  pub async fn remove(&self, key: &str, expected: u64) -> Result<SwapOutcome, KeyValueError> {
    let delete = json!({ "request_delete_range": { "key": encode_base64(key) } });
    self.transact(key, expected, json!([delete])).await
  }

  async fn transact(
    &self,
    key: &str,
    expected: u64,
    success: serde_json::Value,
  ) -> Result<SwapOutcome, KeyValueError> {
    let request = json!({
      "compare": [{
        "key": encode_base64(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": expected.to_string(),
      }],
      "failure": [{ "request_range": { "key": encode_base64(key) } }],
      "success": success,
    });
    let reply = self
      .call::<_, TxnReply>("writing a key", "/v3/kv/txn", &request)
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
    let request = json!({ "key": encode_base64(prefix), "range_end": range_end(prefix) });
    self
      .call::<_, serde_json::Value>("deleting keys", "/v3/kv/deleterange", &request)
      .await
      .map(|_| ())
  }

  /// Grants a lease and returns its id.
  pub async fn grant_lease(&self, ttl: Duration) -> Result<Name, KeyValueError> {
    let request = json!({ "TTL": ttl.as_secs().max(1).to_string(), "ID": "0" });
    let reply = self
      .call::<_, LeaseReply>("granting a lease", "/v3/lease/grant", &request)
      .await?;
    Ok(reply.id.into())
  }

  /// Extends a lease; returns false when it has expired.
  pub async fn keep_alive(&self, lease: &str) -> Result<bool, KeyValueError> {
    let request = json!({ "ID": lease });
    let reply = self
      .call::<_, KeepAliveReply>("extending a lease", "/v3/lease/keepalive", &request)
      .await?;
    Ok(reply.result.ttl_s > 0)
  }

  /// Watches all keys with a prefix, starting at a revision. A watch counts as one call.
  pub async fn watch(&self, prefix: &str, from: u64) -> Result<Watch, KeyValueError> {
    (self.on_call)();
    let request = json!({
      "create_request": {
        "key": encode_base64(prefix),
        "range_end": range_end(prefix),
        "start_revision": from.to_string(),
      }
    });
    let uri = format!("{}/v3/watch", self.url);
    let opened =
      tokio::time::timeout(self.call_timeout, self.http.post_stream(&uri, &request)).await;
    let operation = "watching keys";
    match opened {
      Ok(Ok(response)) => Ok(Watch {
        body: response.into_body(),
        buffer: BytesMut::new(),
      }),
      Ok(Err(source)) => Err(self.error(operation, source)),
      Err(_) => Err(self.error(
        operation,
        CallError::TimedOut(self.call_timeout.as_millis()),
      )),
    }
  }
}

/// An open watch.
pub struct Watch {
  body: Incoming,
  buffer: BytesMut,
}

impl Watch {
  /// The next changed keys; `None` when the watch has ended. The caller must then read all keys before a new watch.
  pub async fn next(&mut self) -> Option<Vec<StoredValue>> {
    loop {
      if let Some(line_end) = self.buffer.iter().position(|byte| *byte == b'\n') {
        let line = self.buffer.split_to(line_end);
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
      if self.buffer.len() > MAX_EVENT_BYTES {
        return None;
      }
      let frame = self.body.frame().await?.ok()?;
      if let Ok(data) = frame.into_data() {
        self.buffer.extend_from_slice(&data);
      }
    }
  }
}
