//! This box's own entry in the store, kept under a lease.

use {
  crate::gateway::{
    decisions::BoxEntry,
    edge::{Store, StoreError},
    state::{Gateway, HeldLease, Phase},
  },
  bytes::Bytes,
  std::{rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// This box's entry outlasts three renewals.
const LEASE_TTL_MS: u64 = 9_000;
/// Pause between renewals.
const RENEW_PAUSE: Duration = Duration::from_millis(3_000);

/// Keeps this box's own entry, by which the others count the boxes.
pub(crate) async fn keep_entry<S: Store>(gateway: Rc<Gateway>, store: S) {
  let ttl = Duration::from_millis(LEASE_TTL_MS.max(gateway.settings.store.min_lease_ms));
  while *gateway.phase.borrow() == Phase::Serving {
    let sent_ms = gateway.now_ms();
    gateway.counters.store_calls.inc();
    match gateway.lease.get() {
      None => enter(&gateway, &store, ttl, sent_ms).await,
      Some(held) => renew(&gateway, &store, held, sent_ms).await,
    }
    sleep(RENEW_PAUSE).await;
  }
}

/// Takes a lease and writes this box's entry under it.
async fn enter<S: Store>(gateway: &Gateway, store: &S, ttl: Duration, sent_ms: u64) {
  let lease = match store.grant(ttl).await {
    Ok(lease) => lease,
    Err(error) => {
      log::info!("E409 no lease: {error}");
      return;
    }
  };
  gateway.counters.store_calls.inc();
  let name = &gateway.settings.identity.name;
  let entry = BoxEntry {
    address: gateway.settings.listen.boxes,
    hall: gateway.settings.identity.hall.clone(),
  };
  let value = match postcard::to_stdvec(&entry) {
    Ok(value) => Bytes::from(value),
    Err(error) => {
      log::error!("E409 entry can't be written: {error}");
      return;
    }
  };
  match store.put_box(name, value, lease).await {
    Ok(()) => gateway.lease.set(Some(HeldLease {
      lease,
      renewed_ms: sent_ms,
    })),
    Err(error) => log::info!("E409 entry not written: {error}"),
  }
}

/// Renews the lease; one that is over is forgotten, and taken anew at the next turn.
async fn renew<S: Store>(gateway: &Gateway, store: &S, held: HeldLease, sent_ms: u64) {
  match store.renew(held.lease).await {
    Ok(()) => gateway.lease.set(Some(HeldLease {
      renewed_ms: sent_ms,
      ..held
    })),
    Err(StoreError::LeaseExpired) => {
      log::info!("E410 lease over: this box enters itself again");
      gateway.lease.set(None);
    }
    Err(error) => log::debug!("lease not renewed: {error}"),
  }
}

/// Gives this box's lease back, so that the others take over at once.
pub(crate) async fn end_entry<S: Store>(gateway: &Gateway, store: &S) {
  let Some(held) = gateway.lease.take() else {
    return;
  };
  gateway.counters.store_calls.inc();
  if let Err(error) = store.revoke(held.lease).await {
    log::info!("E411 lease not given back, it runs out by itself: {error}");
  }
}
