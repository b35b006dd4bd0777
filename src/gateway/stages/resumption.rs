//! Whether a request resumes a stream, and where that may go on.

use crate::gateway::edge::SoftwareVersion;

/// Whether a request resumes a stream, and where that may go on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum Resumption {
  /// It resumes none.
  #[default]
  None,
  /// At the version that began the stream.
  At(SoftwareVersion),
  /// Nowhere: which version began the stream is not known.
  UnknownOrigin,
}
