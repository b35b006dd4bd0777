//! The messages between a box and its endpoints; docs/ENDPOINTS.md says what they mean.

use {
  crate::{
    decide::{CancelAnswer, HeldAttempt, Role},
    ids::{AttemptId, Name},
  },
  serde::{Deserialize, Serialize},
};

/// `POST /v1/prefill`: read a prompt and keep the result for transfer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PrefillRequest {
  /// The attempt.
  pub attempt: AttemptId,
  /// The model.
  pub model: Name,
  /// The prompt.
  pub prompt: Name,
  /// What the caller has of the answer already, to be read behind the prompt.
  pub answered: Name,
  /// The most tokens that the answer may have.
  pub max_tokens: u64,
  /// Time that the engine keeps the attempt without an extension.
  pub hold_ms: u64,
  /// Time until the caller's deadline.
  pub deadline_ms: u64,
  /// Higher goes first.
  pub priority: i64,
}

/// The answer to a prefill order, sent when the prompt has been read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PrefillAnswer {
  /// Tokens in the prompt.
  pub prompt_tokens: u64,
  /// Of these, found in the prefix cache.
  pub cached_tokens: u64,
  /// Size of the KV cache to move.
  pub kv_bytes: u64,
}

/// `POST /v1/import`: pull a KV cache from a prefill engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ImportRequest {
  /// The attempt.
  pub attempt: AttemptId,
  /// Base URL of the prefill engine.
  pub source_url: Name,
  /// Time that the engine keeps the attempt without an extension.
  pub hold_ms: u64,
}

/// The answer to an import order, sent when the KV cache has arrived.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ImportAnswer {
  /// Bytes moved.
  pub kv_bytes: u64,
}

/// `POST /v1/decode`: write the answer from an offset, as lines of [`DecodeChunk`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DecodeRequest {
  /// The attempt.
  pub attempt: AttemptId,
  /// Bytes of the answer that the caller has already.
  pub offset: u64,
  /// The most tokens that the whole answer may have.
  pub max_tokens: u64,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
  /// The model ended it.
  Stop,
  /// It reached the most tokens allowed.
  Length,
}

/// A piece of the answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DecodeChunk {
  /// The attempt.
  pub attempt: AttemptId,
  /// Byte offset of the text within the whole answer.
  pub offset: u64,
  /// The text.
  pub text: String,
  /// Tokens in the text.
  pub tokens: u64,
  /// Set on the last chunk.
  pub finish: Option<FinishReason>,
}

/// `POST /v1/cancel`: stop an attempt, and refuse its orders if they come later.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelRequest {
  /// The attempt.
  pub attempt: AttemptId,
}

/// The answer to a cancel.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelReply {
  /// What the engine did.
  pub answer: CancelAnswer,
}

/// `POST /v1/holds`: keep these attempts for a while longer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldsRequest {
  /// The attempts.
  pub attempts: Vec<AttemptId>,
  /// How long, from now.
  pub hold_ms: u64,
}

/// The answer to an extension.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldsReply {
  /// Attempts that the engine does not hold.
  pub unknown: Vec<AttemptId>,
}

/// `GET /v1/attempts`: all that the engine holds memory for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptsReply {
  /// The attempts.
  pub attempts: Vec<HeldAttempt>,
}

/// `GET /v1/load`, of engines and plain services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReply {
  /// The endpoint's start; higher is later.
  pub incarnation: u64,
  /// The engine's role; plain services have none.
  #[serde(default)]
  pub role: Option<Role>,
  /// Whether it is leaving.
  #[serde(default)]
  pub leaving: bool,
  /// Requests held.
  pub used_seats: u32,
  /// Requests it can hold.
  pub seats: u32,
  /// Prompt tokens waiting to be read.
  #[serde(default)]
  pub queue_tokens: u64,
  /// Age of these numbers.
  #[serde(default)]
  pub age_ms: u64,
}

/// `GET /v1/cache-events?since=N`: prefix blocks cached since, late and with gaps.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CacheEventsReply {
  /// The cursor to ask with next.
  pub next: u64,
  /// Hashes of the blocks.
  pub blocks: Vec<u64>,
}

/// `POST /v1/role`: a fenced order to change role.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoleRequest {
  /// The role wanted.
  pub role: Role,
  /// Key-value revision of the steward's lease; an older one is refused.
  pub fence: u64,
}

/// Why an endpoint refuses an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandRejection {
  /// No room; nothing began.
  Full,
  /// The attempt was cancelled before the order came; nothing began.
  Cancelled,
  /// The endpoint is leaving or has the other role; nothing began.
  NotServing,
  /// The export asked for is not kept any more.
  ExportGone,
  /// The fence is older than one that the engine has obeyed.
  OldFence,
}

/// The body of a refusal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RejectionReply {
  /// Why.
  pub refusal: CommandRejection,
}

/// Hashes of a prompt's leading blocks; each covers all text before it.
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
    .take(MOST_BLOCKS)
    .map(|block| {
      hasher.update(block);
      let mut bytes = [0; 8];
      bytes.copy_from_slice(&hasher.clone().finalize()[..8]);
      u64::from_be_bytes(bytes)
    })
    .collect()
}

/// Bytes of prompt text taken for one token before an engine has counted.
pub const BYTES_PER_TOKEN: u64 = 4;

const BLOCK_BYTES: usize = 512;
const MOST_BLOCKS: usize = 64;
