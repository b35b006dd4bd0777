//! The HTTP messages between a box and its endpoints; docs/ENDPOINTS.md describes the protocol.

use {
  crate::{
    decide::{CancelAnswer, HeldAttempt, Role},
    ids::{AttemptId, Name},
  },
  serde::{Deserialize, Serialize},
};

/// `POST /v1/prefill`: prefill a prompt and hold its KV cache for transfer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PrefillRequest {
  /// The attempt.
  pub attempt: AttemptId,
  /// The model.
  pub model: Name,
  /// The prompt.
  pub prompt: Name,
  /// Response text already delivered to the caller, to be prefilled after the prompt.
  pub answered: Name,
  /// Maximum tokens of the response.
  pub max_tokens: u64,
  /// Time that the engine holds the attempt without an extension.
  pub hold_ms: u64,
  /// Time until the caller's deadline.
  pub deadline_ms: u64,
  /// Priority; higher goes first.
  pub priority: i64,
}

/// The response to a prefill, sent when the prompt has been processed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PrefillResponse {
  /// Tokens in the prompt.
  pub prompt_tokens: u64,
  /// Tokens of the prompt found in the prefix cache.
  pub cached_tokens: u64,
  /// Size of the KV cache to transfer.
  pub kv_bytes: u64,
}

/// `POST /v1/import`: fetch a KV cache from a prefill engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ImportRequest {
  /// The attempt.
  pub attempt: AttemptId,
  /// Base URL of the prefill engine.
  pub source_url: Name,
  /// Time that the engine holds the attempt without an extension.
  pub hold_ms: u64,
}

/// The response to an import, sent when the KV cache has been transferred.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ImportResponse {
  /// Bytes transferred.
  pub kv_bytes: u64,
}

/// `POST /v1/decode`: generate the response from an offset, streamed as lines of [`DecodeChunk`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DecodeRequest {
  /// The attempt.
  pub attempt: AttemptId,
  /// Bytes of the response already delivered to the caller.
  pub offset: u64,
  /// Maximum tokens of the whole response.
  pub max_tokens: u64,
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
  /// The model emitted its end token.
  Stop,
  /// The token limit was reached.
  Length,
}

/// A chunk of a response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DecodeChunk {
  /// The attempt.
  pub attempt: AttemptId,
  /// Byte offset of the text within the whole response.
  pub offset: u64,
  /// The text.
  pub text: String,
  /// Tokens in the text.
  pub tokens: u64,
  /// Set on the last chunk.
  pub finish: Option<FinishReason>,
}

/// `POST /v1/cancel`: stop an attempt, and reject any command for it that arrives later.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelRequest {
  /// The attempt.
  pub attempt: AttemptId,
}

/// The response to a cancel.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelReply {
  /// What became of the attempt.
  pub answer: CancelAnswer,
}

/// `POST /v1/holds`: extend the holds of attempts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldsRequest {
  /// The attempts.
  pub attempts: Vec<AttemptId>,
  /// Hold duration, from now.
  pub hold_ms: u64,
}

/// The response to an extension.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldsReply {
  /// Attempts that the engine does not hold.
  pub unknown: Vec<AttemptId>,
}

/// `GET /v1/attempts`: the attempts that the engine holds memory for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptsReply {
  /// The attempts.
  pub attempts: Vec<HeldAttempt>,
}

/// `GET /v1/load`, of engines and plain services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReply {
  /// The incarnation of the endpoint; higher is later.
  pub incarnation: u64,
  /// The engine's role; plain services have none.
  #[serde(default)]
  pub role: Option<Role>,
  /// Whether it is shutting down and accepts no new work.
  #[serde(default)]
  pub leaving: bool,
  /// Requests that it runs.
  pub used_seats: u32,
  /// Requests that it can run at once.
  pub seats: u32,
  /// Prompt tokens queued for prefill.
  #[serde(default)]
  pub queue_tokens: u64,
  /// Age of this report.
  #[serde(default)]
  pub age_ms: u64,
}

/// `GET /v1/cache-events?since=N`: prefix blocks cached since a cursor. Best effort: events may be late or missing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CacheEventsReply {
  /// The cursor for the next call.
  pub next: u64,
  /// Hashes of the blocks.
  pub blocks: Vec<u64>,
}

/// `POST /v1/role`: a fenced command to change role.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoleRequest {
  /// The new role.
  pub role: Role,
  /// Key-value revision of the leader's lease; an older one is rejected.
  pub fence: u64,
}

/// Why an endpoint rejects a command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandRejection {
  /// No free capacity; the work did not begin.
  Full,
  /// The attempt was cancelled before the command arrived; the work did not begin.
  Cancelled,
  /// The endpoint is shutting down or has the other role; the work did not begin.
  NotServing,
  /// The KV cache to transfer is no longer held.
  ExportGone,
  /// The fence is older than one that the engine has accepted.
  OldFence,
}

/// The body of a rejection.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RejectionReply {
  /// The reason.
  pub refusal: CommandRejection,
}

/// Hashes of a prompt's leading blocks; each hash covers all text up to the end of its block.
///
/// ```
/// use rillford::endpoint_api::prefix_blocks;
/// let one = "x".repeat(600);
/// let two = "x".repeat(1200);
/// assert_eq!(prefix_blocks(&one)[0], prefix_blocks(&two)[0]);
/// ```
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
  use sha2::{Digest, Sha256};
  let mut hasher = Sha256::new();
  prompt
    .as_bytes()
    .chunks_exact(BLOCK_BYTES)
    .take(MAX_BLOCKS)
    .map(|block| {
      hasher.update(block);
      let mut bytes = [0; 8];
      bytes.copy_from_slice(&hasher.clone().finalize()[..8]);
      u64::from_be_bytes(bytes)
    })
    .collect()
}

/// Estimated bytes of prompt text per token, used until an engine has counted the tokens.
pub const BYTES_PER_TOKEN: u64 = 4;

const BLOCK_BYTES: usize = 512;
const MAX_BLOCKS: usize = 64;
