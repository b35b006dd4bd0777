//! A simulated engine: it prefills prompts one by one, keeps exports for a limited time, and decodes more slowly the more
//! requests it decodes at once.

use {
  rillford::{
    decide::{BLOCK_TOKENS, EndpointSpec, LoadReport, Role},
    ids::AttemptId,
  },
  std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Time until the export of a prefill expires.
pub(super) const EXPORT_KEEP_US: u64 = 800_000;

const MAX_CACHED_BLOCKS: usize = 1_500;

/// A prompt that waits for its prefill.
#[derive(Clone, Debug)]
pub(super) struct PrefillJob {
  pub(super) attempt: AttemptId,
  pub(super) request: usize,
  pub(super) prompt_tokens: u64,
  pub(super) prefix: Vec<u64>,
}

#[derive(Clone, Debug)]
pub(super) struct ActivePrefill {
  pub(super) job: PrefillJob,
  pub(super) cached_tokens: u64,
  pub(super) started_us: u64,
  pub(super) ends_us: u64,
}

#[derive(Clone, Debug)]
pub(super) struct ActiveDecode {
  pub(super) attempt: AttemptId,
  pub(super) request: usize,
  pub(super) started_us: u64,
  pub(super) first_us: Option<u64>,
  /// Tokens that have been generated, with the fraction of the next one.
  pub(super) generated: f64,
  /// Tokens of the whole response.
  pub(super) tokens: f64,
}

pub(super) struct SimEngine {
  pub(super) spec: EndpointSpec,
  pub(super) role: Role,
  /// Role to which the engine changes once it is empty.
  pub(super) target_role: Option<Role>,
  pub(super) incarnation: u64,
  pub(super) is_stalled: bool,
  pub(super) is_dead: bool,
  pub(super) waiting: VecDeque<PrefillJob>,
  pub(super) prefill: Option<ActivePrefill>,
  /// Finished prefills with the time at which they expire.
  pub(super) exports: BTreeMap<AttemptId, u64>,
  pub(super) importing: BTreeSet<AttemptId>,
  pub(super) imported: BTreeSet<AttemptId>,
  pub(super) decodes: Vec<ActiveDecode>,
  /// Cancelled attempts, whose later commands are ignored.
  pub(super) tombstones: BTreeSet<AttemptId>,
  /// Time at which the link has finished the transfers that it was given.
  pub(super) link_free_us: u64,
  /// Counts changes of the decodes: a progress event of an earlier version is ignored.
  pub(super) version: u64,
  pub(super) cache: BTreeSet<u64>,
  pub(super) cache_order: VecDeque<u64>,
  /// Cached blocks that have not been published.
  pub(super) unpublished_blocks: Vec<u64>,
  pub(super) reports: VecDeque<(u64, LoadReport)>,
  /// Time up to which the decodes have advanced.
  last_us: u64,
  /// Time per token at an idle engine.
  base_us: u64,
  /// Additional time per token for each decode.
  slope_us: u64,
}

impl SimEngine {
  pub(super) fn new(spec: EndpointSpec, role: Role, base_us: u64, slope_us: u64) -> Self {
    Self {
      base_us,
      cache: BTreeSet::new(),
      cache_order: VecDeque::new(),
      is_dead: false,
      exports: BTreeMap::new(),
      unpublished_blocks: Vec::new(),
      imported: BTreeSet::new(),
      importing: BTreeSet::new(),
      incarnation: 1,
      last_us: 0,
      link_free_us: 0,
      prefill: None,
      reports: VecDeque::new(),
      role,
      slope_us,
      spec,
      is_stalled: false,
      tombstones: BTreeSet::new(),
      version: 0,
      waiting: VecDeque::new(),
      target_role: None,
      decodes: Vec::new(),
    }
  }

  pub(super) fn used(&self) -> u32 {
    let used = self.waiting.len()
      + usize::from(self.prefill.is_some())
      + self.exports.len()
      + self.importing.len()
      + self.imported.len()
      + self.decodes.len();
    u32::try_from(used).unwrap_or(u32::MAX)
  }

  pub(super) fn is_full(&self) -> bool {
    self.used() >= self.spec.slots
  }

  pub(super) fn report(&self) -> LoadReport {
    let prefill_tokens = self.prefill.as_ref().map_or(0, |prefill| {
      let remaining_us = prefill.ends_us.saturating_sub(self.last_us);
      remaining_us * self.spec.prefill_tokens_per_s / 1_000_000
    });
    LoadReport {
      age_ms: 0,
      endpoint: self.spec.name.clone(),
      incarnation: self.incarnation,
      leaving: false,
      queue_tokens: prefill_tokens
        + self
          .waiting
          .iter()
          .map(|job| job.prompt_tokens - self.cached_tokens(&job.prefix).min(job.prompt_tokens))
          .sum::<u64>(),
      role: Some(self.role),
      slots: self.spec.slots,
      used_slots: self.used(),
    }
  }

  pub(super) fn cached_tokens(&self, prefix: &[u64]) -> u64 {
    let found = prefix.iter().take_while(|block| self.cache.contains(block));
    found.count() as u64 * BLOCK_TOKENS
  }

  pub(super) fn cache_prefix(&mut self, prefix: &[u64]) {
    for block in prefix {
      if self.cache.insert(*block) {
        self.cache_order.push_back(*block);
        self.unpublished_blocks.push(*block);
      }
    }
    while self.cache_order.len() > MAX_CACHED_BLOCKS {
      if let Some(oldest) = self.cache_order.pop_front() {
        self.cache.remove(&oldest);
      }
    }
  }

  /// Starts the prefill of the next prompt and returns the time at which it completes.
  pub(super) fn start_next_prefill(&mut self, now_us: u64) -> Option<u64> {
    self.last_us = now_us;
    if self.prefill.is_some() || self.is_stalled || self.is_dead {
      return None;
    }
    let job = self.waiting.pop_front()?;
    let cached_tokens = self.cached_tokens(&job.prefix).min(job.prompt_tokens - 1);
    let tokens = job.prompt_tokens - cached_tokens;
    let ends_us = now_us + tokens * 1_000_000 / self.spec.prefill_tokens_per_s;
    self.prefill = Some(ActivePrefill {
      started_us: now_us,
      cached_tokens,
      ends_us,
      job,
    });
    Some(ends_us)
  }

  fn token_us(&self) -> f64 {
    (self.base_us + self.slope_us * self.decodes.len() as u64) as f64
  }

  /// Advances all decodes to the current time.
  pub(super) fn advance(&mut self, now_us: u64) {
    let passed = (now_us - self.last_us.min(now_us)) as f64;
    let started_us = self.last_us;
    self.last_us = now_us;
    if self.is_stalled || self.is_dead || self.decodes.is_empty() {
      return;
    }
    let token_us = self.token_us();
    for decode in &mut self.decodes {
      let before = decode.generated;
      decode.generated += passed / token_us;
      if decode.first_us.is_none() && decode.generated >= 1.0 - 1e-9 {
        let at = started_us as f64 + (1.0 - before) * token_us;
        decode.first_us = Some(at as u64);
      }
    }
  }

  /// Returns the time at which the next decode reaches its first token or its end, and invalidates earlier progress events.
  pub(super) fn next_progress_us(&mut self) -> Option<u64> {
    self.version += 1;
    if self.is_stalled || self.is_dead {
      return None;
    }
    let token_us = self.token_us();
    self
      .decodes
      .iter()
      .map(|decode| {
        let goal = if decode.first_us.is_none() {
          1.0
        } else {
          decode.tokens
        };
        ((goal - decode.generated).max(0.0) * token_us).ceil() as u64 + self.last_us
      })
      .min()
  }

  /// Removes an attempt in any state.
  pub(super) fn remove_attempt(&mut self, attempt: &AttemptId) {
    self.waiting.retain(|job| job.attempt != *attempt);
    self.exports.remove(attempt);
    self.importing.remove(attempt);
    self.imported.remove(attempt);
    self.decodes.retain(|decode| decode.attempt != *attempt);
  }
}
