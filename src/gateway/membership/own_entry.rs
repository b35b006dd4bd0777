//! This box's own entry in the store, bound to a lease.

use {
  crate::{
    gateway::{
      decisions::{BoxEntry, registration_delay_ms, renewal_retry_ms},
      edge::{Store, StoreError, StoreLease},
      state::{Gateway, HeldLease, Phase},
    },
    wait_until,
  },
  bytes::Bytes,
  std::{rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// Three renewal intervals.
const LEASE_TTL_MS: u64 = 9_000;
const RENEWAL_INTERVAL: Duration = Duration::from_millis(3_000);
/// Interval between attempts to revoke the lease while the store does not answer.
const REVOCATION_INTERVAL: Duration = Duration::from_millis(1_000);

/// Registers this box, and renews its lease while it serves. The other boxes derive the number of boxes from these entries. Once
/// the box shuts down, the lease is revoked, which removes the entry at once instead of at the lease's expiry.
pub(crate) async fn maintain_entry<S: Store>(gateway: Rc<Gateway>, store: S) {
  let mut phase = gateway.phase.subscribe();
  let mut entry = OwnEntry {
    gateway,
    granted: None,
    store,
  };
  tokio::select! {
    () = entry.keep_registered() => {}
    // A call in flight is abandoned: whatever it still writes is bound to the lease that is revoked.
    () = wait_until(&mut phase, |phase| *phase > Phase::Serving) => {}
  }
  entry.revoke().await;
}

/// How a call for the lease or the entry has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Registration {
  /// This box has an entry.
  Held,
  /// The lease has expired, and the entry with it.
  Expired,
  /// The store did not answer, or refused the call.
  Failed,
}

struct OwnEntry<S> {
  gateway: Rc<Gateway>,
  store: S,
  /// The last lease that was granted, also when the entry was not written under it.
  granted: Option<StoreLease>,
}

impl<S: Store> OwnEntry<S> {
  async fn keep_registered(&mut self) {
    loop {
      let sent_ms = self.gateway.now_ms();
      self.gateway.counters.store_calls.inc();
      let registration = match self.gateway.lease.get() {
        None => self.register(sent_ms).await,
        Some(held) => self.renew(held, sent_ms).await,
      };
      self.wait_after(registration).await;
    }
  }

  /// Waits until the next call: an entry that is gone is written again as soon as the store takes those of all boxes.
  async fn wait_after(&self, registration: Registration) {
    let boxes = self.gateway.box_count();
    let draw = self.gateway.draw();
    let registration_delay = Duration::from_millis(registration_delay_ms(boxes, draw));
    match registration {
      Registration::Held => tokio::select! {
        () = sleep(RENEWAL_INTERVAL) => {}
        () = self.gateway.own_entry_removed.notified() => sleep(registration_delay).await,
      },
      Registration::Expired => sleep(registration_delay).await,
      Registration::Failed => {
        sleep(Duration::from_millis(renewal_retry_ms(boxes, draw))).await;
      }
    }
  }

  /// Acquires a lease, and writes this box's entry under it.
  async fn register(&mut self, sent_ms: u64) -> Registration {
    let settings = &self.gateway.settings;
    let ttl = Duration::from_millis(LEASE_TTL_MS.max(settings.store.min_lease_ms));
    let lease = match self.store.grant(ttl).await {
      Ok(lease) => lease,
      Err(error) => {
        log::info!("E409 lease not granted: {error}");
        return Registration::Failed;
      }
    };
    self.granted = Some(lease);
    self.gateway.counters.store_calls.inc();
    let name = &settings.identity.name;
    let entry = BoxEntry {
      address: settings.listen.boxes,
      hall: settings.identity.hall.clone(),
    };
    let value = match postcard::to_stdvec(&entry) {
      Ok(value) => Bytes::from(value),
      Err(error) => {
        log::error!("E409 own entry not encoded: {error}");
        return Registration::Failed;
      }
    };
    match self.store.put_box(name, value, lease).await {
      Ok(()) => {
        self.gateway.lease.set(Some(HeldLease {
          lease,
          renewed_ms: sent_ms,
        }));
        Registration::Held
      }
      Err(error) => {
        log::info!("E409 own entry not written: {error}");
        Registration::Failed
      }
    }
  }

  /// Renews the lease; an expired one is dropped.
  async fn renew(&self, held: HeldLease, sent_ms: u64) -> Registration {
    match self.store.renew(held.lease).await {
      Ok(()) => {
        self.gateway.lease.set(Some(HeldLease {
          renewed_ms: sent_ms,
          ..held
        }));
        Registration::Held
      }
      Err(StoreError::LeaseExpired) => {
        log::info!("E410 lease expired: registering again");
        self.gateway.lease.set(None);
        Registration::Expired
      }
      Err(error) => {
        log::debug!("lease not renewed: {error}");
        Registration::Failed
      }
    }
  }

  /// Revokes the lease, at intervals until the store has answered.
  async fn revoke(self) {
    self.gateway.lease.set(None);
    let Some(lease) = self.granted else {
      return;
    };
    loop {
      self.gateway.counters.store_calls.inc();
      match self.store.revoke(lease).await {
        Ok(()) | Err(StoreError::LeaseExpired) => return,
        Err(error) => log::info!("E411 lease not revoked: {error}"),
      }
      sleep(REVOCATION_INTERVAL).await;
    }
  }
}
