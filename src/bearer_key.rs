//! Reads the bearer key from a request's headers.

use http::{HeaderMap, header::AUTHORIZATION};

/// The content of a request's `Authorization` header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BearerKey<'a> {
  /// There is no such header.
  Absent,
  /// Exactly one key.
  Present(&'a str),
  /// Another scheme, an empty key, or a value that is not visible ASCII.
  Malformed,
  /// More than one header, which is ambiguous.
  Ambiguous,
}

impl<'a> BearerKey<'a> {
  /// Parses the header. The scheme is case-insensitive (RFC 9110, 11.1).
  pub(crate) fn read(headers: &'a HeaderMap) -> Self {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
      return Self::Absent;
    };
    if values.next().is_some() {
      return Self::Ambiguous;
    }
    let Some((scheme, key)) = value.to_str().ok().and_then(|text| text.split_once(' ')) else {
      return Self::Malformed;
    };
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
      return Self::Malformed;
    }
    Self::Present(key)
  }

  /// The key, if there is exactly one.
  pub(crate) fn key(self) -> Option<&'a str> {
    match self {
      Self::Present(key) => Some(key),
      Self::Absent | Self::Malformed | Self::Ambiguous => None,
    }
  }
}
