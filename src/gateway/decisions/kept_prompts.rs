//! Which engines keep which parts of prompts in their memory, as they listed them. Free of I/O.

use {
  crate::{gateway::edge::PromptSegment, ids::Name},
  std::collections::HashMap,
};

/// After this time a listing says nothing: what is not used gives way to new prompts.
const LISTING_MS: u64 = 2_000;

/// What the engines of one service keep.
///
/// ```
/// use rillford::gateway::{KeptPrompts, PromptSegment};
/// let part = |id: &str, tokens| PromptSegment { id: id.into(), tokens };
/// let mut kept = KeptPrompts::default();
/// kept.begin(1_000);
/// kept.add(&"e-1".into(), vec![part("5c", 200), part("9a", 900)]);
/// kept.add(&"e-2".into(), vec![part("9a", 3_000)]);
/// // The second engine lacks the prompt's beginning: it would read all of it.
/// assert_eq!(kept.engines(&[part("5c", 200), part("9a", 3_000)]), [("e-1".into(), 1_100)]);
/// assert!(kept.is_fresh(2_000) && !kept.is_fresh(3_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct KeptPrompts {
  listed_ms: Option<u64>,
  /// Tokens by part, for each engine.
  by_engine: HashMap<Name, HashMap<Name, u64>>,
}

impl KeptPrompts {
  /// Whether the listing still says something.
  pub fn is_fresh(&self, now_ms: u64) -> bool {
    self
      .listed_ms
      .is_some_and(|listed_ms| now_ms < listed_ms + LISTING_MS)
  }

  /// A new listing begins.
  pub fn begin(&mut self, now_ms: u64) {
    self.by_engine.clear();
    self.listed_ms = Some(now_ms);
  }

  /// One engine's part of the listing.
  pub fn add(&mut self, engine: &Name, parts: Vec<PromptSegment>) {
    let parts = parts.into_iter().map(|part| (part.id, part.tokens));
    self.by_engine.insert(engine.clone(), parts.collect());
  }

  /// The engines that keep the beginning of a prompt, with the tokens kept there, the most first.
  pub fn engines(&self, prompt: &[PromptSegment]) -> Vec<(Name, u64)> {
    let mut found: Vec<(Name, u64)> = self
      .by_engine
      .iter()
      .map(|(engine, kept)| (engine.clone(), kept_tokens(kept, prompt)))
      .filter(|(_, tokens)| *tokens > 0)
      .collect();
    found.sort_by(|one, other| other.1.cmp(&one.1).then_with(|| one.0.cmp(&other.0)));
    found
  }
}

/// Tokens from the prompt's beginning up to the first that is missing.
fn kept_tokens(kept: &HashMap<Name, u64>, prompt: &[PromptSegment]) -> u64 {
  let mut tokens = 0;
  for part in prompt {
    let here = kept.get(&part.id).copied().unwrap_or(0).min(part.tokens);
    tokens += here;
    if here < part.tokens {
      break;
    }
  }
  tokens
}
