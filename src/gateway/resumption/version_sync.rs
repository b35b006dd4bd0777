//! Keeps the records of services' versions in the store in step with the listed versions. They are not bound to a lease: they
//! outlast the boxes.

use {
  crate::{
    Result,
    gateway::{
      decisions::{RecordChange, ServiceVersion},
      edge::{Store, StoreError},
      state::Gateway,
    },
  },
  bytes::Bytes,
  std::{rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// Interval of checks for changes that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Records versions and removes their records until the process exits.
pub(crate) async fn sync_versions<S: Store>(gateway: Rc<Gateway>, store: S) {
  loop {
    sleep(CHECK_INTERVAL).await;
    // A view that lags could remove the record of a version that is listed again.
    if !gateway.has_listed.get() || !gateway.is_current() {
      continue;
    }
    for change in due_changes(&gateway) {
      gateway.counters.store_calls.inc();
      if let Err(error) = make(&store, &change).await {
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
  gateway.version_records.borrow_mut().due(
    gateway.endpoints.borrow().versions(),
    |service| table.streams_from(service),
    &gateway.boxes.borrow(),
    &gateway.settings.identity.name,
    gateway.now_ms(),
  )
}

async fn make<S: Store>(store: &S, change: &RecordChange) -> Result<(), StoreError> {
  let is_made = match change {
    RecordChange::Add(version) => {
      let value = encode(version)?;
      store.add_version(&version.key(), value).await?
    }
    RecordChange::Remove(version, revision) => {
      store.remove_version(&version.key(), *revision).await?
    }
  };
  // Otherwise another box was first.
  if is_made {
    log::info!("E568 version records changed: {change:?}");
  }
  Ok(())
}

fn encode(version: &ServiceVersion) -> Result<Bytes, StoreError> {
  postcard::to_stdvec(version)
    .map(Bytes::from)
    .map_err(|error| StoreError::Call(error.to_string()))
}
