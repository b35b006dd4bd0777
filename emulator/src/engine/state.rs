//! Options, state and counters of an engine stand-in.

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

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
  /// Role at the start.
  pub role: Role,
  /// Attempts that it can hold at once.
  pub slots: u32,
  /// Prefill rate.
  pub prefill_tokens_per_s: u64,
  /// Retention period of a prefill result that no decode engine imports.
  pub export_ttl_ms: u64,
  /// Decode time of one token.
  pub token_ms: u64,
  /// KV cache size of one token.
  pub kv_bytes_per_token: u64,
  /// Bandwidth for KV cache transfers.
  pub link_bytes_per_s: u64,
  /// Whether role changes with a stale fence are rejected.
  pub checks_fence: bool,
  /// Whether each token carries the time at which it was sent, for latency measurements.
  pub stamps_tokens: bool,
}

impl Default for EngineOptions {
  fn default() -> Self {
    Self {
      checks_fence: true,
      export_ttl_ms: 800,
      kv_bytes_per_token: 131_072,
      link_bytes_per_s: 12_500_000_000,
      prefill_tokens_per_s: 100_000,
      role: Role::Decode,
      slots: 16,
      stamps_tokens: false,
      token_ms: 5,
    }
  }
}

/// Counters of an engine. The JSON names are those of `GET /tally`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineTally {
  /// Prefills started.
  pub prefills: u64,
  /// Prompt tokens prefilled, without cached ones.
  #[serde(rename = "read_tokens")]
  pub prefilled_tokens: u64,
  /// Prefill results that expired before an import.
  #[serde(rename = "lapsed_exports")]
  pub expired_exports: u64,
  /// Decodes started.
  pub decodes: u64,
  /// Decodes that streamed all their tokens.
  pub finished: u64,
  /// Cancels of an attempt that was held.
  pub cancels: u64,
  /// Fences of the role changes that were applied.
  pub role_orders: Vec<u64>,
  /// Role changes rejected because of a stale fence.
  #[serde(rename = "old_fences")]
  pub stale_fences: u64,
}

/// State of an attempt that holds a slot.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
  pub(super) hold_until: Instant,
  pub(super) cancelled: Arc<Notify>,
  pub(super) began: bool,
  pub(super) export: Option<Export>,
  pub(super) imported: Option<Export>,
}

/// The result of a prefill, as another engine imports it.
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
  pub(super) last_report: Option<(Instant, LoadReply)>,
}

/// An engine. Clones share its state.
#[derive(Clone)]
pub struct EngineStandIn {
  pub(super) options: EngineOptions,
  pub(super) inner: Arc<Mutex<Inner>>,
  /// Serialises prefills: one prompt at a time.
  pub(super) prefill_lock: Arc<FairMutex<()>>,
  /// Serialises KV cache transfers over the link.
  pub(super) link_lock: Arc<FairMutex<()>>,
}

impl EngineStandIn {
  /// Creates an idle engine.
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
      last_report: None,
      tally: EngineTally::default(),
      tombstones: BTreeSet::new(),
    };
    Self {
      inner: Arc::new(Mutex::new(inner)),
      link_lock: Arc::default(),
      options,
      prefill_lock: Arc::default(),
    }
  }

  pub(super) fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
    self.inner.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Replaces the injected faults.
  pub fn set_faults(&self, faults: EngineFaults) {
    self.inner().faults = faults;
  }

  /// Whether streams stall before this token.
  pub(super) fn stalls_decode(&self, index: u64) -> bool {
    let stall_after = self.inner().faults.stall_decode_after;
    stall_after.is_some_and(|after| index >= after)
  }

  pub fn tally(&self) -> EngineTally {
    self.inner().tally.clone()
  }

  /// The current role.
  pub fn role(&self) -> Role {
    self.inner().role
  }

  /// Attempts that occupy a slot.
  pub fn held(&self) -> Vec<AttemptId> {
    self.inner().attempts.keys().cloned().collect()
  }

  /// Simulates a restart: all attempts are lost and the incarnation increases.
  pub fn restart(&self) {
    let mut inner = self.inner();
    inner.incarnation += 1;
    inner.attempts.clear();
    inner.tombstones.clear();
    inner.last_report = None;
    inner.queue_tokens = 0;
  }

  pub(super) fn held_attempts(&self) -> Vec<HeldAttempt> {
    let now = Instant::now();
    let remaining_ms = |until: Instant| {
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
        hold_left_ms: remaining_ms(held.hold_until),
      })
      .collect()
  }

  pub(super) fn load(&self) -> LoadReply {
    let mut inner = self.inner();
    let now = Instant::now();
    let lag = Duration::from_millis(inner.faults.load_lag_ms);
    if let Some((created, report)) = &inner.last_report
      && now - *created < lag
    {
      let age_ms = u64::try_from((now - *created).as_millis()).unwrap_or(0);
      return LoadReply {
        age_ms,
        ..report.clone()
      };
    }
    let reply = LoadReply {
      age_ms: 0,
      incarnation: inner.incarnation,
      leaving: inner.faults.leaving,
      queue_tokens: inner.queue_tokens,
      role: Some(inner.role),
      seats: self.options.slots,
      used_seats: u32::try_from(inner.attempts.len()).unwrap_or(u32::MAX),
    };
    inner.last_report = Some((now, reply.clone()));
    reply
  }
}
