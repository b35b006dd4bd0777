//! Keeps the records of services' versions in the store in step with the listed versions, and reads them for requests that resume
//! streams. The records are not bound to a lease: they outlast the boxes.

use {
  crate::{
    Result,
    gateway::{
      decisions::{RecordChange, RecordMaker, ServiceVersion, VersionRecord},
      edge::{Store, StoreError, StoreItem, StoreKey},
      state::Gateway,
    },
  },
  std::{rc::Rc, time::Duration},
  tokio::time::{Instant, sleep_until, timeout},
};

/// Interval of checks for changes that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between the beginnings of two reads at least: after a kill of all boxes each of them reads.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a read: more than a slow store takes.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// The same while streams wait for a record.
const URGENT_INTERVAL: Duration = Duration::from_millis(10);

/// Records versions and removes their records until the process exits.
pub(crate) async fn sync_versions<S: Store>(gateway: Rc<Gateway>, store: S) {
  loop {
    let is_awaited = gateway
      .endpoints
      .borrow()
      .version_records()
      .are_any_awaited();
    let interval = match is_awaited {
      true => URGENT_INTERVAL,
      false => CHECK_INTERVAL,
    };
    // Either way the changes that are due are made.
    let _ = timeout(interval, gateway.version_awaited.notified()).await;
    if !gateway.has_listed.get() {
      continue;
    }
    for change in due_changes(&gateway) {
      gateway.counters.store_calls.inc();
      if let Err(error) = make(&gateway, &store, &change).await {
        log::info!("E569 version not recorded: {change:?}: {error}");
      }
    }
  }
}

/// The changes that this box makes now.
fn due_changes(gateway: &Gateway) -> Vec<RecordChange> {
  let Some(table) = gateway.route_table() else {
    return Vec::new();
  };
  gateway.endpoints.borrow_mut().due_record_changes(
    |service| table.streams_from(service),
    RecordMaker {
      box_name: &gateway.settings.identity.name,
      boxes: &gateway.boxes.borrow(),
      is_current: gateway.is_current(),
      lifetime_ms: gateway.stream_lifetime_ms(),
      now_ms: gateway.now_ms(),
    },
  )
}

async fn make<S: Store>(
  gateway: &Gateway,
  store: &S,
  change: &RecordChange,
) -> Result<(), StoreError> {
  match change {
    RecordChange::Write(record, revision) => {
      let key = record.subject.key();
      let value = record
        .encode()
        .map_err(|error| StoreError::Call(error.to_string()))?;
      let written = store.write_version(&key, value.into(), *revision).await?;
      match written {
        Some(written_at) => {
          log::info!("E568 version record written: {record:?} at revision {written_at}");
          gateway.put_version_record(key, record.clone(), written_at);
        }
        // Another box was first; the changes that show its record may lag.
        None => {
          gateway.counters.store_calls.inc();
          drop(recorded_versions(gateway, store.versions().await?));
        }
      }
    }
    RecordChange::Remove(version, revision) => {
      if store.remove_version(&version.key(), *revision).await? {
        log::info!("E568 version record removed: {version:?}, written at revision {revision}");
      }
    }
  }
  Ok(())
}

/// Reads the records of all versions for the requests that wait for them, until the process exits.
pub(crate) async fn serve_version_reads<S: Store>(gateway: Rc<Gateway>, store: S) {
  let mut next = Instant::now();
  let read = async || {
    sleep_until(next).await;
    next = Instant::now() + READ_INTERVAL;
    gateway.counters.store_calls.inc();
    match timeout(READ_TIMEOUT, store.versions()).await {
      Ok(Ok(items)) => recorded_versions(&gateway, items),
      Ok(Err(error)) => {
        log::info!("E617 records of versions not read: {error}");
        None
      }
      Err(_) => {
        log::info!("E617 records of versions not read: no answer for {READ_TIMEOUT:?}");
        None
      }
    }
  };
  gateway.version_reads.serve(read).await;
}

/// The versions in the records of a read; `None` if one can't be decoded, which may be of any version.
fn recorded_versions(gateway: &Gateway, items: Vec<StoreItem>) -> Option<Rc<[ServiceVersion]>> {
  let mut versions = Vec::new();
  for item in items {
    let (StoreKey::Version(key), Some(value)) = (item.key, item.value) else {
      continue;
    };
    let record = VersionRecord::decode(&value)
      .inspect_err(|error| log::warn!("E405 record {key} of a version not decoded: {error}"))
      .ok()?;
    versions.push(record.subject.clone());
    gateway.put_version_record(key, record, item.revision);
  }
  Some(versions.into())
}
