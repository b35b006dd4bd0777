//! A part of a prompt, as callers name it and engines list it.

use crate::ids::Name;

/// A part of a prompt, with all its tokens or those of them that an engine keeps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
  /// The part's id.
  pub id: Name,
  /// How many tokens.
  pub tokens: u64,
}
