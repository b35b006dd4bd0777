//! Writes quarantine marks to the store, from which each box reads them by its watch, and a starting box by its listing. Marks are
//! not tied to a lease: leases expire while the store is down, which would release quarantined requests.

use {
  super::messages::{SuspectsMessage, send_marks, send_suspects},
  crate::{
    CallError,
    gateway::{
      decisions::{
        EndpointIncarnation, QuarantineKey, SuspectChange, SuspectRecord, SuspectRecordKey,
        store_retry_delay_ms,
      },
      edge::{MAX_CHANGED_KEYS, Store, StoreError},
      state::{Gateway, MarkOrigin, ProbeClaim, ProbeGrant},
    },
    ids::Name,
    observe::unix_ms,
  },
  bytes::Bytes,
  std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
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
  /// The number of records of suspected segments that this box has tried to create.
  records: Cell<u64>,
}

/// What one call writes.
struct Batch {
  marks: Vec<QuarantineKey>,
  suspects: Option<(EndpointIncarnation, SuspectRecord)>,
}

/// Writes marks and claims probes until the process exits.
pub(crate) async fn sync_quarantine<S: Store>(gateway: Rc<Gateway>, store: S) {
  let Some(claims) = gateway.quarantine.take_claim_receiver() else {
    return;
  };
  let sync = Rc::new(QuarantineSync {
    gateway,
    records: Cell::new(0),
    store,
  });
  spawn_local(serve_claims(sync.clone(), claims));
  spawn_local(expire_marks(sync.gateway.clone()));
  loop {
    sync.wait_for_changes().await;
    if sync.write_marks().await && sync.update_records().await && sync.remove_marks().await {
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
      let grant = sync.claim(&claim.keys).await;
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
    let quarantine = &gateway.quarantine;
    let mut expired = quarantine.registry.borrow_mut().expire(now_ms);
    expired.retain(|mark| !quarantine.is_in_record(*mark));
    let records = quarantine.suspects.borrow_mut().expire(unix_ms());
    let is_first = {
      let boxes = gateway.boxes.borrow();
      boxes.names().first() == Some(&gateway.settings.identity.name)
    };
    if is_first && !expired.is_empty() {
      quarantine.remove(&expired);
    }
    if is_first && !records.is_empty() {
      quarantine.remove_records(&records);
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

  /// Writes queued marks and suspected segments; returns whether the store or another box has taken some.
  async fn write_marks(&self) -> bool {
    let quarantine = &self.gateway.quarantine;
    let batch = self.next_batch();
    if batch.marks.is_empty() && batch.suspects.is_none() {
      return true;
    }
    let written = match self.write(&batch).await {
      Ok(()) => batch,
      Err(error) => {
        let suspects = batch.suspects.as_ref();
        log::info!(
          "E532 marks not written: {} of them, and {} suspected segments: {error}",
          batch.marks.len(),
          suspects.map_or(0, |(_, record)| record.segments.len())
        );
        self.delegate(&batch).await
      }
    };
    let mut unwritten = quarantine.unwritten.borrow_mut();
    for mark in &written.marks {
      unwritten.remove(mark);
    }
    if let Some((incarnation, record)) = &written.suspects {
      let mut unwritten = quarantine.unwritten_suspects.borrow_mut();
      unwritten.remove(*incarnation, &record.segments);
    }
    !written.marks.is_empty() || written.suspects.is_some()
  }

  fn next_batch(&self) -> Batch {
    let quarantine = &self.gateway.quarantine;
    // One key is left for a record.
    let unwritten = quarantine.unwritten.borrow();
    let marks = unwritten.keys().take(MAX_CHANGED_KEYS - 1);
    Batch {
      marks: marks.copied().collect(),
      suspects: quarantine.unwritten_suspects.borrow().next(),
    }
  }

  /// Writes a batch in one call.
  async fn write(&self, batch: &Batch) -> Result<(), StoreError> {
    let value = mark_value();
    let marks = batch.marks.iter().map(|mark| (mark.text(), value.clone()));
    let mut records: Vec<(Name, Bytes)> = marks.collect();
    let suspects = batch.suspects.as_ref();
    let suspects = suspects.map(|(incarnation, record)| (self.new_key(*incarnation), record));
    if let Some((key, record)) = &suspects {
      records.push((key.text(), record_value(record)?));
    }
    self.gateway.counters.store_calls.inc();
    let revision = self.store.put_quarantine(&records).await?;
    if let Some((key, record)) = suspects {
      let mut suspects = self.gateway.quarantine.suspects.borrow_mut();
      suspects.put(key, record.clone(), revision);
    }
    Ok(())
  }

  /// The key of a new record. A write without a response may have been carried out, so that each attempt has a key of its own.
  fn new_key(&self, incarnation: EndpointIncarnation) -> SuspectRecordKey {
    let number = self.records.get();
    self.records.set(number + 1);
    let name = &self.gateway.settings.identity.name;
    SuspectRecordKey {
      incarnation,
      name: format!("{name}-{:x}-{number:x}", self.gateway.incarnation).into(),
    }
  }

  /// Writes the records anew from which segments were removed, or that would expire; returns whether the store has answered.
  async fn update_records(&self) -> bool {
    let quarantine = &self.gateway.quarantine;
    loop {
      let change = quarantine.suspects.borrow_mut().take_change();
      let Some((key, change)) = change else {
        return true;
      };
      match change {
        SuspectChange::Remove => quarantine.remove_records(&[key]),
        SuspectChange::Write { record, revision } => {
          if let Err(error) = self.update_record(&key, &record, revision).await {
            log::info!(
              "E532 record {} of suspected segments not written: {error}",
              key.text()
            );
            quarantine.suspects.borrow_mut().restore_change(key);
            return false;
          }
        }
      }
    }
  }

  /// Writes a record anew, unless another box has: then its write is received, and segments that still have to be removed are found
  /// with the next request that has them.
  async fn update_record(
    &self,
    key: &SuspectRecordKey,
    record: &SuspectRecord,
    revision: u64,
  ) -> Result<(), StoreError> {
    let value = record_value(record)?;
    self.gateway.counters.store_calls.inc();
    let key = key.text();
    let updated = self.store.update_quarantine(&key, value, revision);
    updated.await.map(drop)
  }

  /// Removes obsolete marks from the store; returns whether that succeeded.
  async fn remove_marks(&self) -> bool {
    let keys = {
      let unremoved = self.gateway.quarantine.unremoved.borrow();
      let keys = unremoved.iter().take(MAX_CHANGED_KEYS);
      keys.cloned().collect::<Vec<_>>()
    };
    if keys.is_empty() {
      return true;
    }
    self.gateway.counters.store_calls.inc();
    if let Err(error) = self.store.remove_quarantine(&keys).await {
      log::info!("E532 marks not removed: {} of them: {error}", keys.len());
      return false;
    }
    let mut unremoved = self.gateway.quarantine.unremoved.borrow_mut();
    for key in &keys {
      unremoved.remove(key);
    }
    true
  }

  /// Claims probes: all or none. With more of them than one call may create, none is left claimed unless all are.
  async fn claim(&self, keys: &[QuarantineKey]) -> ProbeGrant {
    for (index, claimed) in keys.chunks(MAX_CHANGED_KEYS).enumerate() {
      self.gateway.counters.store_calls.inc();
      let texts: Vec<Name> = claimed.iter().map(QuarantineKey::text).collect();
      let grant = match self.store.claim_quarantine(&texts, mark_value()).await {
        Ok(true) => continue,
        Ok(false) => ProbeGrant::Taken,
        Err(error) => {
          log::info!("E532 probes not claimed: {} of them: {error}", texts.len());
          ProbeGrant::Unknown
        }
      };
      self
        .gateway
        .quarantine
        .remove(&keys[..index * MAX_CHANGED_KEYS]);
      return grant;
    }
    ProbeGrant::Granted
  }

  /// Has another box write this box's own marks and suspected segments while the store does not answer; returns those that were
  /// taken.
  async fn delegate(&self, batch: &Batch) -> Batch {
    let own = {
      let unwritten = self.gateway.quarantine.unwritten.borrow();
      let is_own = |mark: &&QuarantineKey| unwritten.get(mark) == Some(&MarkOrigin::Local);
      Batch {
        marks: batch.marks.iter().filter(is_own).copied().collect(),
        suspects: batch.suspects.clone(),
      }
    };
    let identity = &self.gateway.settings.identity;
    let helpers = self
      .gateway
      .boxes
      .borrow()
      .fallback_readers_for(&identity.name, &identity.hall);
    for address in helpers.into_iter().take(MAX_DELEGATES) {
      match self.send(address, &own).await {
        Ok(()) => return own,
        Err(error) => log::debug!("marks not sent to {address}: {error}"),
      }
    }
    Batch {
      marks: Vec::new(),
      suspects: None,
    }
  }

  async fn send(&self, address: SocketAddr, batch: &Batch) -> Result<(), CallError> {
    let client = &self.gateway.box_client;
    if !batch.marks.is_empty() {
      send_marks(client, address, &batch.marks).await?;
    }
    if let Some((incarnation, record)) = &batch.suspects {
      let message = SuspectsMessage {
        incarnation: *incarnation,
        segments: record.segments.iter().copied().collect(),
      };
      send_suspects(client, address, &message).await?;
    }
    Ok(())
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

fn record_value(record: &SuspectRecord) -> Result<Bytes, StoreError> {
  let value = postcard::to_stdvec(record).map_err(|error| StoreError::Call(error.to_string()))?;
  Ok(value.into())
}
