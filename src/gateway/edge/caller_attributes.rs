//! Attributes of a request, as the caller's headers state them.

use {super::prompt_segment::PromptSegment, crate::ids::Name};

/// What a caller's headers state about a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerAttributes {
  /// The request's id.
  pub request_id: Option<Name>,
  /// How long the caller waits for the response.
  pub deadline_ms: Option<u64>,
  /// Tokens in the prompt.
  pub prompt_tokens: u64,
  /// The most tokens that may be generated.
  pub answer_tokens: u64,
  /// The caller's estimate of the tokens that will be generated.
  pub answer_estimate: Option<u64>,
  /// The last event of the stream that the caller has received, when it resumes one.
  pub last_event_id: Option<u64>,
  /// The id of the request that brought the first event of the stream that the caller resumes.
  pub resumed_request_id: Option<Name>,
  /// The segments of the prompt in order. The last one is unique to the request or to its session.
  pub prompt_segments: Vec<PromptSegment>,
}
