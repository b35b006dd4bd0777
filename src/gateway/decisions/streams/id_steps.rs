//! How the events of a software version are numbered, so that an absent or a spoilt event shows. Free of I/O.

use {
  crate::{gateway::edge::SoftwareVersion, ids::Name},
  std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Streams that keep a rule, until the version does.
const MIN_KEPT: u32 = 4;
/// Streams that break it, until the version does not, or other ones are allowed.
const MIN_BROKEN: u32 = 2;
/// Streams with an event without an id, from which on the version's events need none.
const MIN_INCOMPLETE: u32 = 1;
/// Streams with an event that has an id and no data, from which on the version's events need none.
const MIN_WITHOUT_DATA: u32 = 1;
/// Streams after which both counts are halved, so that they follow a change.
const HALVED_AT: u32 = 64;
/// Names of ignored fields that are remembered of a version.
const MAX_IGNORED_FIELDS: usize = 32;
/// Versions that are remembered.
const MAX_VERSIONS: usize = 256;

/// How the ids of a version's events rise.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum IdSteps {
  /// Too few streams have shown it.
  #[default]
  Unknown,
  /// By one for each event.
  Single,
  /// By other steps, as the number of tokens so far does.
  Any,
}

/// How the events of a version are numbered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Numbering {
  /// How ids rise.
  pub steps: IdSteps,
  /// Whether streams are known to begin with the lowest id.
  pub begins_lowest: bool,
  /// Whether all events with data are known to have an id.
  pub is_complete: bool,
  /// Whether all events with an id are known to have data.
  pub has_all_data: bool,
  /// Whether ids are known to be no numbers at times.
  pub has_unreadable_ids: bool,
  /// Names of fields that readers ignore and the version is known to send.
  pub ignored_fields: BTreeSet<Name>,
}

/// What one stream has shown, also by events for which it was aborted; `None` where too few events have come, or none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamIds {
  /// Whether an id was skipped.
  pub has_skipped: Option<bool>,
  /// Whether it began with the lowest id.
  pub began_lowest: Option<bool>,
  /// Whether all events with data had an id.
  pub was_complete: Option<bool>,
  /// Whether all events with an id of their own had data.
  pub had_all_data: Option<bool>,
  /// Whether it was aborted for an id that is no number.
  pub had_unreadable_ids: bool,
  /// Names of ignored fields for which it was aborted, since each might be that of another field.
  pub ignored_fields: BTreeSet<Name>,
}

/// Streams that kept a rule, and that broke it.
#[derive(Clone, Copy, Debug, Default)]
struct Rule {
  kept: u32,
  broken: u32,
}

impl Rule {
  fn record(&mut self, is_kept: Option<bool>) {
    let Some(is_kept) = is_kept else {
      return;
    };
    if self.kept + self.broken >= HALVED_AT {
      self.kept /= 2;
      self.broken /= 2;
    }
    match is_kept {
      true => self.kept += 1,
      false => self.broken += 1,
    }
  }

  /// Whether the version keeps it; `None` while too few streams have shown it.
  fn is_kept(self) -> Option<bool> {
    let Self { kept, broken } = self;
    if broken > kept && broken >= MIN_BROKEN {
      Some(false)
    } else if kept > broken && kept >= MIN_KEPT {
      Some(true)
    } else {
      None
    }
  }
}

/// A habit of a version's streams. Those without it are never forgotten: a few of a version's requests may always have such streams.
#[derive(Clone, Copy, Debug, Default)]
struct Habit {
  with: u32,
  without: u32,
}

impl Habit {
  fn record(&mut self, has_habit: Option<bool>) {
    match has_habit {
      Some(true) => self.with = self.with.saturating_add(1),
      Some(false) => self.without = self.without.saturating_add(1),
      None => {}
    }
  }

  /// Whether enough streams have it, and fewer than some are without it.
  fn holds(self, min_without: u32) -> bool {
    self.with >= MIN_KEPT && self.without < min_without
  }
}

/// The streams of one version.
#[derive(Debug, Default)]
struct Streams {
  single_steps: Rule,
  lowest_first: Habit,
  complete: Habit,
  all_data: Habit,
  /// Streams that were aborted for an id that is no number.
  unreadable_ids: u32,
  /// Streams that were aborted for each ignored field.
  ignored_fields: BTreeMap<Name, u32>,
}

impl Streams {
  fn record_ignored_fields(&mut self, fields: BTreeSet<Name>) {
    for field in fields {
      if self.ignored_fields.len() >= MAX_IGNORED_FIELDS {
        // Names that came once may be spoilt ones.
        self.ignored_fields.retain(|_, count| *count >= MIN_BROKEN);
      }
      if self.ignored_fields.len() < MAX_IGNORED_FIELDS || self.ignored_fields.contains_key(&field)
      {
        let count = self.ignored_fields.entry(field).or_default();
        *count = count.saturating_add(1);
      }
    }
  }

  fn known_ignored_fields(&self) -> BTreeSet<Name> {
    let known = self.ignored_fields.iter();
    let known = known.filter(|(_, count)| **count >= MIN_BROKEN);
    known.map(|(field, _)| field.clone()).collect()
  }
}

/// How events are numbered in the streams of each service's software versions.
///
/// ```
/// use rillford::gateway::{IdSteps, SoftwareVersion, StreamIds, VersionIdSteps};
/// let version = SoftwareVersion::new("v1");
/// let mut steps = VersionIdSteps::default();
/// assert_eq!(steps.of(&"llm".into(), &version).steps, IdSteps::Unknown);
/// for _ in 0..4 {
///   let ids = StreamIds { has_skipped: Some(false), ..StreamIds::default() };
///   steps.record(&"llm".into(), &version, ids);
/// }
/// assert_eq!(steps.of(&"llm".into(), &version).steps, IdSteps::Single);
/// ```
#[derive(Debug, Default)]
pub struct VersionIdSteps {
  versions: HashMap<(Name, SoftwareVersion), Streams>,
}

impl VersionIdSteps {
  /// Records what a stream has shown.
  pub fn record(&mut self, service: &Name, version: &SoftwareVersion, ids: StreamIds) {
    let key = (service.clone(), version.clone());
    if self.versions.len() >= MAX_VERSIONS && !self.versions.contains_key(&key) {
      self.versions.clear();
    }
    let streams = self.versions.entry(key).or_default();
    let has_single_steps = ids.has_skipped.map(|has_skipped| !has_skipped);
    streams.single_steps.record(has_single_steps);
    streams.lowest_first.record(ids.began_lowest);
    streams.complete.record(ids.was_complete);
    streams.all_data.record(ids.had_all_data);
    streams.record_ignored_fields(ids.ignored_fields);
    let unreadable_ids = &mut streams.unreadable_ids;
    *unreadable_ids = unreadable_ids.saturating_add(ids.had_unreadable_ids.into());
  }

  /// How the events of a version are numbered.
  pub fn of(&self, service: &Name, version: &SoftwareVersion) -> Numbering {
    let Some(streams) = self.versions.get(&(service.clone(), version.clone())) else {
      return Numbering::default();
    };
    Numbering {
      ignored_fields: streams.known_ignored_fields(),
      has_unreadable_ids: streams.unreadable_ids >= MIN_BROKEN,
      has_all_data: streams.all_data.holds(MIN_WITHOUT_DATA),
      begins_lowest: streams.lowest_first.holds(MIN_BROKEN),
      // Some requests may ask for an event more, as one with the usage, which has no id.
      is_complete: streams.complete.holds(MIN_INCOMPLETE),
      steps: match streams.single_steps.is_kept() {
        None => IdSteps::Unknown,
        Some(true) => IdSteps::Single,
        Some(false) => IdSteps::Any,
      },
    }
  }
}
