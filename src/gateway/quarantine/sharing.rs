//! Keeps in the store what boxes know of requests that end endpoints: each box hears of it by its watch, one that has just started by
//! its listing, and it outlasts all of them, and their leases too: those run out while the store is away, and a request that was held
//! would be free again.

use {
  super::messages::tell_marks,
  crate::{
    gateway::{
      decisions::{QuarantineKey, store_retry_delay_ms},
      edge::{MAX_CHANGED_KEYS, Store, StoreError},
      state::{Gateway, MarkOrigin, TrialClaim},
    },
    ids::Name,
    observe::unix_ms,
  },
  bytes::Bytes,
  std::{rc::Rc, time::Duration},
  tokio::{sync::mpsc, task::spawn_local, time::sleep},
};

/// Time for each box over which the first ends of requests are gathered: when an engine ends, all boxes that had streams there
/// write at once, and the store takes 400 changes a second.
const GATHER_MS_PER_BOX: u64 = 4;
/// Pause between looks for what is old.
const FORGET_PAUSE: Duration = Duration::from_secs(10);
/// Other boxes that are asked to write when the store does not answer this one.
const MOST_TOLD: usize = 3;

struct Sharing<S> {
  gateway: Rc<Gateway>,
  store: S,
}

/// Writes marks and takes trials until the process ends.
pub(crate) async fn keep_quarantine<S: Store>(gateway: Rc<Gateway>, store: S) {
  let Some(claims) = gateway.quarantine.take_claims() else {
    return;
  };
  let sharing = Rc::new(Sharing { gateway, store });
  spawn_local(serve_claims(sharing.clone(), claims));
  spawn_local(forget_old(sharing.gateway.clone()));
  loop {
    sharing.gather().await;
    if sharing.write_marks().await && sharing.remove_marks().await {
      continue;
    }
    let boxes = sharing.gateway.box_count();
    let contact_ms = sharing.gateway.settings.bounds.contact_ms;
    let pause_ms = store_retry_delay_ms(boxes, contact_ms, sharing.gateway.draw());
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

/// Forgets what is old. One box alone has it removed from the store: the first by name.
async fn forget_old(gateway: Rc<Gateway>) {
  loop {
    sleep(FORGET_PAUSE).await;
    let now_ms = gateway.now_ms();
    let old = gateway.quarantine.book.borrow_mut().expire(now_ms);
    let is_first = {
      let boxes = gateway.boxes.borrow();
      boxes.names().first() == Some(&gateway.settings.identity.name)
    };
    if is_first && !old.is_empty() {
      gateway.quarantine.remove(&old);
    }
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
    self.gateway.counters.store_calls.inc();
    let value = mark_value();
    self.store.put_quarantine(&texts(keys), value).await
  }

  /// Removes what no longer holds; whether the store has done so.
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

  /// Takes a trial, unless another box has it or the store does not say.
  async fn claim(&self, key: QuarantineKey) -> bool {
    self.gateway.counters.store_calls.inc();
    let claimed = self.store.claim_quarantine(&key.text(), mark_value()).await;
    claimed.unwrap_or_else(|error| {
      log::info!("E532 trial not taken: {error}");
      false
    })
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
      .fallback_readers_for(&identity.name, &identity.hall);
    for address in helpers.into_iter().take(MOST_TOLD) {
      match tell_marks(&self.gateway.box_calls, address, &own).await {
        Ok(()) => return own,
        Err(error) => log::debug!("marks not told to {address}: {error}"),
      }
    }
    Vec::new()
  }
}

/// What a mark holds: when it was written. Boxes forget it by that, also one that has just started.
fn mark_value() -> Bytes {
  unix_ms().to_string().into()
}

/// For how long a mark has stood; nothing for one that this router did not write. Clocks of two boxes may differ by seconds.
pub(crate) fn mark_age_ms(value: &[u8]) -> Option<u64> {
  let written_ms: u64 = std::str::from_utf8(value).ok()?.parse().ok()?;
  Some(unix_ms().saturating_sub(written_ms))
}

fn texts(keys: &[QuarantineKey]) -> Vec<Name> {
  keys.iter().map(QuarantineKey::text).collect()
}
