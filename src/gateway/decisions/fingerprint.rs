//! Fingerprints of requests, independent of their ids. Free of I/O.

use {
  serde::{Deserialize, Serialize},
  sha2::{Digest, Sha256},
  std::fmt::{self, Debug, Display, Formatter, Write},
};

/// Length in bytes; a collision by chance is expected after some 10^19 requests.
const BYTES: usize = 16;
/// Bytes that are logged: enough to correlate lines, too few to guess the body.
const LOGGED_BYTES: usize = 4;

/// The attributes that identify a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
  /// The organisation of the caller, if any.
  pub organisation: Option<&'a str>,
  pub method: &'a str,
  pub host: &'a str,
  /// Path and query.
  pub path: &'a str,
  pub body: &'a [u8],
}

/// The attributes that identify a segment of prompts: it may be sound at the engines of another service, and ids of organisations
/// may collide.
#[derive(Clone, Copy, Debug)]
pub struct SegmentIdentity<'a> {
  /// The organisation of the caller, if any.
  pub organisation: Option<&'a str>,
  pub service: &'a str,
  /// The segment's id, as the caller named it.
  pub segment: &'a str,
}

/// A hash that all retries of a request share, at any box, on any connection and under any id. The body can't be recovered
/// from it, and no API key goes into it.
///
/// ```
/// use rillford::gateway::{Fingerprint, RequestIdentity};
/// let one = RequestIdentity {
///   body: b"prompt", host: "lectures.example", method: "POST", organisation: Some("lectures"), path: "/a/1",
/// };
/// assert_eq!(Fingerprint::of(one), Fingerprint::of(one));
/// let another = RequestIdentity { organisation: Some("captions"), ..one };
/// assert_ne!(Fingerprint::of(one), Fingerprint::of(another));
/// let fingerprint = Fingerprint::of(one);
/// assert_eq!(Fingerprint::parse(&fingerprint.key()), Some(fingerprint));
/// assert!(fingerprint.key().starts_with(&fingerprint.to_string()));
/// ```
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
  /// The fingerprint of a request.
  pub fn of(identity: RequestIdentity) -> Self {
    Self::of_parts(&[
      identity.organisation.unwrap_or_default().as_bytes(),
      identity.method.as_bytes(),
      identity.host.as_bytes(),
      identity.path.as_bytes(),
      identity.body,
    ])
  }

  /// The fingerprint of a segment of prompts, which all requests with it share.
  ///
  /// ```
  /// use rillford::gateway::{Fingerprint, SegmentIdentity};
  /// let one = SegmentIdentity { organisation: Some("lectures"), service: "llm", segment: "91bd3f06" };
  /// assert_eq!(Fingerprint::of_segment(one), Fingerprint::of_segment(one));
  /// let another = SegmentIdentity { organisation: Some("captions"), ..one };
  /// assert_ne!(Fingerprint::of_segment(one), Fingerprint::of_segment(another));
  /// ```
  pub fn of_segment(identity: SegmentIdentity) -> Self {
    Self::of_parts(&[
      b"segment",
      identity.organisation.unwrap_or_default().as_bytes(),
      identity.service.as_bytes(),
      identity.segment.as_bytes(),
    ])
  }

  fn of_parts(parts: &[&[u8]]) -> Self {
    let mut hasher = Sha256::new();
    for part in parts {
      // Length prefixes keep adjacent parts from being confused.
      hasher.update(part.len().to_le_bytes());
      hasher.update(part);
    }
    Self::truncate(hasher)
  }

  /// The fingerprint of the request's prefill stage. A crash during prefill says nothing of decode engines, and a complete
  /// response nothing of prefill engines.
  ///
  /// ```
  /// use rillford::gateway::{Fingerprint, RequestIdentity};
  /// let fingerprint = Fingerprint::of(RequestIdentity {
  ///   body: b"prompt", host: "lectures.example", method: "POST", organisation: None, path: "/a/1",
  /// });
  /// assert_ne!(fingerprint.of_prefill(), fingerprint);
  /// assert_eq!(fingerprint.of_prefill(), fingerprint.of_prefill());
  /// ```
  pub fn of_prefill(&self) -> Self {
    Self::truncate(Sha256::new().chain_update(self.0).chain_update("reading"))
  }

  fn truncate(hasher: Sha256) -> Self {
    let hash = hasher.finalize();
    let mut bytes = [0; BYTES];
    bytes.copy_from_slice(&hash[..BYTES]);
    Self(bytes)
  }

  /// The hex text that stands for it in a store key.
  pub fn key(&self) -> String {
    hex(&self.0)
  }

  /// Parses the text of [`key`](Self::key); `None` when it is malformed.
  pub fn parse(text: &str) -> Option<Self> {
    let mut bytes = [0; BYTES];
    if text.len() != 2 * BYTES || !text.is_ascii() {
      return None;
    }
    for (index, byte) in bytes.iter_mut().enumerate() {
      *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(Self(bytes))
  }
}

impl Display for Fingerprint {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(&hex(&self.0[..LOGGED_BYTES]))
  }
}

impl Debug for Fingerprint {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "Fingerprint({self})")
  }
}

fn hex(bytes: &[u8]) -> String {
  bytes.iter().fold(String::new(), |mut text, byte| {
    // Writing to a string never fails.
    let _ = write!(text, "{byte:02x}");
    text
  })
}
