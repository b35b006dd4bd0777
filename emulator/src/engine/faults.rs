//! Faults that can be injected into an engine.

use serde::{Deserialize, Serialize};

/// Injected faults; all are off by default. The JSON names are those of `POST /switch`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
  /// Prefill calls are accepted and never complete.
  pub stall_prefill: bool,
  /// Imports are accepted and never complete.
  pub stall_transfer: bool,
  /// Streams stall after this many tokens, with the connection left open, and continue when this is reset.
  pub stall_decode_after: Option<u64>,
  /// Streams are closed after this many tokens.
  pub cut_decode_after: Option<u64>,
  /// Each chunk is sent twice.
  pub double_chunks: bool,
  /// Adjacent chunks are sent in reverse order.
  pub swap_chunks: bool,
  /// Bytes added to the offset of each chunk.
  pub shift_offset: u64,
  /// Each chunk is preceded by one that belongs to another attempt.
  pub foreign_chunks: bool,
  /// Each chunk is preceded by a line that does not parse as a chunk.
  pub malformed_line: bool,
  /// Each chunk is preceded by 128 KiB without a line break.
  pub endless_line: bool,
  /// Calls are rejected because no slot is free.
  pub full: bool,
  /// Calls fail with status 500 before any work starts.
  pub fail_before: bool,
  /// Prefills fail with status 500 after the work is done.
  pub fail_after: bool,
  /// Number of further cancels that take effect but never receive a response.
  pub lose_cancel_answers: u32,
  /// Load polls fail with status 503.
  #[serde(rename = "silent_load")]
  pub reject_load_polls: bool,
  /// A load report is repeated until it is this old.
  pub load_lag_ms: u64,
  /// Load reports signal that the engine is leaving; calls are still served.
  pub leaving: bool,
  /// Hold extensions fail with status 503.
  pub deaf_to_holds: bool,
}
