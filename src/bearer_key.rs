//! The bearer key in a request's headers.

use http::{HeaderMap, header::AUTHORIZATION};

/// What a request's `Authorization` header holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BearerKey<'a> {
  /// There is no such header.
  Absent,
  /// One key.
  Given(&'a str),
  /// Another scheme, an empty key, or no readable text.
  Unreadable,
  /// More than one header: which of them counts is not for a router to choose.
  Several,
}

impl<'a> BearerKey<'a> {
  /// Reads the header; the scheme's case does not matter (RFC 9110, 11.1).
  pub(crate) fn read(headers: &'a HeaderMap) -> Self {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
      return Self::Absent;
    };
    if values.next().is_some() {
      return Self::Several;
    }
    let Some((scheme, key)) = value.to_str().ok().and_then(|text| text.split_once(' ')) else {
      return Self::Unreadable;
    };
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
      return Self::Unreadable;
    }
    Self::Given(key)
  }

  /// The key, if there is just one.
  pub(crate) fn given(self) -> Option<&'a str> {
    match self {
      Self::Given(key) => Some(key),
      Self::Absent | Self::Unreadable | Self::Several => None,
    }
  }
}
