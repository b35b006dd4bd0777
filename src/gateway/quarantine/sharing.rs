//! Keeps in the store what boxes know of requests that end endpoints: each box hears of it by its watch, one that has just started by
//! its listing, and it outlasts all of them.

use {
  super::messages::tell_marks,
  crate::{
    gateway::{
      decisions::{KEPT_MS, QuarantineKey, retry_pause_ms},
      edge::{MOST_CHANGED_KEYS, Store, StoreError, StoreLease},
      state::{Gateway, MarkOrigin, TrialClaim},
    },
    ids::Name,
  },
  std::{cell::Cell, rc::Rc, time::Duration},
  tokio::{sync::mpsc, task::spawn_local, time::sleep},
};

/// Time for each box over which the first ends of requests are gathered: when an engine ends, all boxes that had streams there
/// write at once, and the store takes 400 changes a second.
const GATHER_MS_PER_BOX: u64 = 4;
/// A lease this old is used for nothing new, so that marks stay for three quarters of [`KEPT_MS`] at least.
const LEASE_USED_MS: u64 = KEPT_MS / 4;
/// Other boxes that are asked to write when the store does not answer this one.
const MOST_TOLD: usize = 3;

/// A lease under which marks are written; all run out by themselves.
#[derive(Clone, Copy, Debug)]
struct MarkLease {
  lease: StoreLease,
  granted_ms: u64,
}

struct Sharing<S> {
  gateway: Rc<Gateway>,
  store: S,
  lease: Cell<Option<MarkLease>>,
}

/// Writes marks and takes trials until the process ends.
pub(crate) async fn keep_quarantine<S: Store>(gateway: Rc<Gateway>, store: S) {
  let Some(claims) = gateway.quarantine.take_claims() else {
    return;
  };
  let sharing = Rc::new(Sharing {
    gateway,
    lease: Cell::new(None),
    store,
  });
  spawn_local(serve_claims(sharing.clone(), claims));
  loop {
    sharing.gather().await;
    if sharing.write_marks().await && sharing.remove_marks().await {
      continue;
    }
    let boxes = sharing.gateway.box_count();
    let contact_ms = sharing.gateway.settings.bounds.contact_ms;
    let pause_ms = retry_pause_ms(boxes, contact_ms, sharing.gateway.draw());
    sleep(Duration::from_millis(pause_ms)).await;
  }
}

async fn serve_claims<S: Store>(sharing: Rc<Sharing<S>>, mut claims: mpsc::Receiver<TrialClaim>) {
  while let Some(claim) = claims.recv().await {
    let sharing = sharing.clone();
    spawn_local(async move {
      let is_granted = sharing.claim(claim.key).await;
      // The request may be gone: its trial is lost then.
      let _ = claim.granted.send(is_granted);
    });
  }
}

impl<S: Store> Sharing<S> {
  /// Waits until there is something to write, and for more of it unless it can't wait.
  async fn gather(&self) {
    let quarantine = &self.gateway.quarantine;
    while !quarantine.has_changes() {
      quarantine.changed.notified().await;
    }
    let boxes = self.gateway.box_count() as u64;
    tokio::select! {
      () = sleep(Duration::from_millis(GATHER_MS_PER_BOX * boxes)) => {}
      () = quarantine.pressing.notified() => {}
    }
  }

  /// Writes what waits; whether the store, or another box, has it.
  async fn write_marks(&self) -> bool {
    let keys = {
      let unwritten = self.gateway.quarantine.unwritten.borrow();
      let keys = unwritten.keys().take(MOST_CHANGED_KEYS);
      keys.copied().collect::<Vec<_>>()
    };
    if keys.is_empty() {
      return true;
    }
    let written = match self.write(&keys).await {
      Ok(()) => keys,
      Err(error) => {
        log::info!("E532 marks not written: {} of them: {error}", keys.len());
        self.hand_over(&keys).await
      }
    };
    let mut unwritten = self.gateway.quarantine.unwritten.borrow_mut();
    for key in &written {
      unwritten.remove(key);
    }
    !written.is_empty()
  }

  async fn write(&self, keys: &[QuarantineKey]) -> Result<(), StoreError> {
    let lease = self.lease().await?;
    self.gateway.counters.store_calls.inc();
    let written = self.store.put_quarantine(&texts(keys), lease).await;
    self.forget_lease_that_is_over(&written);
    written
  }

  /// Removes what no longer holds; whether the store has done so.
  async fn remove_marks(&self) -> bool {
    let keys = {
      let unremoved = self.gateway.quarantine.unremoved.borrow();
      let keys = unremoved.iter().take(MOST_CHANGED_KEYS);
      keys.copied().collect::<Vec<_>>()
    };
    if keys.is_empty() {
      return true;
    }
    self.gateway.counters.store_calls.inc();
    if let Err(error) = self.store.remove_quarantine(&texts(&keys)).await {
      log::info!("E532 marks not removed: {} of them: {error}", keys.len());
      return false;
    }
    let mut unremoved = self.gateway.quarantine.unremoved.borrow_mut();
    for key in &keys {
      unremoved.remove(key);
    }
    true
  }

  /// Takes a trial, unless another box has it or the store does not say.
  async fn claim(&self, key: QuarantineKey) -> bool {
    let claimed = match self.lease().await {
      Ok(lease) => {
        self.gateway.counters.store_calls.inc();
        self.store.claim_quarantine(&key.text(), lease).await
      }
      Err(error) => Err(error),
    };
    self.forget_lease_that_is_over(&claimed);
    claimed.unwrap_or_else(|error| {
      log::info!("E532 trial not taken: {error}");
      false
    })
  }

  /// A lease for new marks.
  async fn lease(&self) -> Result<StoreLease, StoreError> {
    let now_ms = self.gateway.now_ms();
    if let Some(held) = self.lease.get()
      && now_ms < held.granted_ms + LEASE_USED_MS
    {
      return Ok(held.lease);
    }
    self.gateway.counters.store_calls.inc();
    let lease = self.store.grant(Duration::from_millis(KEPT_MS)).await?;
    self.lease.set(Some(MarkLease {
      granted_ms: now_ms,
      lease,
    }));
    Ok(lease)
  }

  fn forget_lease_that_is_over<T>(&self, called: &Result<T, StoreError>) {
    if matches!(called, Err(StoreError::LeaseOver)) {
      self.lease.set(None);
    }
  }

  /// Has another box write what this one saw, while the store does not answer it; what was handed over.
  async fn hand_over(&self, keys: &[QuarantineKey]) -> Vec<QuarantineKey> {
    let own: Vec<QuarantineKey> = {
      let unwritten = self.gateway.quarantine.unwritten.borrow();
      let is_own = |key: &&QuarantineKey| unwritten.get(key) == Some(&MarkOrigin::Own);
      keys.iter().filter(is_own).copied().collect()
    };
    if own.is_empty() {
      return own;
    }
    let identity = &self.gateway.settings.identity;
    let helpers = self
      .gateway
      .boxes
      .borrow()
      .helpers_for(&identity.name, &identity.hall);
    for address in helpers.into_iter().take(MOST_TOLD) {
      match tell_marks(&self.gateway.box_calls, address, &own).await {
        Ok(()) => return own,
        Err(error) => log::debug!("marks not told to {address}: {error}"),
      }
    }
    Vec::new()
  }
}

fn texts(keys: &[QuarantineKey]) -> Vec<Name> {
  keys.iter().map(QuarantineKey::text).collect()
}
