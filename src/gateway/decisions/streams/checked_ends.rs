//! What further runs have shown of answers that ended with their connection. Free of I/O.

use {
  crate::{gateway::edge::SoftwareVersion, ids::Name},
  std::collections::{HashMap, VecDeque},
};

/// The outcomes of a version that are remembered.
const MAX_OUTCOMES: usize = 16;
/// Whole ends after which one that nothing checks counts as whole, too, unless one that is remembered was early.
const MIN_WHOLE: usize = 4;
/// The last outcomes that tell how many ends of a version are early.
const LAST_OUTCOMES: usize = 4;
/// Early ones among them at least, until most ends of the version count as early.
const MIN_EARLY: usize = 2;
/// An outcome says nothing about later ends.
const OUTCOME_LIFETIME_MS: u64 = 30_000;
/// Versions that are remembered.
const MAX_VERSIONS: usize = 256;

/// How many of a version's last ends that were checked were early.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EarlyEnds {
  /// None.
  None,
  /// One at least.
  Some,
  /// More than half of them, and two at least.
  Most,
}

/// What a further run has shown of an end.
#[derive(Clone, Copy, Debug)]
struct Outcome {
  was_early: bool,
  shown_ms: u64,
}

/// The last outcomes for each software version of a service, whose endpoints run the same code.
///
/// ```
/// use rillford::gateway::{CheckedEnds, EarlyEnds, SoftwareVersion};
/// let version = SoftwareVersion::new("v1");
/// let mut ends = CheckedEnds::default();
/// for _ in 0..2 {
///   ends.record(&"llm".into(), &version, true, 1_000);
/// }
/// assert_eq!(ends.early(&"llm".into(), &version, 2_000), EarlyEnds::Most);
/// assert_eq!(ends.early(&"llm".into(), &version, 60_000), EarlyEnds::None);
/// ```
#[derive(Debug, Default)]
pub struct CheckedEnds {
  versions: HashMap<(Name, SoftwareVersion), VecDeque<Outcome>>,
}

impl CheckedEnds {
  /// A further run has shown whether a stream that ended with its connection had ended early.
  pub fn record(
    &mut self,
    service: &Name,
    version: &SoftwareVersion,
    was_early: bool,
    now_ms: u64,
  ) {
    let key = (service.clone(), version.clone());
    if self.versions.len() >= MAX_VERSIONS && !self.versions.contains_key(&key) {
      self.versions.clear();
    }
    let outcomes = self.versions.entry(key).or_default();
    if outcomes.len() == MAX_OUTCOMES {
      outcomes.pop_front();
    }
    outcomes.push_back(Outcome {
      shown_ms: now_ms,
      was_early,
    });
  }

  /// Whether the version's last ends that were checked were whole; not while few are known.
  pub fn are_whole(&self, service: &Name, version: &SoftwareVersion, now_ms: u64) -> bool {
    let counted = self.counted(service, version, now_ms);
    counted.len() >= MIN_WHOLE && counted.iter().all(|outcome| !outcome.was_early)
  }

  /// The outcomes of a version that count still.
  fn counted(&self, service: &Name, version: &SoftwareVersion, now_ms: u64) -> Vec<Outcome> {
    let outcomes = self.versions.get(&(service.clone(), version.clone()));
    let counts = |outcome: &&Outcome| now_ms < outcome.shown_ms + OUTCOME_LIFETIME_MS;
    outcomes
      .into_iter()
      .flatten()
      .filter(counts)
      .copied()
      .collect()
  }

  /// How many of the version's last ends that were checked were early.
  pub fn early(&self, service: &Name, version: &SoftwareVersion, now_ms: u64) -> EarlyEnds {
    let mut counted = self.counted(service, version, now_ms);
    let last = counted.split_off(counted.len().saturating_sub(LAST_OUTCOMES));
    let early = last.iter().filter(|outcome| outcome.was_early).count();
    match early {
      0 => EarlyEnds::None,
      _ if early >= MIN_EARLY && early * 2 > last.len() => EarlyEnds::Most,
      _ => EarlyEnds::Some,
    }
  }
}
