//! Which requests are the same, whatever their ids. Free of I/O.

use {
  serde::{Deserialize, Serialize},
  sha2::{Digest, Sha256},
  std::fmt::{self, Debug, Display, Formatter, Write},
};

/// Bytes of a fingerprint: two different requests share one by chance after some 10^19.
const BYTES: usize = 16;
/// Bytes that a log line shows: enough to find the lines of one request, too few to guess what it holds.
const SHOWN_BYTES: usize = 4;

/// What makes two requests the same: who asks for what, with which body.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
  /// The organisation that asks, if callers belong to one.
  pub organisation: Option<&'a str>,
  /// The method.
  pub method: &'a str,
  /// The host asked for.
  pub host: &'a str,
  /// Path and query.
  pub path: &'a str,
  /// The whole body.
  pub body: &'a [u8],
}

/// A hash that repeats of one request share: at any box, on any connection, under any id. Nobody can tell the body, and no key
/// goes into it.
///
/// ```
/// use rillford::gateway::{Fingerprint, RequestIdentity};
/// let one = RequestIdentity {
///   body: b"prompt", host: "lectures.example", method: "POST", organisation: Some("lectures"), path: "/a/1",
/// };
/// assert_eq!(Fingerprint::of(one), Fingerprint::of(one));
/// let another = RequestIdentity { organisation: Some("captions"), ..one };
/// assert_ne!(Fingerprint::of(one), Fingerprint::of(another));
/// let print = Fingerprint::of(one);
/// assert_eq!(Fingerprint::parse(&print.key()), Some(print));
/// assert!(print.key().starts_with(&print.to_string()));
/// ```
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
  /// The fingerprint of a request.
  pub fn of(identity: RequestIdentity) -> Self {
    let mut hasher = Sha256::new();
    let parts = [
      identity.organisation.unwrap_or_default().as_bytes(),
      identity.method.as_bytes(),
      identity.host.as_bytes(),
      identity.path.as_bytes(),
      identity.body,
    ];
    for part in parts {
      // Lengths keep neighbours apart: no part can end in the next one's beginning.
      hasher.update(part.len().to_le_bytes());
      hasher.update(part);
    }
    Self::cut(hasher)
  }

  /// The fingerprint of reading the request's prompt apart. An engine that ends while it reads says nothing of those that write, and an
  /// answer that comes back whole nothing of those that read.
  ///
  /// ```
  /// use rillford::gateway::{Fingerprint, RequestIdentity};
  /// let fingerprint = Fingerprint::of(RequestIdentity {
  ///   body: b"prompt", host: "lectures.example", method: "POST", organisation: None, path: "/a/1",
  /// });
  /// assert_ne!(fingerprint.of_reading(), fingerprint);
  /// assert_eq!(fingerprint.of_reading(), fingerprint.of_reading());
  /// ```
  pub fn of_reading(&self) -> Self {
    Self::cut(Sha256::new().chain_update(self.0).chain_update("reading"))
  }

  fn cut(hasher: Sha256) -> Self {
    let hash = hasher.finalize();
    let mut bytes = [0; BYTES];
    bytes.copy_from_slice(&hash[..BYTES]);
    Self(bytes)
  }

  /// All of it in hex, as part of a key in the store.
  pub fn key(&self) -> String {
    hex(&self.0)
  }

  /// Reads what [`key`](Self::key) wrote; nothing when the text is no fingerprint.
  pub fn parse(text: &str) -> Option<Self> {
    let mut bytes = [0; BYTES];
    if text.len() != 2 * BYTES || !text.is_ascii() {
      return None;
    }
    for (at, byte) in bytes.iter_mut().enumerate() {
      *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(Self(bytes))
  }
}

impl Display for Fingerprint {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(&hex(&self.0[..SHOWN_BYTES]))
  }
}

impl Debug for Fingerprint {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "Fingerprint({self})")
  }
}

fn hex(bytes: &[u8]) -> String {
  bytes.iter().fold(String::new(), |mut text, byte| {
    // Writing to a string does not fail.
    let _ = write!(text, "{byte:02x}");
    text
  })
}
