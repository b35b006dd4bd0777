//! A stand-in of the platform's metadata store: reads, watches, leases and conditional transactions, in memory.

use {
  super::{
    http::{Next, Request, serve, spawn, write_json},
    json::Json,
    record::{Record, lock},
  },
  std::{
    collections::{BTreeMap, HashMap, HashSet},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
      Arc, Condvar, Mutex,
      atomic::{AtomicU64, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
  },
};

/// Interval of checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of checks for a new watch.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Interval of checks of silent channels.
const SILENT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Clone)]
struct Item {
  /// In base64.
  value: String,
  revision: u64,
  created: u64,
  lease: u64,
}

struct Lease {
  ttl: Duration,
  expires: Instant,
}

#[derive(Default)]
struct Contents {
  items: BTreeMap<String, Item>,
  /// The events, as JSON.
  history: Vec<(u64, String)>,
  leases: HashMap<u64, Lease>,
  last_lease: u64,
  revision: u64,
}

impl Contents {
  fn write(&mut self, key: &str, value: String, lease: u64) {
    self.revision += 1;
    let created = self
      .items
      .get(key)
      .map_or(self.revision, |item| item.created);
    let item = Item {
      created,
      lease,
      revision: self.revision,
      value,
    };
    self.history.push((self.revision, item_json(key, &item)));
    self.items.insert(key.into(), item);
  }

  fn remove(&mut self, key: &str) {
    if self.items.remove(key).is_some() {
      self.revision += 1;
      let event = format!(
        "{{\"key\":\"{key}\",\"revision\":{},\"removed\":true}}",
        self.revision
      );
      self.history.push((self.revision, event));
    }
  }

  fn end_lease(&mut self, lease: u64) {
    self.leases.remove(&lease);
    let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
    let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
    keys.iter().for_each(|key| self.remove(key));
  }
}

fn item_json(key: &str, item: &Item) -> String {
  let Item {
    created,
    lease,
    revision,
    value,
  } = item;
  format!(
    "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
  )
}

/// The running store.
#[derive(Clone)]
pub struct Store {
  pub address: SocketAddr,
  shared: Arc<Shared>,
}

struct Shared {
  contents: Mutex<Contents>,
  changed: Condvar,
  record: Arc<Record>,
  /// The peers of channels that say nothing any more.
  silent: Mutex<HashSet<SocketAddr>>,
  /// The peers of all channels.
  peers: Mutex<HashSet<SocketAddr>>,
  /// The number of watches so far.
  watches: AtomicU64,
}

impl Store {
  /// Starts the store.
  pub fn start(listener: TcpListener, record: &Arc<Record>) -> io::Result<Self> {
    let shared = Arc::new(Shared {
      changed: Condvar::new(),
      contents: Mutex::default(),
      peers: Mutex::default(),
      record: record.clone(),
      silent: Mutex::default(),
      watches: AtomicU64::new(0),
    });
    let handler_shared = shared.clone();
    let handler = Arc::new(move |request: Request, stream: &mut TcpStream| {
      handler_shared.handle(&request, stream)
    });
    let address = serve(listener, handler)?;
    let expiring = shared.clone();
    spawn(move || {
      loop {
        sleep(LEASE_CHECK_INTERVAL);
        expiring.expire_leases();
      }
    })?;
    Ok(Self { address, shared })
  }

  /// Writes a key, as the operator and the servers do.
  pub fn put(&self, key: &str, value: &str) {
    self
      .shared
      .record
      .line(&format!("store: put {key} {value}"));
    lock(&self.shared.contents).write(key, base64(value.as_bytes()), 0);
    self.shared.changed.notify_all();
  }

  /// Waits until a box begins a watch.
  pub fn wait_for_watch(&self) {
    let watches = &self.shared.watches;
    let before = watches.load(Ordering::Relaxed);
    while watches.load(Ordering::Relaxed) == before {
      sleep(WATCH_CHECK_INTERVAL);
    }
  }

  /// Lets all open channels go silent for good; new ones work.
  pub fn silence_open_channels(&self) {
    let peers = lock(&self.shared.peers).clone();
    self
      .shared
      .record
      .line(&format!("store: {} open channels go silent", peers.len()));
    *lock(&self.shared.silent) = peers;
  }

  /// Removes a key.
  pub fn remove(&self, key: &str) {
    self.shared.record.line(&format!("store: removed {key}"));
    lock(&self.shared.contents).remove(key);
    self.shared.changed.notify_all();
  }
}

impl Shared {
  /// Waits for good if the channel is silent.
  fn wait_if_silent(&self, peer: SocketAddr) {
    while lock(&self.silent).contains(&peer) {
      sleep(SILENT_CHECK_INTERVAL);
    }
  }

  fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
    let peer = stream.peer_addr()?;
    lock(&self.peers).insert(peer);
    self.wait_if_silent(peer);
    let path = request.path();
    let (status, body) = match (request.method.as_str(), path) {
      ("GET", "/kv-range") => self.range(request),
      ("GET", "/kv-key") => self.key(request),
      ("GET", "/kv-watch") => self.watch(request),
      ("POST", "/kv-txn") => self.transact(request),
      ("POST", "/kv-lease") => self.grant(request),
      ("POST", _) if path.starts_with("/kv-keep/") => self.renew(path),
      ("DELETE", _) if path.starts_with("/kv-lease-end/") => self.revoke(path),
      _ => (404, "{}".into()),
    };
    // A watch may have waited while its channel went silent.
    self.wait_if_silent(peer);
    write_json(stream, status, "", &body)
  }

  fn range(&self, request: &Request) -> (u16, String) {
    let prefix = request.parameter("pathPrefix").unwrap_or_default();
    let after = request.parameter("after").unwrap_or_default();
    let contents = lock(&self.contents);
    let items = contents.items.iter();
    let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
    let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
    let body = format!(
      "{{\"items\":[{}],\"hasMore\":false,\"timestamp\":{}}}",
      items.join(","),
      contents.revision
    );
    (200, body)
  }

  fn key(&self, request: &Request) -> (u16, String) {
    let key = request.parameter("key").unwrap_or_default();
    let contents = lock(&self.contents);
    match contents.items.get(key) {
      Some(item) => (200, item_json(key, item)),
      None => (404, "{}".into()),
    }
  }

  fn watch(&self, request: &Request) -> (u16, String) {
    self.watches.fetch_add(1, Ordering::Relaxed);
    let number = |name| {
      let text = request.parameter(name);
      text.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
    };
    let after = number("after");
    let until = Instant::now() + Duration::from_millis(number("waitMs"));
    let mut contents = lock(&self.contents);
    loop {
      let left = until.saturating_duration_since(Instant::now());
      if contents.revision > after || left.is_zero() {
        break;
      }
      let waited = self.changed.wait_timeout(contents, left);
      contents = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
    }
    let events = contents.history.iter();
    let events = events.filter(|(revision, _)| *revision > after);
    let events: Vec<&str> = events.map(|(_, event)| event.as_str()).collect();
    let body = format!(
      "{{\"events\":[{}],\"timestamp\":{}}}",
      events.join(","),
      contents.revision
    );
    (200, body)
  }

  fn transact(&self, request: &Request) -> (u16, String) {
    let Some(call) = Json::parse(&request.text()) else {
      return (400, "{}".into());
    };
    let mut contents = lock(&self.contents);
    let differs = |condition: &Json| {
      let item = contents.items.get(condition.text("key"));
      item.map_or(0, |item| item.revision) != condition.number("revision")
    };
    if call.list("prevRevision").iter().any(differs) {
      return (412, "{\"items\":[]}".into());
    }
    let lacks_lease = |set: &Json| {
      let lease = set.number("lease");
      lease > 0 && !contents.leases.contains_key(&lease)
    };
    if call.list("setKeys").iter().any(lacks_lease) {
      return (404, "{}".into());
    }
    for set in call.list("setKeys") {
      contents.write(
        set.text("key"),
        set.text("value").into(),
        set.number("lease"),
      );
    }
    for key in call.list("remove") {
      if let Json::Text(key) = key {
        contents.remove(key);
      }
    }
    self.changed.notify_all();
    (200, format!("{{\"revision\":{}}}", contents.revision))
  }

  fn grant(&self, request: &Request) -> (u16, String) {
    let ttl_ms = Json::parse(&request.text()).map_or(0, |call| call.number("ttlMs"));
    let ttl = Duration::from_millis(ttl_ms);
    let mut contents = lock(&self.contents);
    contents.last_lease += 1;
    let lease = contents.last_lease;
    let expires = Instant::now() + ttl;
    contents.leases.insert(lease, Lease { expires, ttl });
    (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
  }

  fn renew(&self, path: &str) -> (u16, String) {
    let mut contents = lock(&self.contents);
    let lease = lease_id(path).and_then(|lease| contents.leases.get_mut(&lease));
    match lease {
      Some(lease) => {
        lease.expires = Instant::now() + lease.ttl;
        (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
      }
      None => (404, "{}".into()),
    }
  }

  fn revoke(&self, path: &str) -> (u16, String) {
    if let Some(lease) = lease_id(path) {
      lock(&self.contents).end_lease(lease);
      self.changed.notify_all();
    }
    (200, "{}".into())
  }

  fn expire_leases(&self) {
    let mut contents = lock(&self.contents);
    let now = Instant::now();
    let expired = contents.leases.iter();
    let expired = expired.filter(|(_, lease)| lease.expires <= now);
    let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
    if !expired.is_empty() {
      expired
        .into_iter()
        .for_each(|lease| contents.end_lease(lease));
      self.changed.notify_all();
    }
  }
}

/// The lease at the end of a path.
fn lease_id(path: &str) -> Option<u64> {
  path.rsplit('/').next()?.parse().ok()
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
  const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  let mut text = String::new();
  for group in bytes.chunks(3) {
    let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
    let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
    for digit in 0..4 {
      if digit <= group.len() {
        let index = bits >> (18 - 6 * digit) & 63;
        text.push(char::from(DIGITS[index as usize]));
      } else {
        text.push('=');
      }
    }
  }
  text
}
