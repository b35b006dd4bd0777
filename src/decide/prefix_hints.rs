//! Hints on which engine has which prompt prefix in its cache.

use {
  crate::ids::Name,
  std::collections::{BTreeMap, VecDeque},
};

/// Prompt tokens per hashed block.
pub const BLOCK_TOKENS: u64 = 128;

const CAPACITY: usize = 16_384;
const HALF_LIFE_MS: f64 = 60_000.0;
const ENGINES_PER_BLOCK: usize = 4;

#[derive(Clone, Debug)]
struct Observation {
  engine: Name,
  observed_ms: u64,
}

/// Hints from this box's own requests and from cache events, which may be late or incomplete. A wrong hint costs only
/// prefill time.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
  blocks: BTreeMap<u64, Vec<Observation>>,
  insertion_order: VecDeque<u64>,
}

impl PrefixHints {
  /// Records that an engine has these blocks in its cache.
  pub fn record_cached(&mut self, now_ms: u64, engine: &Name, blocks: &[u64]) {
    for block in blocks {
      self.record_block(now_ms, engine, *block);
    }
  }

  /// Removes blocks that an engine reported as not cached.
  pub fn record_missing(&mut self, engine: &Name, blocks: &[u64]) {
    for block in blocks {
      if let Some(observations) = self.blocks.get_mut(block) {
        observations.retain(|observation| observation.engine != *engine);
      }
    }
  }

  /// Expected number of the prefix's tokens in an engine's cache.
  pub fn expected_tokens(&self, now_ms: u64, engine: &Name, blocks: &[u64]) -> u64 {
    let mut expected = 0.0;
    for block in blocks {
      let Some(observation) = self.observation(*block, engine) else {
        break;
      };
      let age_ms = now_ms.saturating_sub(observation.observed_ms) as f64;
      expected += BLOCK_TOKENS as f64 * 0.5_f64.powf(age_ms / HALF_LIFE_MS);
    }
    expected as u64
  }

  /// Engines that were observed to have the first block.
  pub fn engines(&self, blocks: &[u64]) -> impl Iterator<Item = &Name> {
    blocks
      .first()
      .and_then(|block| self.blocks.get(block))
      .into_iter()
      .flatten()
      .map(|observation| &observation.engine)
  }

  fn observation(&self, block: u64, engine: &Name) -> Option<&Observation> {
    self
      .blocks
      .get(&block)?
      .iter()
      .find(|observation| observation.engine == *engine)
  }

  fn record_block(&mut self, now_ms: u64, engine: &Name, block: u64) {
    if !self.blocks.contains_key(&block) {
      self.insertion_order.push_back(block);
      if self.insertion_order.len() > CAPACITY
        && let Some(oldest) = self.insertion_order.pop_front()
      {
        self.blocks.remove(&oldest);
      }
    }
    let observations = self.blocks.entry(block).or_default();
    observations.retain(|observation| observation.engine != *engine);
    observations.push(Observation {
      engine: engine.clone(),
      observed_ms: now_ms,
    });
    if observations.len() > ENGINES_PER_BLOCK {
      observations.remove(0);
    }
  }
}
