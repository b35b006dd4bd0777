//! A segment of a prompt: the unit in which engines cache prefixes.

use crate::ids::Name;

/// A segment of a prompt, with all of its tokens or those that an engine has cached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptSegment {
  /// The segment's id.
  pub id: Name,
  /// Number of tokens.
  pub tokens: u64,
}
