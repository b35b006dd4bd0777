//! The marks of requests that crash endpoints, as boxes share them in the store. Free of I/O.

use {
  super::{endpoint_incarnation::EndpointIncarnation, fingerprint::Fingerprint},
  crate::ids::Name,
};

/// A mark of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum QuarantineMark {
  /// An incarnation of an endpoint crashed while it was running the request.
  Crashed(EndpointIncarnation),
  /// A box claimed the probe with this number, from 1.
  Probe(u32),
}

/// A mark with its request.
///
/// ```
/// use rillford::gateway::{Fingerprint, QuarantineKey, QuarantineMark, RequestIdentity};
/// let fingerprint = Fingerprint::of(RequestIdentity {
///   body: b"", host: "lectures.example", method: "GET", organisation: None, path: "/a/1",
/// });
/// let key = QuarantineKey { fingerprint, mark: QuarantineMark::Probe(2) };
/// assert_eq!(QuarantineKey::parse(&key.text()), Some(key));
/// assert_eq!(QuarantineKey::parse("anything"), None);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QuarantineKey {
  pub fingerprint: Fingerprint,
  pub mark: QuarantineMark,
}

impl QuarantineKey {
  /// The last segment of the store key: the fingerprint, a slash, and the mark.
  pub fn text(&self) -> Name {
    let mark = match self.mark {
      QuarantineMark::Crashed(incarnation) => format!("ended-{}", incarnation.key()),
      QuarantineMark::Probe(number) => format!("trial-{number}"),
    };
    format!("{}/{mark}", self.fingerprint.key()).into()
  }

  /// Parses the text of [`text`](Self::text); `None` when it is malformed.
  pub fn parse(text: &str) -> Option<Self> {
    let (fingerprint, mark) = text.split_once('/')?;
    let mark = match mark.split_once('-')? {
      ("ended", incarnation) => QuarantineMark::Crashed(EndpointIncarnation::parse(incarnation)?),
      ("trial", number) => QuarantineMark::Probe(number.parse().ok()?),
      _ => return None,
    };
    Some(Self {
      fingerprint: Fingerprint::parse(fingerprint)?,
      mark,
    })
  }
}
