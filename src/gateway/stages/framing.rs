//! How the end of a response's body is known (RFC 9112, 6.3).

use {
  http::{
    HeaderMap, HeaderValue,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
  },
  std::fmt,
};

/// How the end of a response's body is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
  /// By its last chunk.
  Chunks,
  /// By its length.
  Length,
  /// By the end of its connection, as a body that was cut off ends too.
  Connection,
}

impl Framing {
  /// The framing of a response with these headers. A transfer coding other than chunks does not tell the end, and overrides a length.
  pub(super) fn of(headers: &HeaderMap) -> Self {
    let codings = headers.get_all(TRANSFER_ENCODING);
    match codings.iter().next_back() {
      Some(codings) if ends_with_chunks(codings) => Self::Chunks,
      Some(_) => Self::Connection,
      None if headers.contains_key(CONTENT_LENGTH) => Self::Length,
      None => Self::Connection,
    }
  }
}

impl fmt::Display for Framing {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    formatter.write_str(match self {
      Self::Chunks => "chunks",
      Self::Length => "length",
      Self::Connection => "connection",
    })
  }
}

/// Whether the last one of some transfer codings is chunked.
fn ends_with_chunks(codings: &HeaderValue) -> bool {
  let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
  last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
