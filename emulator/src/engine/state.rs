//! What an engine holds, and what it has done.

use {
  super::faults::EngineFaults,
  rillford::{
    decide::{HeldAttempt, Role},
    endpoint_api::LoadReply,
    ids::AttemptId,
  },
  serde::{Deserialize, Serialize},
  std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
  },
  tokio::{
    sync::{Mutex as FairMutex, Notify},
    time::Instant,
  },
};

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct EngineOptions {
  /// Its first role.
  pub role: Role,
  /// Requests that it can hold.
  pub seats: u32,
  /// Prompt tokens read a second.
  pub prefill_tokens_per_s: u64,
  /// Time that a prefill result is kept.
  pub keep_ms: u64,
  /// Time a token takes to write.
  pub token_ms: u64,
  /// Size of a token in the KV cache.
  pub kv_bytes_per_token: u64,
  /// Rate of its link.
  pub link_bytes_per_s: u64,
  /// Whether it refuses orders with an old fence.
  pub checks_fence: bool,
  /// Whether its tokens carry the time at which they were sent, for measurements.
  pub stamps_tokens: bool,
}

impl Default for EngineOptions {
  fn default() -> Self {
    Self {
      checks_fence: true,
      keep_ms: 800,
      kv_bytes_per_token: 131_072,
      link_bytes_per_s: 12_500_000_000,
      prefill_tokens_per_s: 100_000,
      role: Role::Decode,
      seats: 16,
      stamps_tokens: false,
      token_ms: 5,
    }
  }
}

/// What an engine has done so far.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineTally {
  /// Prefills begun.
  pub prefills: u64,
  /// Prompt tokens read.
  pub read_tokens: u64,
  /// Prefill results that nobody fetched in time.
  pub lapsed_exports: u64,
  /// Answers begun.
  pub decodes: u64,
  /// Answers ended whole.
  pub finished: u64,
  /// Cancels that stopped something.
  pub cancels: u64,
  /// Role orders obeyed, by fence.
  pub role_orders: Vec<u64>,
  /// Role orders refused for their fence.
  pub old_fences: u64,
}

/// What an attempt is at.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
  pub(super) hold_until: Instant,
  pub(super) cancelled: Arc<Notify>,
  pub(super) began: bool,
  pub(super) export: Option<Export>,
  pub(super) imported: Option<Export>,
}

/// A prompt that has been read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Export {
  pub(super) prompt: String,
  pub(super) answered: String,
  pub(super) kv_bytes: u64,
}

pub(super) struct Inner {
  pub(super) incarnation: u64,
  pub(super) role: Role,
  pub(super) attempts: BTreeMap<AttemptId, Attempt>,
  pub(super) tombstones: BTreeSet<AttemptId>,
  pub(super) faults: EngineFaults,
  pub(super) tally: EngineTally,
  pub(super) queue_tokens: u64,
  pub(super) fence: u64,
  pub(super) cached: BTreeSet<u64>,
  pub(super) cache_events: Vec<u64>,
  pub(super) shown: Option<(Instant, LoadReply)>,
}

/// An engine. Clones share its state.
#[derive(Clone)]
pub struct EngineStandIn {
  pub(super) options: EngineOptions,
  pub(super) inner: Arc<Mutex<Inner>>,
  /// One prompt is read at a time.
  pub(super) reading: Arc<FairMutex<()>>,
  /// One KV cache is moved at a time.
  pub(super) link: Arc<FairMutex<()>>,
}

impl EngineStandIn {
  /// An engine that holds nothing.
  pub fn new(options: EngineOptions) -> Self {
    let inner = Inner {
      attempts: BTreeMap::new(),
      cache_events: Vec::new(),
      cached: BTreeSet::new(),
      faults: EngineFaults::default(),
      fence: 0,
      incarnation: 1,
      queue_tokens: 0,
      role: options.role,
      shown: None,
      tally: EngineTally::default(),
      tombstones: BTreeSet::new(),
    };
    Self {
      inner: Arc::new(Mutex::new(inner)),
      link: Arc::default(),
      options,
      reading: Arc::default(),
    }
  }

  pub(super) fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
    self.inner.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Sets the fault switches.
  pub fn set_faults(&self, faults: EngineFaults) {
    self.inner().faults = faults;
  }

  /// What it has done so far.
  pub fn tally(&self) -> EngineTally {
    self.inner().tally.clone()
  }

  /// Its present role.
  pub fn role(&self) -> Role {
    self.inner().role
  }

  /// Attempts that it holds memory for.
  pub fn held(&self) -> Vec<AttemptId> {
    self.inner().attempts.keys().cloned().collect()
  }

  /// Starts anew: all memory is gone, and the incarnation is higher.
  pub fn restart(&self) {
    let mut inner = self.inner();
    inner.incarnation += 1;
    inner.attempts.clear();
    inner.tombstones.clear();
    inner.shown = None;
    inner.queue_tokens = 0;
  }

  pub(super) fn listed(&self) -> Vec<HeldAttempt> {
    let now = Instant::now();
    let left = |until: Instant| {
      let ahead = until.saturating_duration_since(now).as_millis();
      let behind = now.saturating_duration_since(until).as_millis();
      i64::try_from(ahead).unwrap_or(i64::MAX) - i64::try_from(behind).unwrap_or(i64::MAX)
    };
    self
      .inner()
      .attempts
      .iter()
      .map(|(attempt, held)| HeldAttempt {
        attempt: attempt.clone(),
        hold_left_ms: left(held.hold_until),
      })
      .collect()
  }

  pub(super) fn load(&self) -> LoadReply {
    let mut inner = self.inner();
    let now = Instant::now();
    let lag = Duration::from_millis(inner.faults.load_lag_ms);
    if let Some((made, shown)) = &inner.shown
      && now - *made < lag
    {
      let age_ms = u64::try_from((now - *made).as_millis()).unwrap_or(0);
      return LoadReply {
        age_ms,
        ..shown.clone()
      };
    }
    let reply = LoadReply {
      age_ms: 0,
      incarnation: inner.incarnation,
      leaving: inner.faults.leaving,
      queue_tokens: inner.queue_tokens,
      role: Some(inner.role),
      seats: self.options.seats,
      used_seats: u32::try_from(inner.attempts.len()).unwrap_or(u32::MAX),
    };
    inner.shown = Some((now, reply.clone()));
    reply
  }
}
