//! One thing that is known of a request that ends endpoints, as boxes share it. Free of I/O.

use {
  super::{endpoint_incarnation::EndpointIncarnation, fingerprint::Fingerprint},
  crate::ids::Name,
};

/// What is known.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum QuarantineMark {
  /// A life of an endpoint ended while it had the request.
  Crashed(EndpointIncarnation),
  /// A box took the trial with this number, from 1.
  Probe(u32),
}

/// What is known of which request.
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
  /// The request.
  pub fingerprint: Fingerprint,
  /// What is known of it.
  pub mark: QuarantineMark,
}

impl QuarantineKey {
  /// The last part of its key in the store: the fingerprint, a slash, and the mark.
  pub fn text(&self) -> Name {
    let mark = match self.mark {
      QuarantineMark::Crashed(life) => format!("ended-{}", life.key()),
      QuarantineMark::Probe(number) => format!("trial-{number}"),
    };
    format!("{}/{mark}", self.fingerprint.key()).into()
  }

  /// Reads what [`text`](Self::text) wrote; nothing when somebody else wrote it.
  pub fn parse(text: &str) -> Option<Self> {
    let (fingerprint, mark) = text.split_once('/')?;
    let mark = match mark.split_once('-')? {
      ("ended", life) => QuarantineMark::Crashed(EndpointIncarnation::parse(life)?),
      ("trial", number) => QuarantineMark::Probe(number.parse().ok()?),
      _ => return None,
    };
    Some(Self {
      fingerprint: Fingerprint::parse(fingerprint)?,
      mark,
    })
  }
}
