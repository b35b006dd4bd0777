//! Which engines have which prompt blocks cached, as they listed them. Free of I/O.

use {
  crate::{gateway::edge::PromptSegment, ids::Name},
  std::collections::HashMap,
};

/// Validity of a listing: unused blocks are evicted in favour of new prompts.
const LISTING_VALIDITY_MS: u64 = 2_000;

/// The prompt caches of one service's engines.
///
/// ```
/// use rillford::gateway::{CachedPrompts, PromptSegment};
/// let part = |id: &str, tokens| PromptSegment { id: id.into(), tokens };
/// let mut cached = CachedPrompts::default();
/// cached.begin(1_000);
/// cached.add(&"e-1".into(), vec![part("5c", 200), part("9a", 900)]);
/// cached.add(&"e-2".into(), vec![part("9a", 3_000)]);
/// // The second engine lacks the first block of the prompt: it would have to prefill all of it.
/// assert_eq!(cached.engines(&[part("5c", 200), part("9a", 3_000)]), [("e-1".into(), 1_100)]);
/// assert!(cached.is_fresh(2_000) && !cached.is_fresh(3_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CachedPrompts {
  listed_ms: Option<u64>,
  /// Tokens by prompt block, for each engine.
  by_engine: HashMap<Name, HashMap<Name, u64>>,
}

impl CachedPrompts {
  /// Whether the listing is still valid.
  pub fn is_fresh(&self, now_ms: u64) -> bool {
    self
      .listed_ms
      .is_some_and(|listed_ms| now_ms < listed_ms + LISTING_VALIDITY_MS)
  }

  /// Starts a new listing.
  pub fn begin(&mut self, now_ms: u64) {
    self.by_engine.clear();
    self.listed_ms = Some(now_ms);
  }

  /// Adds one engine's blocks to the listing.
  pub fn add(&mut self, engine: &Name, parts: Vec<PromptSegment>) {
    let parts = parts.into_iter().map(|part| (part.id, part.tokens));
    self.by_engine.insert(engine.clone(), parts.collect());
  }

  /// The engines with a cached prefix of a prompt and its length in tokens, the longest first.
  pub fn engines(&self, prompt: &[PromptSegment]) -> Vec<(Name, u64)> {
    let mut found: Vec<(Name, u64)> = self
      .by_engine
      .iter()
      .map(|(engine, cached)| (engine.clone(), cached_prefix_tokens(cached, prompt)))
      .filter(|(_, tokens)| *tokens > 0)
      .collect();
    found.sort_by(|one, other| other.1.cmp(&one.1).then_with(|| one.0.cmp(&other.0)));
    found
  }
}

/// Length in tokens of the longest cached prefix.
fn cached_prefix_tokens(cached: &HashMap<Name, u64>, prompt: &[PromptSegment]) -> u64 {
  let mut tokens = 0;
  for part in prompt {
    let Some(cached_tokens) = cached.get(&part.id) else {
      break;
    };
    tokens += part.tokens.min(*cached_tokens);
    if *cached_tokens < part.tokens {
      break;
    }
  }
  tokens
}
