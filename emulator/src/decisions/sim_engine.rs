//! A fake of an engine in virtual time: reads prompts one by one, keeps results for a short time,
//! writes answers at a pace that sinks as seats fill.

use {
  rillford::{
    decide::{BLOCK_TOKENS, EndpointSpec, LoadReport, Role},
    ids::AttemptId,
  },
  std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Time that a prefill result is kept.
pub(super) const KEEP_US: u64 = 800_000;

const CACHED_BLOCKS: usize = 1_500;

/// A prompt that waits to be read.
#[derive(Clone, Debug)]
pub(super) struct Job {
  pub(super) attempt: AttemptId,
  pub(super) request: usize,
  pub(super) prompt_tokens: u64,
  pub(super) prefix: Vec<u64>,
}

/// The prompt that is being read.
#[derive(Clone, Debug)]
pub(super) struct Reading {
  pub(super) job: Job,
  pub(super) cached_tokens: u64,
  pub(super) began_us: u64,
  pub(super) ends_us: u64,
}

/// An answer that is being written.
#[derive(Clone, Debug)]
pub(super) struct Writing {
  pub(super) attempt: AttemptId,
  pub(super) request: usize,
  pub(super) began_us: u64,
  pub(super) first_us: Option<u64>,
  pub(super) written: f64,
  pub(super) tokens: f64,
}

/// An engine.
pub(super) struct SimEngine {
  pub(super) spec: EndpointSpec,
  pub(super) role: Role,
  pub(super) wanted_role: Option<Role>,
  pub(super) incarnation: u64,
  pub(super) stalled: bool,
  pub(super) dead: bool,
  pub(super) waiting: VecDeque<Job>,
  pub(super) reading: Option<Reading>,
  pub(super) exports: BTreeMap<AttemptId, u64>,
  pub(super) importing: BTreeSet<AttemptId>,
  pub(super) imported: BTreeSet<AttemptId>,
  pub(super) writing: Vec<Writing>,
  pub(super) tombstones: BTreeSet<AttemptId>,
  pub(super) link_free_us: u64,
  pub(super) version: u64,
  pub(super) cache: BTreeSet<u64>,
  pub(super) cache_order: VecDeque<u64>,
  pub(super) fresh_blocks: Vec<u64>,
  pub(super) reports: VecDeque<(u64, LoadReport)>,
  last_us: u64,
  base_us: u64,
  slope_us: u64,
}

impl SimEngine {
  pub(super) fn new(spec: EndpointSpec, role: Role, base_us: u64, slope_us: u64) -> Self {
    Self {
      base_us,
      cache: BTreeSet::new(),
      cache_order: VecDeque::new(),
      dead: false,
      exports: BTreeMap::new(),
      fresh_blocks: Vec::new(),
      imported: BTreeSet::new(),
      importing: BTreeSet::new(),
      incarnation: 1,
      last_us: 0,
      link_free_us: 0,
      reading: None,
      reports: VecDeque::new(),
      role,
      slope_us,
      spec,
      stalled: false,
      tombstones: BTreeSet::new(),
      version: 0,
      waiting: VecDeque::new(),
      wanted_role: None,
      writing: Vec::new(),
    }
  }

  pub(super) fn used(&self) -> u32 {
    let used = self.waiting.len()
      + usize::from(self.reading.is_some())
      + self.exports.len()
      + self.importing.len()
      + self.imported.len()
      + self.writing.len();
    u32::try_from(used).unwrap_or(u32::MAX)
  }

  pub(super) fn is_full(&self) -> bool {
    self.used() >= self.spec.slots
  }

  pub(super) fn report(&self) -> LoadReport {
    let reading = self.reading.as_ref().map_or(0, |reading| {
      let left_us = reading.ends_us.saturating_sub(self.last_us);
      left_us * self.spec.prefill_tokens_per_s / 1_000_000
    });
    LoadReport {
      age_ms: 0,
      endpoint: self.spec.name.clone(),
      incarnation: self.incarnation,
      leaving: false,
      queue_tokens: reading
        + self
          .waiting
          .iter()
          .map(|job| job.prompt_tokens - self.cached(&job.prefix).min(job.prompt_tokens))
          .sum::<u64>(),
      role: Some(self.role),
      slots: self.spec.slots,
      used_slots: self.used(),
    }
  }

  /// Tokens of a prefix that are cached.
  pub(super) fn cached(&self, prefix: &[u64]) -> u64 {
    let found = prefix.iter().take_while(|block| self.cache.contains(block));
    found.count() as u64 * BLOCK_TOKENS
  }

  pub(super) fn remember(&mut self, prefix: &[u64]) {
    for block in prefix {
      if self.cache.insert(*block) {
        self.cache_order.push_back(*block);
        self.fresh_blocks.push(*block);
      }
    }
    while self.cache_order.len() > CACHED_BLOCKS {
      if let Some(oldest) = self.cache_order.pop_front() {
        self.cache.remove(&oldest);
      }
    }
  }

  /// Begins with the next prompt; answers when it will have been read.
  pub(super) fn read_next(&mut self, now_us: u64) -> Option<u64> {
    self.last_us = now_us;
    if self.reading.is_some() || self.stalled || self.dead {
      return None;
    }
    let job = self.waiting.pop_front()?;
    let cached_tokens = self.cached(&job.prefix).min(job.prompt_tokens - 1);
    let tokens = job.prompt_tokens - cached_tokens;
    let ends_us = now_us + tokens * 1_000_000 / self.spec.prefill_tokens_per_s;
    self.reading = Some(Reading {
      began_us: now_us,
      cached_tokens,
      ends_us,
      job,
    });
    Some(ends_us)
  }

  fn token_us(&self) -> f64 {
    (self.base_us + self.slope_us * self.writing.len() as u64) as f64
  }

  /// Lets all answers grow up to now.
  pub(super) fn advance(&mut self, now_us: u64) {
    let passed = (now_us - self.last_us.min(now_us)) as f64;
    let began_us = self.last_us;
    self.last_us = now_us;
    if self.stalled || self.dead || self.writing.is_empty() {
      return;
    }
    let pace = self.token_us();
    for writing in &mut self.writing {
      let before = writing.written;
      writing.written += passed / pace;
      if writing.first_us.is_none() && writing.written >= 1.0 - 1e-9 {
        let at = began_us as f64 + (1.0 - before) * pace;
        writing.first_us = Some(at as u64);
      }
    }
  }

  /// When the next answer reaches its first token or its end; the version makes older ones void.
  pub(super) fn next_mark(&mut self) -> Option<u64> {
    self.version += 1;
    if self.stalled || self.dead {
      return None;
    }
    let pace = self.token_us();
    self
      .writing
      .iter()
      .map(|writing| {
        let goal = if writing.first_us.is_none() {
          1.0
        } else {
          writing.tokens
        };
        ((goal - writing.written).max(0.0) * pace).ceil() as u64 + self.last_us
      })
      .min()
  }

  /// Takes an attempt away, wherever it is.
  pub(super) fn drop_attempt(&mut self, attempt: &AttemptId) {
    self.waiting.retain(|job| job.attempt != *attempt);
    self.exports.remove(attempt);
    self.importing.remove(attempt);
    self.imported.remove(attempt);
    self.writing.retain(|writing| writing.attempt != *attempt);
  }
}
