//! The platform's store, in memory, as PROTOCOL.md describes it: items, leases, watches and transactions.

use crate::{
  http::{Request, read_request, write_answer},
  json::{Json, quoted},
};
use std::{
  collections::{BTreeMap, HashMap},
  io::BufReader,
  net::{SocketAddr, TcpListener, TcpStream},
  sync::{
    Arc, Condvar, Mutex,
    atomic::{AtomicBool, Ordering},
  },
  thread,
  time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
  value: String,
  revision: u64,
  created: u64,
  lease: u64,
}

struct Lease {
  ttl: Duration,
  ends: Instant,
}

#[derive(Default)]
struct Contents {
  items: BTreeMap<String, Item>,
  /// Each change as JSON, with its revision and key.
  history: Vec<(u64, String, String)>,
  leases: HashMap<u64, Lease>,
  revision: u64,
}

impl Contents {
  fn put(&mut self, key: &str, value: String, lease: u64) {
    self.revision += 1;
    let revision = self.revision;
    let created = self.items.get(key).map_or(revision, |item| item.created);
    let item = Item {
      value,
      revision,
      created,
      lease,
    };
    let text = shown(key, &item);
    self.items.insert(key.into(), item);
    self.history.push((revision, key.into(), text));
  }

  fn remove(&mut self, key: &str) {
    if self.items.remove(key).is_some() {
      self.revision += 1;
      let text = format!(
        "{{\"key\":{},\"revision\":{},\"removed\":true}}",
        quoted(key),
        self.revision
      );
      self.history.push((self.revision, key.into(), text));
    }
  }

  fn end_lease(&mut self, lease: u64) {
    self.leases.remove(&lease);
    let keys: Vec<String> = self
      .items
      .iter()
      .filter(|(_, item)| item.lease == lease)
      .map(|(key, _)| key.clone())
      .collect();
    for key in keys {
      self.remove(&key);
    }
  }
}

fn shown(key: &str, item: &Item) -> String {
  format!(
    "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
    quoted(key),
    quoted(&item.value),
    item.revision,
    item.created,
    item.lease
  )
}

#[derive(Clone)]
pub struct Store {
  pub address: SocketAddr,
  contents: Arc<(Mutex<Contents>, Condvar)>,
  /// When a lease was renewed last.
  renewed: Arc<Mutex<Instant>>,
  /// While set, calls are read and get no answer, and nothing is done.
  silent: Arc<AtomicBool>,
}

impl Store {
  pub fn start() -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").expect("store's address");
    let store = Store {
      address: listener.local_addr().expect("store's address"),
      contents: Arc::default(),
      renewed: Arc::new(Mutex::new(Instant::now())),
      silent: Arc::default(),
    };
    let serving = store.clone();
    thread::spawn(move || {
      for stream in listener.incoming().flatten() {
        let store = serving.clone();
        thread::spawn(move || store.serve(stream));
      }
    });
    let expiring = store.clone();
    thread::spawn(move || expiring.expire());
    store
  }

  /// Writes a value as the operator and the servers do.
  pub fn put(&self, key: &str, value: &str) {
    let (contents, changed) = &*self.contents;
    contents
      .lock()
      .unwrap()
      .put(key, base64(value.as_bytes()), 0);
    changed.notify_all();
  }

  pub fn remove(&self, key: &str) {
    let (contents, changed) = &*self.contents;
    contents.lock().unwrap().remove(key);
    changed.notify_all();
  }

  /// The keys that begin with a prefix.
  pub fn keys(&self, prefix: &str) -> Vec<String> {
    let contents = self.contents.0.lock().unwrap();
    let keys = contents.items.keys();
    keys
      .filter(|key| key.starts_with(prefix))
      .cloned()
      .collect()
  }

  /// The time since a lease was renewed.
  pub fn since_renewal(&self) -> Duration {
    self.renewed.lock().unwrap().elapsed()
  }

  pub fn set_silent(&self, silent: bool) {
    self.silent.store(silent, Ordering::SeqCst);
  }

  /// Leases run out also while the store is silent.
  fn expire(&self) {
    loop {
      thread::sleep(Duration::from_millis(20));
      let (contents, changed) = &*self.contents;
      let mut contents = contents.lock().unwrap();
      let now = Instant::now();
      let over: Vec<u64> = contents
        .leases
        .iter()
        .filter(|(_, lease)| lease.ends <= now)
        .map(|(id, _)| *id)
        .collect();
      for lease in &over {
        contents.end_lease(*lease);
      }
      drop(contents);
      if !over.is_empty() {
        changed.notify_all();
      }
    }
  }

  fn serve(&self, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(read) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read);
    while let Ok(Some(request)) = read_request(&mut reader) {
      // A channel on which an answer was lost says nothing further.
      if self.is_silent() {
        while self.is_silent() {
          thread::sleep(Duration::from_millis(10));
        }
        return;
      }
      let Some((status, body)) = self.answer(&request) else {
        while self.is_silent() {
          thread::sleep(Duration::from_millis(10));
        }
        return;
      };
      let json = [("Content-Type", "application/json")];
      if write_answer(&mut stream, status, &json, body.as_bytes()).is_err() {
        return;
      }
    }
  }

  fn is_silent(&self) -> bool {
    self.silent.load(Ordering::SeqCst)
  }

  fn answer(&self, request: &Request) -> Option<(u16, String)> {
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let path = request.path().to_owned();
    if path == "/kv-watch" {
      return self.watch(request);
    }
    let (contents, changed) = &*self.contents;
    let mut contents = contents.lock().unwrap();
    let answer = match (request.method.as_str(), path.as_str()) {
      ("GET", "/kv-key") => {
        let key = request.query("key").unwrap_or_default();
        match contents.items.get(&key) {
          Some(item) => (200, shown(&key, item)),
          None => (404, "{}".into()),
        }
      }
      ("GET", "/kv-range") => {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let items: Vec<String> = contents
          .items
          .iter()
          .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
          .map(|(key, item)| shown(key, item))
          .collect();
        (
          200,
          format!(
            "{{\"items\":[{}],\"hasMore\":false,\"timestamp\":{}}}",
            items.join(","),
            contents.revision
          ),
        )
      }
      ("POST", "/kv-lease") => {
        let ttl_ms = body.get("ttlMs").number().max(1_000);
        contents.revision += 1;
        let id = 70_000 + contents.revision;
        let ttl = Duration::from_millis(ttl_ms);
        contents.leases.insert(
          id,
          Lease {
            ttl,
            ends: Instant::now() + ttl,
          },
        );
        (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl_ms}}}"))
      }
      ("POST", "/kv-txn") => transact(&mut contents, &body),
      (method, path) => {
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
        let id: u64 = id.unwrap_or(0);
        if method == "POST" && path.starts_with("/kv-keep/") {
          match contents.leases.get_mut(&id) {
            Some(lease) => {
              lease.ends = Instant::now() + lease.ttl;
              *self.renewed.lock().unwrap() = Instant::now();
              (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, "{}".into()),
          }
        } else if method == "DELETE" && path.starts_with("/kv-lease-end/") {
          contents.end_lease(id);
          (200, "{}".into())
        } else {
          (400, "{}".into())
        }
      }
    };
    drop(contents);
    changed.notify_all();
    Some(answer)
  }

  fn watch(&self, request: &Request) -> Option<(u16, String)> {
    let prefix = request.query("pathPrefix").unwrap_or_default();
    let number = |name| request.query(name).and_then(|text| text.parse().ok());
    let after: u64 = number("after").unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
    let (contents, changed) = &*self.contents;
    let mut contents = contents.lock().unwrap();
    loop {
      if self.is_silent() {
        return None;
      }
      let events: Vec<&str> = contents
        .history
        .iter()
        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
        .map(|(_, _, text)| text.as_str())
        .collect();
      let now = Instant::now();
      if !events.is_empty() || now >= until {
        let text = format!(
          "{{\"events\":[{}],\"timestamp\":{}}}",
          events.join(","),
          contents.revision
        );
        return Some((200, text));
      }
      let wait = (until - now).min(Duration::from_millis(50));
      contents = changed.wait_timeout(contents, wait).unwrap().0;
    }
  }
}

fn transact(contents: &mut Contents, body: &Json) -> (u16, String) {
  let conditions = body.get("prevRevision").list();
  let holds = conditions.iter().all(|condition| {
    let item = contents.items.get(condition.get("key").text());
    item.map_or(0, |item| item.revision) == condition.get("revision").number()
  });
  if !holds {
    let items: Vec<String> = conditions
      .iter()
      .filter_map(|condition| {
        let key = condition.get("key").text();
        contents.items.get(key).map(|item| shown(key, item))
      })
      .collect();
    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
  }
  let sets = body.get("setKeys").list();
  let known = |set: &Json| {
    let lease = set.get("lease").number();
    lease == 0 || contents.leases.contains_key(&lease)
  };
  if !sets.iter().all(known) {
    return (404, "{}".into());
  }
  for set in sets {
    contents.put(
      set.get("key").text(),
      set.get("value").text().into(),
      set.get("lease").number(),
    );
  }
  for key in body.get("remove").list() {
    contents.remove(key.text());
  }
  (200, format!("{{\"revision\":{}}}", contents.revision))
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
  const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  let mut text = String::new();
  for chunk in bytes.chunks(3) {
    let mut word = [0; 3];
    word[..chunk.len()].copy_from_slice(chunk);
    let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
    for index in 0..4 {
      let sign = SIGNS[(bits >> (18 - 6 * index) & 63) as usize];
      text.push(if index <= chunk.len() {
        char::from(sign)
      } else {
        '='
      });
    }
  }
  text
}
