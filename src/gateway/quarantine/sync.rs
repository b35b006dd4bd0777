//! Writes quarantine marks to the store, from which each box reads them by its watch, and a starting box by its listing. Marks are
//! not tied to a lease: leases expire while the store is down, which would release quarantined requests.

use {
  super::messages::send_marks,
  crate::{
    gateway::{
      decisions::{QuarantineKey, store_retry_delay_ms},
      edge::{MAX_CHANGED_KEYS, Store, StoreError},
      state::{Gateway, MarkOrigin, ProbeClaim, ProbeGrant},
    },
    ids::Name,
    observe::unix_ms,
  },
  bytes::Bytes,
  std::{rc::Rc, time::Duration},
  tokio::{sync::mpsc, task::spawn_local, time::sleep},
};

/// Batching delay of marks that are not urgent, per box: when an engine crashes, all boxes with streams there write at once, and
/// the store takes 400 writes per second.
const BATCH_MS_PER_BOX: u64 = 4;
/// Interval between removals of expired marks.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Boxes tried one after the other to write marks when the store does not answer this one.
const MAX_DELEGATES: usize = 3;

struct QuarantineSync<S> {
  gateway: Rc<Gateway>,
  store: S,
}

/// Writes marks and claims probes until the process exits.
pub(crate) async fn sync_quarantine<S: Store>(gateway: Rc<Gateway>, store: S) {
  let Some(claims) = gateway.quarantine.take_claim_receiver() else {
    return;
  };
  let sync = Rc::new(QuarantineSync { gateway, store });
  spawn_local(serve_claims(sync.clone(), claims));
  spawn_local(expire_marks(sync.gateway.clone()));
  loop {
    sync.wait_for_changes().await;
    if sync.write_marks().await && sync.remove_marks().await {
      continue;
    }
    let boxes = sync.gateway.box_count();
    let contact_ms = sync.gateway.settings.bounds.contact_ms;
    let pause_ms = store_retry_delay_ms(boxes, contact_ms, sync.gateway.draw());
    sleep(Duration::from_millis(pause_ms)).await;
  }
}

async fn serve_claims<S: Store>(
  sync: Rc<QuarantineSync<S>>,
  mut claims: mpsc::Receiver<ProbeClaim>,
) {
  while let Some(claim) = claims.recv().await {
    let sync = sync.clone();
    spawn_local(async move {
      let grant = sync.claim(claim.key).await;
      // When the request was dropped, its probe is lost.
      let _ = claim.grant.send(grant);
    });
  }
}

/// Removes expired marks. Only one box, the first by name, removes them from the store too.
async fn expire_marks(gateway: Rc<Gateway>) {
  loop {
    sleep(EXPIRY_INTERVAL).await;
    let now_ms = gateway.now_ms();
    let expired = gateway.quarantine.registry.borrow_mut().expire(now_ms);
    let is_first = {
      let boxes = gateway.boxes.borrow();
      boxes.names().first() == Some(&gateway.settings.identity.name)
    };
    if is_first && !expired.is_empty() {
      gateway.quarantine.remove(&expired);
    }
  }
}

impl<S: Store> QuarantineSync<S> {
  /// Waits until there is something to write, and then for a batch unless a change is urgent.
  async fn wait_for_changes(&self) {
    let quarantine = &self.gateway.quarantine;
    while !quarantine.has_changes() {
      quarantine.changed.notified().await;
    }
    let boxes = self.gateway.box_count() as u64;
    tokio::select! {
      () = sleep(Duration::from_millis(BATCH_MS_PER_BOX * boxes)) => {}
      () = quarantine.urgent.notified() => {}
    }
  }

  /// Writes queued marks; returns whether the store or another box has taken them.
  async fn write_marks(&self) -> bool {
    let keys = {
      let unwritten = self.gateway.quarantine.unwritten.borrow();
      let keys = unwritten.keys().take(MAX_CHANGED_KEYS);
      keys.copied().collect::<Vec<_>>()
    };
    if keys.is_empty() {
      return true;
    }
    let written = match self.write(&keys).await {
      Ok(()) => keys,
      Err(error) => {
        log::info!("E532 marks not written: {} of them: {error}", keys.len());
        self.delegate(&keys).await
      }
    };
    let mut unwritten = self.gateway.quarantine.unwritten.borrow_mut();
    for key in &written {
      unwritten.remove(key);
    }
    !written.is_empty()
  }

  async fn write(&self, keys: &[QuarantineKey]) -> Result<(), StoreError> {
    self.gateway.counters.store_calls.inc();
    let value = mark_value();
    self.store.put_quarantine(&texts(keys), value).await
  }

  /// Removes obsolete marks from the store; returns whether that succeeded.
  async fn remove_marks(&self) -> bool {
    let keys = {
      let unremoved = self.gateway.quarantine.unremoved.borrow();
      let keys = unremoved.iter().take(MAX_CHANGED_KEYS);
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

  /// Claims a probe.
  async fn claim(&self, key: QuarantineKey) -> ProbeGrant {
    self.gateway.counters.store_calls.inc();
    match self.store.claim_quarantine(&key.text(), mark_value()).await {
      Ok(true) => ProbeGrant::Granted,
      Ok(false) => ProbeGrant::Taken,
      Err(error) => {
        log::info!("E532 probe not claimed: {error}");
        ProbeGrant::Unknown
      }
    }
  }

  /// Has another box write this box's own marks while the store does not answer; returns the marks that were taken.
  async fn delegate(&self, keys: &[QuarantineKey]) -> Vec<QuarantineKey> {
    let own: Vec<QuarantineKey> = {
      let unwritten = self.gateway.quarantine.unwritten.borrow();
      let is_own = |key: &&QuarantineKey| unwritten.get(key) == Some(&MarkOrigin::Local);
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
      .fallback_readers_for(&identity.name, &identity.hall);
    for address in helpers.into_iter().take(MAX_DELEGATES) {
      match send_marks(&self.gateway.box_client, address, &own).await {
        Ok(()) => return own,
        Err(error) => log::debug!("marks not sent to {address}: {error}"),
      }
    }
    Vec::new()
  }
}

/// The value of a mark: the time at which it was written, from which every box computes its expiry.
fn mark_value() -> Bytes {
  unix_ms().to_string().into()
}

/// The age of a mark; `None` when the value is not a timestamp. The clocks of two boxes may differ by seconds.
pub(crate) fn mark_age_ms(value: &[u8]) -> Option<u64> {
  let written_ms: u64 = std::str::from_utf8(value).ok()?.parse().ok()?;
  Some(unix_ms().saturating_sub(written_ms))
}

fn texts(keys: &[QuarantineKey]) -> Vec<Name> {
  keys.iter().map(QuarantineKey::text).collect()
}
