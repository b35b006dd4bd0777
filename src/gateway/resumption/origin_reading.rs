//! Reads from the store where streams began that no box has recorded.

use {
  super::origin_messages::{FindOriginMessage, ask_reader, writers_of},
  crate::{
    gateway::{
      decisions::{
        OriginBatch, OriginBucket, RecordedOrigin, StoredOrigins, StreamKey, StreamOrigin,
      },
      edge::{Store, StoreError, StoreItem},
      state::Gateway,
    },
    ids::Name,
  },
  std::{collections::BTreeSet, mem, rc::Rc, time::Duration},
  tokio::time::{Instant, sleep_until, timeout},
};

/// How long a request waits for the store.
const FIND_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between the beginnings of two reads at least.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Boxes that may fail to read a bucket.
const MAX_FAILED: usize = 2;

/// The origin of a stream in the store; `None` if there is none, or two.
pub(super) async fn find_stored_origin(gateway: &Gateway, key: &StreamKey) -> Option<StreamOrigin> {
  if !gateway.settings.mechanisms.stored_origins || !gateway.is_current() {
    return None;
  }
  let found = timeout(FIND_TIMEOUT, find(gateway, key)).await.ok()??;
  match found {
    RecordedOrigin::Known(origin) => Some(origin),
    RecordedOrigin::Ambiguous | RecordedOrigin::Held | RecordedOrigin::Unknown => None,
  }
}

/// What the store has on a stream; `None` if it does not answer. In a large deployment the boxes that write a bucket read it for all.
async fn find(gateway: &Gateway, key: &StreamKey) -> Option<RecordedOrigin> {
  let bucket = OriginBucket::of(key, gateway.boxes.borrow().len());
  if bucket.is_only() {
    return read_origin(gateway, bucket, key).await;
  }
  let message = FindOriginMessage { bucket, key: *key };
  let mut failed = 0;
  for (name, address) in writers_of(gateway, bucket) {
    if name == gateway.settings.identity.name {
      return read_origin(gateway, bucket, key).await;
    }
    match ask_reader(gateway, address, &message).await {
      Ok(origin) => return Some(origin),
      Err(error) => {
        log::debug!("stream not looked up in the store by {address}: {error}");
        failed += 1;
      }
    }
    if failed == MAX_FAILED {
      break;
    }
  }
  None
}

/// What this box reads in the store on a stream; `None` if the store does not answer.
pub(super) async fn read_origin(
  gateway: &Gateway,
  bucket: OriginBucket,
  key: &StreamKey,
) -> Option<RecordedOrigin> {
  let known = gateway.origins.stored.borrow().find(key, gateway.now_ms());
  if known != RecordedOrigin::Unknown {
    return Some(known);
  }
  gateway.origins.wanted.borrow_mut().insert(bucket);
  let stored = gateway.origins.reads.read().await??;
  Some(stored.find(key, gateway.now_ms()))
}

/// Reads the buckets that are wanted until the process exits.
pub(crate) async fn serve_origin_reads<S: Store>(gateway: Rc<Gateway>, store: S) {
  let mut next = Instant::now();
  let read = async || {
    sleep_until(next).await;
    next = Instant::now() + READ_INTERVAL;
    let wanted = mem::take(&mut *gateway.origins.wanted.borrow_mut());
    let prefixes = wanted.into_iter().flat_map(OriginBucket::prefixes);
    match read_batches(&gateway, &store, prefixes.collect()).await {
      Ok(stored) => {
        let stored = Rc::new(stored);
        gateway.origins.stored.replace(stored.clone());
        Some(stored)
      }
      Err(error) => {
        log::info!("E615 origins of streams not read: {error}");
        None
      }
    }
  };
  gateway.origins.reads.serve(read).await;
}

async fn read_batches<S: Store>(
  gateway: &Gateway,
  store: &S,
  prefixes: BTreeSet<Name>,
) -> Result<StoredOrigins, StoreError> {
  let began_ms = gateway.now_ms();
  let mut stored = StoredOrigins::default();
  let mut batches = 0;
  for prefix in prefixes {
    gateway.counters.store_calls.inc();
    gateway.counters.origin_reads.inc();
    let items = store.origins(&prefix).await?;
    batches += items.len();
    for item in items {
      add(&mut stored, &item, gateway.now_ms());
    }
  }
  log::info!(
    "E616 origins read: {} streams of {batches} batches in {} ms",
    stored.len(),
    gateway.now_ms() - began_ms
  );
  Ok(stored)
}

fn add(stored: &mut StoredOrigins, item: &StoreItem, now_ms: u64) {
  let Some(value) = &item.value else {
    return;
  };
  match postcard::from_bytes::<OriginBatch>(value) {
    Ok(batch) => stored.add(&batch, now_ms),
    Err(error) => log::warn!(
      "E405 batch of origins at revision {} not decoded: {error}",
      item.revision
    ),
  }
}

/// Forgets the last read once none of its streams may be resumed.
pub(super) fn expire_stored(gateway: &Gateway) {
  let mut stored = gateway.origins.stored.borrow_mut();
  if !stored.is_empty() && stored.expires_ms() <= gateway.now_ms() {
    *stored = Rc::default();
  }
}
