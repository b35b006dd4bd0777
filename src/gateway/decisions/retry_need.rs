//! How much a retry is needed. Free of I/O.

use serde::{Deserialize, Serialize};

/// How much a retry is needed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum RetryNeed {
  /// Without it a request fails, or a stream is aborted.
  #[default]
  Required,
  /// It only shows whether a stream is complete.
  Optional,
}
