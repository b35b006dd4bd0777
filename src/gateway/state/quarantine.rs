//! A box's quarantine state: the known marks, and the changes still to be written to the store.

use {
  super::log_throttle::LogThrottle,
  crate::{
    gateway::decisions::{
      EndpointIncarnation, Fingerprint, QuarantineKey, QuarantineMark, QuarantineRegistry,
      SoundSegments, SuspectQueue, SuspectRecord, SuspectRecordKey, SuspectRecords,
    },
    ids::Name,
    observe::unix_ms,
  },
  std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
  },
  tokio::sync::{Notify, mpsc, oneshot},
};

/// Probe claims that may wait for the store; further ones are rejected.
const MAX_CLAIMS: usize = 64;
/// Marks that may wait for the store, those of some four hundred quarantined requests; further ones are not shared.
const MAX_UNWRITTEN: usize = 1_024;

/// The box that recorded a mark.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MarkOrigin {
  /// This box.
  Local,
  /// Another box, which can't reach the store.
  Peer,
}

/// The result of claiming a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeGrant {
  /// This box holds it.
  Granted,
  /// Another box does.
  Taken,
  /// The store did not answer.
  Unknown,
}

/// A pending claim of the probes of a request and its segments.
pub(crate) struct ProbeClaim {
  pub(crate) keys: Vec<QuarantineKey>,
  pub(crate) grant: oneshot::Sender<ProbeGrant>,
}

/// The quarantine registry, and the queues of changes for the store.
pub(crate) struct Quarantine {
  pub(crate) registry: RefCell<QuarantineRegistry>,
  /// The prompt segments on which endpoints answered this box.
  pub(crate) sound: RefCell<SoundSegments>,
  /// The prompt segments that boxes suspect of crashes, as they are in the store.
  pub(crate) suspects: RefCell<SuspectRecords>,
  /// Those that are not yet in the store.
  pub(crate) unwritten_suspects: RefCell<SuspectQueue>,
  /// Marks that are not yet in the store.
  pub(crate) unwritten: RefCell<BTreeMap<QuarantineKey, MarkOrigin>>,
  /// The keys of obsolete marks and records that may still be in the store.
  pub(crate) unremoved: RefCell<BTreeSet<Name>>,
  /// Notified when there is something to write.
  pub(crate) changed: Notify,
  /// Notified when a change must be written without batching.
  pub(crate) urgent: Notify,
  /// Until then no probes are claimed, since the store did not answer.
  pub(crate) claims_paused_until_ms: Cell<u64>,
  lack_of_room: LogThrottle,
  /// The number of forgotten entries that was logged last.
  logged_forgotten: Cell<u64>,
  claims: mpsc::Sender<ProbeClaim>,
  claim_receiver: RefCell<Option<mpsc::Receiver<ProbeClaim>>>,
}

impl Default for Quarantine {
  fn default() -> Self {
    let (claims, claim_receiver) = mpsc::channel(MAX_CLAIMS);
    Self {
      changed: Notify::new(),
      claim_receiver: RefCell::new(Some(claim_receiver)),
      claims,
      claims_paused_until_ms: Cell::new(0),
      lack_of_room: LogThrottle::default(),
      logged_forgotten: Cell::new(0),
      registry: RefCell::default(),
      sound: RefCell::default(),
      suspects: RefCell::default(),
      unremoved: RefCell::default(),
      unwritten: RefCell::default(),
      unwritten_suspects: RefCell::default(),
      urgent: Notify::new(),
    }
  }
}

impl Quarantine {
  /// The receiver of claims, for the task that serves them; `None` once taken.
  pub(crate) fn take_claim_receiver(&self) -> Option<mpsc::Receiver<ProbeClaim>> {
    self.claim_receiver.take()
  }

  /// Claims probes: all or none.
  pub(crate) async fn claim(&self, keys: Vec<QuarantineKey>) -> ProbeGrant {
    let (grant, granted) = oneshot::channel();
    if self.claims.try_send(ProbeClaim { grant, keys }).is_err() {
      return ProbeGrant::Unknown;
    }
    granted.await.unwrap_or(ProbeGrant::Unknown)
  }

  /// Queues marks for the store; urgent ones are written without batching.
  pub(crate) fn write(&self, keys: &[QuarantineKey], origin: MarkOrigin, is_urgent: bool) {
    let mut unwritten = self.unwritten.borrow_mut();
    for key in keys {
      if unwritten.len() >= MAX_UNWRITTEN {
        log::warn!(
          "E533 quarantine mark not shared: {} marks are queued",
          unwritten.len()
        );
        break;
      }
      unwritten.insert(*key, origin);
    }
    drop(unwritten);
    self.changed.notify_one();
    if is_urgent {
      self.urgent.notify_one();
    }
  }

  /// Queues segments that are suspected of a crash for the store.
  pub(crate) fn write_suspects(&self, incarnation: EndpointIncarnation, segments: &[Fingerprint]) {
    let unshared = {
      let mut queue = self.unwritten_suspects.borrow_mut();
      queue.put(incarnation, segments, unix_ms())
    };
    if unshared > 0 {
      log::warn!(
        "E533 suspected segments not shared: {unshared} of {}",
        segments.len()
      );
    }
    self.changed.notify_one();
    self.urgent.notify_one();
  }

  /// Applies a record of suspected segments, as the store holds it since a revision. `since_ms` is when it was written, on the
  /// box's clock.
  pub(crate) fn apply_suspects(
    &self,
    key: SuspectRecordKey,
    record: SuspectRecord,
    revision: u64,
    since_ms: u64,
  ) {
    let mark = QuarantineMark::Crashed(key.incarnation);
    let segments: Vec<Fingerprint> = record.segments.iter().copied().collect();
    let released = self.suspects.borrow_mut().put(key, record, revision);
    let mut registry = self.registry.borrow_mut();
    for fingerprint in segments {
      registry.record(QuarantineKey { fingerprint, mark }, since_ms);
    }
    for released in released {
      registry.remove(released);
    }
  }

  /// Forgets a record that the store no longer holds.
  pub(crate) fn remove_suspects(&self, key: &SuspectRecordKey) {
    let released = self.suspects.borrow_mut().remove(key);
    let mut registry = self.registry.borrow_mut();
    for released in released {
      registry.remove(released);
    }
  }

  /// Whether a mark is shared by a record, and not under a key of its own.
  pub(crate) fn is_in_record(&self, mark: QuarantineKey) -> bool {
    self.suspects.borrow().contains(mark) || self.unwritten_suspects.borrow().contains(mark)
  }

  /// Clears requests or segments on which endpoints answered.
  pub(crate) fn clear(&self, fingerprints: &BTreeSet<Fingerprint>) {
    let marks: Vec<QuarantineKey> = {
      let mut registry = self.registry.borrow_mut();
      let cleared = fingerprints.iter();
      cleared
        .flat_map(|cleared| registry.clear(*cleared))
        .collect()
    };
    self.remove_marks(marks);
    self.unwritten_suspects.borrow_mut().clear(fingerprints);
    self.suspects.borrow_mut().clear(fingerprints);
    self.changed.notify_one();
    self.urgent.notify_one();
  }

  /// Queues the marks that have keys of their own for removal from the store.
  pub(crate) fn remove_marks(&self, mut marks: Vec<QuarantineKey>) {
    marks.retain(|mark| !self.is_in_record(*mark));
    if !marks.is_empty() {
      self.remove(&marks);
    }
  }

  /// Logs, at most once a second, that marks were forgotten for lack of room since the last line.
  pub(crate) fn log_lack_of_room(&self, now_ms: u64) {
    let forgotten = self.forgotten();
    if forgotten > self.logged_forgotten.get() && self.lack_of_room.should_log(now_ms) {
      self.logged_forgotten.set(forgotten);
      log::warn!(
        "E623 quarantine lacks room: {} requests and segments, {} crashes and {} sound segments forgotten so far",
        self.registry.borrow().evicted(),
        self.suspects.borrow().dropped(),
        self.sound.borrow().forgotten()
      );
    }
  }

  /// The number of entries that were forgotten for lack of room.
  fn forgotten(&self) -> u64 {
    self.registry.borrow().evicted()
      + self.suspects.borrow().dropped()
      + self.sound.borrow().forgotten()
  }

  /// Queues marks for removal from the store.
  pub(crate) fn remove(&self, keys: &[QuarantineKey]) {
    for key in keys {
      self.unwritten.borrow_mut().remove(key);
    }
    self.remove_keys(keys.iter().map(QuarantineKey::text));
  }

  /// Queues records of suspected segments for removal from the store.
  pub(crate) fn remove_records(&self, keys: &[SuspectRecordKey]) {
    self.remove_keys(keys.iter().map(SuspectRecordKey::text));
  }

  fn remove_keys(&self, keys: impl Iterator<Item = Name>) {
    self.unremoved.borrow_mut().extend(keys);
    self.changed.notify_one();
    self.urgent.notify_one();
  }

  /// The numbers of known and of quarantined fingerprints, as text.
  pub(crate) fn metrics(&self) -> String {
    let registry = self.registry.borrow();
    format!(
      "rillford_quarantine_known {}\nrillford_quarantine_held {}\nrillford_quarantine_sound {}\nrillford_quarantine_records {}\nrillford_quarantine_forgotten_total {}\n",
      registry.len(),
      registry.quarantined(),
      self.sound.borrow().len(),
      self.suspects.borrow().len(),
      self.forgotten()
    )
  }

  /// The number of changes that are still to be written to the store.
  pub(crate) fn changes(&self) -> usize {
    self.unwritten.borrow().len()
      + self.unremoved.borrow().len()
      + self.unwritten_suspects.borrow().len()
      + self.suspects.borrow().changes()
  }

  /// Whether there is something to write to the store.
  pub(crate) fn has_changes(&self) -> bool {
    self.changes() > 0
  }
}
