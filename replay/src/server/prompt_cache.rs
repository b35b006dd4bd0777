//! Prompt parts that an engine keeps.

use {
  serde_json::{Value, json},
  std::collections::{HashMap, VecDeque},
};

/// Changes that are retained.
const RETAINED_CHANGES: usize = 1_000;

/// A part of a prompt: its id and number of tokens.
pub(super) type PromptPart = (String, u64);

#[derive(Debug)]
struct Kept {
  tokens: u64,
  used_at: u64,
}

/// Prompt parts that an engine keeps. The parts unused for longest give way.
#[derive(Debug, Default)]
pub(super) struct PromptCache {
  parts: HashMap<String, Kept>,
  uses: u64,
  tokens: u64,
  changes: VecDeque<(u64, char, String, u64)>,
  last_change: u64,
}

impl PromptCache {
  /// Tokens of the first parts of a prompt, up to the first that is not kept.
  pub(super) fn kept_tokens(&self, prompt: &[PromptPart]) -> u64 {
    let kept = prompt
      .iter()
      .take_while(|(id, _)| self.parts.contains_key(id));
    kept.map(|(_, tokens)| tokens).sum()
  }

  /// Keeps the parts of a prompt, as far as there is room.
  pub(super) fn keep(&mut self, prompt: &[PromptPart], room: u64) {
    for (id, tokens) in prompt {
      self.uses += 1;
      let used_at = self.uses;
      if let Some(kept) = self.parts.get_mut(id) {
        kept.used_at = used_at;
        continue;
      }
      let tokens = *tokens;
      self.parts.insert(id.clone(), Kept { tokens, used_at });
      self.tokens += tokens;
      self.record('+', id, tokens);
    }
    while self.tokens > room && self.drop_oldest() {}
  }

  /// The parts, as `GET /kv-list` gives them.
  pub(super) fn list(&self) -> Value {
    let held = self
      .parts
      .iter()
      .map(|(id, kept)| json!(["", id, kept.tokens, "m"]));
    json!({"epoch": 1, "nextPageToken": self.last_change, "held": held.collect::<Vec<_>>()})
  }

  /// Changes after a number, as `GET /kv-events` gives them; `None` if there are none.
  pub(super) fn changes_after(&self, since: u64) -> Option<Value> {
    let first = self.changes.front().map_or(since + 1, |change| change.0);
    let changes = self.changes.iter().filter(|change| change.0 > since);
    let changes = changes
      .map(|(number, sign, id, tokens)| json!([number, sign.to_string(), "", id, tokens, "m"]));
    let changes: Vec<Value> = changes.collect();
    if changes.is_empty() {
      return None;
    }
    Some(self.changes_answer(first > since + 1, &changes))
  }

  /// The answer of `GET /kv-events` without changes.
  pub(super) fn no_changes(&self) -> Value {
    self.changes_answer(false, &[])
  }

  fn changes_answer(&self, lost: bool, changes: &[Value]) -> Value {
    json!({"epoch": 1, "nextPageToken": self.last_change, "lost": lost, "events": changes})
  }

  fn drop_oldest(&mut self) -> bool {
    let oldest = self.parts.iter().min_by_key(|(_, kept)| kept.used_at);
    let Some(id) = oldest.map(|(id, _)| id.clone()) else {
      return false;
    };
    if let Some(kept) = self.parts.remove(&id) {
      self.tokens -= kept.tokens;
    }
    self.record('-', &id, 0);
    true
  }

  fn record(&mut self, sign: char, id: &str, tokens: u64) {
    self.last_change += 1;
    self
      .changes
      .push_back((self.last_change, sign, id.into(), tokens));
    if self.changes.len() > RETAINED_CHANGES {
      self.changes.pop_front();
    }
  }
}
