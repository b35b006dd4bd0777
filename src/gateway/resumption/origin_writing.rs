//! Writes batches of origins to the store, under leases that outlast the boxes and the streams.

use {
  crate::gateway::{
    decisions::{ORIGIN_WRITE_INTERVAL_MS, OriginWrite, OriginWriter, TakenLease},
    edge::{Store, StoreError, StoreLease},
    state::Gateway,
  },
  crate::ids::Name,
  bytes::Bytes,
  std::{rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// Writes the streams that wait until the process exits: the first at once, others after the write before and an interval.
pub(crate) async fn write_origins<S: Store>(gateway: Rc<Gateway>, store: S) {
  let identity = &gateway.settings.identity;
  // A box that restarts must not overwrite its former batches.
  let writer = format!("{}-{:x}", identity.name, gateway.incarnation);
  loop {
    gateway.origins.writer_filled.notified().await;
    while !gateway.origins.writer.borrow().is_empty() {
      // Without contact the streams wait.
      if gateway.is_current() {
        write_next(&gateway, &store, &writer).await;
      }
      sleep(Duration::from_millis(ORIGIN_WRITE_INTERVAL_MS)).await;
    }
  }
}

async fn write_next<S: Store>(gateway: &Gateway, store: &S, writer: &str) {
  let now_ms = gateway.now_ms();
  let write = gateway.origins.writer.borrow_mut().take(writer, now_ms);
  if let Some(write) = write {
    make(gateway, store, write).await;
  }
}

async fn make<S: Store>(gateway: &Gateway, store: &S, write: OriginWrite) {
  let result = put(gateway, store, &write).await;
  let count = write.len();
  let mut writer = gateway.origins.writer.borrow_mut();
  match result {
    Ok(()) => {
      writer.record_success();
      gateway.counters.origins_written.add(count as u64);
    }
    Err(error) => {
      if matches!(error, StoreError::LeaseExpired) {
        writer.set_lease(None);
      }
      let failed_again = writer.record_failure(write, gateway.now_ms());
      log::info!(
        "E614 origins of {count} streams not written, {} of them for the second time: {error}",
        failed_again.len()
      );
      let mut outbox = gateway.origins.outbox.borrow_mut();
      for stream in failed_again {
        gateway.counters.origins_dropped.add(outbox.put(stream));
      }
      gateway.origins.outbox_filled.notify_one();
    }
  }
}

async fn put<S: Store>(
  gateway: &Gateway,
  store: &S,
  write: &OriginWrite,
) -> Result<(), StoreError> {
  let batches = write.batches.iter().map(|(name, batch)| {
    let value = postcard::to_stdvec(batch);
    let value = value.map_err(|error| StoreError::Call(error.to_string()))?;
    Ok((name.clone(), Bytes::from(value)))
  });
  let batches = batches.collect::<Result<Vec<(Name, Bytes)>, StoreError>>()?;
  let lease = current_lease(gateway, store).await?;
  gateway.counters.store_calls.inc();
  gateway.counters.origin_writes.inc();
  store.put_origins(&batches, lease).await
}

/// The lease of the next batches. Its keys are not removed before the longest stream can't be resumed any more.
async fn current_lease<S: Store>(gateway: &Gateway, store: &S) -> Result<StoreLease, StoreError> {
  let sent_ms = gateway.now_ms();
  let lifetime_ms = gateway.stream_lifetime_ms();
  let current = gateway.origins.writer.borrow().lease(lifetime_ms, sent_ms);
  if let Some(lease) = current {
    return Ok(lease);
  }
  let min_ms = gateway.settings.store.min_lease_ms;
  let ttl = Duration::from_millis(OriginWriter::lease_ttl_ms(lifetime_ms).max(min_ms));
  gateway.counters.store_calls.inc();
  let lease = store.grant(ttl).await?;
  gateway
    .origins
    .writer
    .borrow_mut()
    .set_lease(Some(TakenLease {
      lease,
      lifetime_ms,
      sent_ms,
    }));
  Ok(lease)
}
