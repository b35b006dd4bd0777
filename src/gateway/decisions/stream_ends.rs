//! Whether a stream that ends with its connection is complete although its engine runs on: an engine may lose a response and close its
//! connection in order. Engines of one software version end their streams alike. Free of I/O.

use {
  crate::{gateway::edge::SoftwareVersion, ids::Name},
  std::collections::HashMap,
};

/// Streams of a version until ends with the connection count as unusual or usual for it.
const MIN_STREAMS: u32 = 8;
/// Largest share of ends with the connection that is unusual: checking each of them costs a retry.
const MAX_UNUSUAL_SHARE: f64 = 0.05;
/// As many are unusual among few streams too.
const MIN_UNUSUAL: u32 = 2;
/// Early ends, and none that was found to be whole, after which further ones are not believed.
const MIN_EARLY: u32 = 2;
/// Streams after which all counts are halved, so that they follow a change.
const HALVED_AT: u32 = 256;
/// Versions that are remembered.
const MAX_VERSIONS: usize = 256;

/// What an end with the connection means for a stream whose engine runs on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndTrust {
  /// The stream is complete.
  Believed,
  /// It may be incomplete: another run that continues after its last event shows it.
  Doubted,
  /// It is incomplete, as those before it were.
  Disbelieved,
}

/// The streams of one version.
#[derive(Clone, Copy, Debug, Default)]
struct VersionEnds {
  /// Ends that chunks or a length have shown.
  shown: u32,
  /// Ends with the connection.
  with_connection: u32,
  /// Of these, those that a further run has shown to be whole, or early.
  whole: u32,
  early: u32,
}

impl VersionEnds {
  fn halve_if_full(&mut self) {
    if self.shown + self.with_connection < HALVED_AT {
      return;
    }
    for count in [
      &mut self.shown,
      &mut self.with_connection,
      &mut self.whole,
      &mut self.early,
    ] {
      *count /= 2;
    }
  }
}

/// How the streams of each service's software versions end.
///
/// ```
/// use rillford::gateway::{EndTrust, SoftwareVersion, StreamEnds};
/// let version = SoftwareVersion::new("v1");
/// let mut ends = StreamEnds::default();
/// assert_eq!(ends.trust("llm", &version), EndTrust::Believed);
/// for _ in 0..20 {
///   ends.record_shown(&"llm".into(), &version);
/// }
/// assert_eq!(ends.trust("llm", &version), EndTrust::Doubted);
/// ends.record_checked(&"llm".into(), &version, false);
/// assert_eq!(ends.trust("llm", &version), EndTrust::Believed);
/// ```
#[derive(Debug, Default)]
pub struct StreamEnds {
  services: HashMap<Name, HashMap<SoftwareVersion, VersionEnds>>,
}

impl StreamEnds {
  /// A stream's end was shown by its last chunk or its length.
  pub fn record_shown(&mut self, service: &Name, version: &SoftwareVersion) {
    self.ends(service, version).shown += 1;
  }

  /// A stream ended with its connection, and its engine runs on.
  pub fn record_with_connection(&mut self, service: &Name, version: &SoftwareVersion) {
    self.ends(service, version).with_connection += 1;
  }

  /// A further run has shown whether such a stream was early.
  pub fn record_checked(&mut self, service: &Name, version: &SoftwareVersion, was_early: bool) {
    let ends = self.ends(service, version);
    let count = if was_early {
      &mut ends.early
    } else {
      &mut ends.whole
    };
    *count += 1;
  }

  /// Whether the next stream that ends with its connection is complete. Without a sign to the contrary it is.
  pub fn trust(&self, service: &str, version: &SoftwareVersion) -> EndTrust {
    let versions = self.services.get(service);
    let ends = versions.and_then(|versions| versions.get(version));
    let ends = ends.copied().unwrap_or_default();
    if ends.whole > ends.early {
      return EndTrust::Believed;
    }
    if ends.whole == 0 && ends.early >= MIN_EARLY {
      return EndTrust::Disbelieved;
    }
    let streams = ends.shown + ends.with_connection;
    let max_unusual = (f64::from(streams) * MAX_UNUSUAL_SHARE).max(f64::from(MIN_UNUSUAL));
    let is_unusual = streams >= MIN_STREAMS && f64::from(ends.with_connection) <= max_unusual;
    if is_unusual || ends.early > 0 {
      return EndTrust::Doubted;
    }
    EndTrust::Believed
  }

  fn ends(&mut self, service: &Name, version: &SoftwareVersion) -> &mut VersionEnds {
    let versions = self.services.entry(service.clone()).or_default();
    if versions.len() >= MAX_VERSIONS && !versions.contains_key(version) {
      versions.clear();
    }
    let ends = versions.entry(version.clone()).or_default();
    ends.halve_if_full();
    ends
  }
}
