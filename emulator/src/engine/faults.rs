//! Fault switches of an engine.

use serde::{Deserialize, Serialize};

/// Fault switches of an engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
  /// Prefill orders are taken and never answered.
  pub stall_prefill: bool,
  /// Imports are taken and never finish.
  pub stall_transfer: bool,
  /// Streams fall silent after so many tokens.
  pub stall_decode_after: Option<u64>,
  /// Streams are cut after so many tokens.
  pub cut_decode_after: Option<u64>,
  /// Each chunk is sent twice.
  pub double_chunks: bool,
  /// Pairs of chunks are swapped.
  pub swap_chunks: bool,
  /// Chunks carry this many bytes too much in their offset.
  pub shift_offset: u64,
  /// Each chunk is followed by one of another attempt.
  pub foreign_chunks: bool,
  /// Streams carry a line that is no chunk.
  pub malformed_line: bool,
  /// Streams carry a line without end.
  pub endless_line: bool,
  /// Orders are refused as full.
  pub full: bool,
  /// Orders are refused with 500 before anything began.
  pub fail_before: bool,
  /// Prefills are answered with 500 after the work was done.
  pub fail_after: bool,
  /// This many cancels take effect but lose their answer.
  pub lose_cancel_answers: u32,
  /// Load is not reported.
  pub silent_load: bool,
  /// Load reports are this old.
  pub load_lag_ms: u64,
  /// Reports say that the engine is leaving; orders are still obeyed.
  pub leaving: bool,
  /// Holds are not extended.
  pub deaf_to_holds: bool,
}
