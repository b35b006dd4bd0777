//! What is read from a caller's headers.

use {super::prompt_part::PromptPart, crate::ids::Name};

/// What a caller's headers say.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerFacts {
  /// The id of this request.
  pub request_id: Option<Name>,
  /// How long the caller will wait.
  pub deadline_ms: Option<u64>,
  /// Tokens in the prompt.
  pub prompt_tokens: u64,
  /// The most tokens in the answer.
  pub answer_tokens: u64,
  /// The caller's estimate of the tokens in the answer.
  pub answer_estimate: Option<u64>,
  /// The last event that the caller has of a stream.
  pub last_event_id: Option<u64>,
  /// The parts of the prompt in order; the last is shared by no other request, or only within a session.
  pub prompt_parts: Vec<PromptPart>,
}
