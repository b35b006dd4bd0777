//! The records of a service's versions over a release, in virtual time, while boxes are killed.

use {
  rillford::{
    gateway::{
      BoxEntry, BoxList, RecordChange, RecordMaker, RecordState, ServiceVersion, ServiceVersions,
      SoftwareVersion, VersionRecord, VersionRecords,
    },
    ids::Name,
  },
  rstest::rstest,
  std::collections::{BTreeMap, BTreeSet},
};

const TICK_MS: u64 = 50;
const CHECK_INTERVAL_MS: u64 = 250;
/// How long a stream may be resumed.
const KEEP_MS: u64 = 24_000;
const SECOND_LISTED_MS: u64 = 5_000;
const FIRST_UNLISTED_MS: u64 = 8_000;
const RESTART_MS: u64 = 300;
/// Until a version that is not listed is retired.
const RETIRE_DELAY_MS: u64 = 5_000;
/// The oldest view of the store under which a stream may begin.
const MAX_VIEW_AGE_MS: u64 = 30_000;
/// The last box hears of a change this long after the first.
const MAX_WATCH_MS: u64 = 200;
const SERVICE: &str = "llm";

#[derive(Clone)]
enum Event {
  Listed(SoftwareVersion),
  Unlisted(SoftwareVersion),
  Recorded(Name, VersionRecord, u64),
  Removed(Name, u64),
}

/// The store, with all that it was told and when.
#[derive(Default)]
struct SimStore {
  listed: BTreeSet<SoftwareVersion>,
  /// When each version was listed last.
  last_listed_ms: BTreeMap<SoftwareVersion, u64>,
  records: BTreeMap<Name, (VersionRecord, u64)>,
  events: Vec<(u64, Event)>,
  calls: usize,
}

impl SimStore {
  fn list(&mut self, version: &SoftwareVersion, now_ms: u64) {
    self.listed.insert(version.clone());
    self.events.push((now_ms, Event::Listed(version.clone())));
  }

  fn unlist(&mut self, version: &SoftwareVersion, now_ms: u64) {
    self.listed.remove(version);
    self.events.push((now_ms, Event::Unlisted(version.clone())));
  }

  /// The revision of a record; 0 if there is none.
  fn revision_of(&self, key: &Name) -> u64 {
    self.records.get(key).map_or(0, |(_, revision)| *revision)
  }

  fn next_revision(&self) -> u64 {
    self.events.len() as u64 + 1
  }

  fn make(&mut self, change: RecordChange, now_ms: u64) {
    self.calls += 1;
    match change {
      RecordChange::Write(record, expected)
        if self.revision_of(&record.subject.key()) == expected =>
      {
        let (key, revision) = (record.subject.key(), self.next_revision());
        self.records.insert(key.clone(), (record.clone(), revision));
        let recorded = Event::Recorded(key, record, revision);
        self.events.push((now_ms, recorded));
      }
      RecordChange::Remove(version, expected) if self.revision_of(&version.key()) == expected => {
        let revision = self.next_revision();
        self.records.remove(&version.key());
        let removed = Event::Removed(version.key(), revision);
        self.events.push((now_ms, removed));
      }
      _ => {}
    }
  }
}

/// A box since its last start.
struct SimBox {
  name: Name,
  watch_ms: u64,
  next_event: usize,
  versions: ServiceVersions,
  records: VersionRecords,
}

impl SimBox {
  /// Starts a box, which lists the store.
  fn start(number: usize, store: &SimStore, now_ms: u64) -> Self {
    let mut started = Self {
      name: format!("box-{number}").as_str().into(),
      next_event: store.events.len(),
      records: VersionRecords::default(),
      versions: ServiceVersions::default(),
      watch_ms: number as u64 * 7 % MAX_WATCH_MS,
    };
    for (key, (record, revision)) in &store.records {
      started.put_record(key.clone(), record.clone(), *revision, now_ms);
    }
    for version in &store.listed {
      started.versions.add(&SERVICE.into(), version);
    }
    started
  }

  fn put_record(&mut self, key: Name, record: VersionRecord, revision: u64, now_ms: u64) {
    let ServiceVersion { service, version } = &record.subject;
    self.versions.report(service, version);
    self.records.put(key, record, revision, now_ms);
  }

  fn expire(&mut self, now_ms: u64) {
    for ServiceVersion { service, version } in self.records.recorded() {
      self.versions.report(service, version);
    }
    self.versions.expire(now_ms, KEEP_MS);
  }

  fn watch(&mut self, store: &SimStore, now_ms: u64) {
    while let Some((at_ms, event)) = store.events.get(self.next_event) {
      if now_ms < at_ms + self.watch_ms {
        return;
      }
      self.next_event += 1;
      match event.clone() {
        Event::Listed(version) => self.versions.add(&SERVICE.into(), &version),
        Event::Unlisted(version) => self.versions.remove(SERVICE, &version),
        Event::Recorded(key, record, revision) => self.put_record(key, record, revision, now_ms),
        Event::Removed(key, revision) => self.records.remove(&key, revision),
      }
    }
  }
}

/// A box that makes changes of records.
fn maker<'a>(boxes: &'a BoxList, box_name: &'a str, now_ms: u64) -> RecordMaker<'a> {
  RecordMaker {
    box_name,
    boxes,
    is_current: true,
    lifetime_ms: KEEP_MS,
    now_ms,
  }
}

fn version(text: &str) -> SoftwareVersion {
  SoftwareVersion::new(text)
}

/// Plays a release and kills all boxes at some times; returns the store at the end.
fn play_release(boxes: usize, kills_ms: &[u64]) -> SimStore {
  let mut list = BoxList::default();
  for number in 0..boxes {
    let entry = BoxEntry {
      address: ([127, 0, 0, 1], number as u16).into(),
      hall: "north".into(),
    };
    list.put(format!("box-{number}").as_str().into(), entry);
  }
  let (first, second) = (version("v1"), version("v2"));
  let mut store = SimStore::default();
  store.list(&first, 0);
  let start = |store: &SimStore, now_ms| -> Vec<SimBox> {
    (0..boxes)
      .map(|number| SimBox::start(number, store, now_ms))
      .collect()
  };
  let mut running = start(&store, 0);
  let last_kill_ms = kills_ms.iter().max().copied().unwrap_or(0);
  let removed_ms = RETIRE_DELAY_MS + KEEP_MS + MAX_VIEW_AGE_MS;
  let end_ms = FIRST_UNLISTED_MS.max(last_kill_ms) + removed_ms + 2_000;
  for now_ms in (0..end_ms).step_by(TICK_MS as usize) {
    if now_ms == SECOND_LISTED_MS {
      store.list(&second, now_ms);
    }
    if now_ms == FIRST_UNLISTED_MS {
      store.unlist(&first, now_ms);
    }
    for version in &store.listed {
      store.last_listed_ms.insert(version.clone(), now_ms);
    }
    if kills_ms.contains(&now_ms) {
      running.clear();
    }
    if kills_ms.contains(&now_ms.wrapping_sub(RESTART_MS)) {
      running = start(&store, now_ms);
    }
    for sim in &mut running {
      sim.watch(&store, now_ms);
      if now_ms.is_multiple_of(CHECK_INTERVAL_MS) {
        sim.expire(now_ms);
        let maker = maker(&list, &sim.name, now_ms);
        let due = sim.records.due(|_| true, &sim.versions, maker);
        due
          .into_iter()
          .for_each(|change| store.make(change, now_ms));
      }
      check_known(sim, &store, now_ms);
    }
  }
  store
}

/// A box knows each version that it may have heard of and that may have begun a stream which is still resumed.
fn check_known(sim: &SimBox, store: &SimStore, now_ms: u64) {
  let known = sim.versions.of(SERVICE);
  for (version, last_ms) in &store.last_listed_ms {
    let is_new = *version == self::version("v2") && now_ms < SECOND_LISTED_MS + MAX_WATCH_MS;
    if !is_new && now_ms < last_ms + KEEP_MS {
      assert!(
        known.contains(version),
        "{} at {now_ms} ms: {known:?}",
        sim.name
      );
    }
  }
}

/// Guards against boxes that forget a version in a kill of all boxes, at any moment of a release.
#[rstest]
#[case::alone(1)]
#[case::small(6)]
#[case::medium(60)]
fn versions_are_known_after_kills_of_all_boxes(#[case] boxes: usize) {
  let steps = if boxes > 6 { 2_000 } else { 250 };
  for kill_ms in (2_000..34_000).step_by(steps) {
    for kills_ms in [vec![kill_ms], vec![kill_ms, kill_ms + 1_500]] {
      let store = play_release(boxes, &kills_ms);
      let recorded: Vec<_> = store
        .records
        .values()
        .map(|(record, _)| &record.subject.version)
        .collect();
      assert_eq!(recorded, [&version("v2")], "killed at {kills_ms:?}");
    }
  }
}

/// Guards against a write of each box for each change, which the store would reject.
#[rstest]
#[case::smallest(6)]
#[case::medium(300)]
#[case::target(985)]
fn few_boxes_write_a_record(#[case] boxes: usize) {
  // Two versions are recorded, and one record is retired and removed.
  let calls = play_release(boxes, &[]).calls;
  assert!(calls <= 6, "{calls} calls");
}

/// Guards against a record that the box which is first in order never writes.
#[test]
fn another_box_writes_a_record_when_the_first_one_does_not() {
  let mut list = BoxList::default();
  for name in ["box-0", "box-1", "box-2"] {
    let entry = BoxEntry {
      address: ([127, 0, 0, 1], 1).into(),
      hall: "north".into(),
    };
    list.put(name.into(), entry);
  }
  let mut versions = ServiceVersions::default();
  versions.add(&SERVICE.into(), &version("v1"));
  let mut first_due_ms = |name: &str| {
    let mut records = VersionRecords::default();
    (0..10_000)
      .step_by(CHECK_INTERVAL_MS as usize)
      .find(|now_ms| {
        !records
          .due(|_| true, &versions, maker(&list, name, *now_ms))
          .is_empty()
      })
  };
  let due_ms: BTreeSet<_> = ["box-0", "box-1", "box-2", "unlisted"]
    .map(&mut first_due_ms)
    .into();
  assert_eq!(due_ms.len(), 4);
  assert!(due_ms.iter().all(Option::is_some));
}

/// Guards against boxes that record a version again, one after the other, when its record is removed.
#[test]
fn version_that_is_known_from_its_record_alone_is_not_recorded_again() {
  let former = ServiceVersion {
    service: SERVICE.into(),
    version: version("v1"),
  };
  let mut records = VersionRecords::default();
  let mut versions = ServiceVersions::default();
  let record = VersionRecord {
    subject: former.clone(),
    state: RecordState::Active,
    lifetime_ms: KEEP_MS,
  };
  records.put(former.key(), record, 1, 0);
  versions.report(&former.service, &former.version);
  records.remove(&former.key(), 2);
  for now_ms in (0..10_000).step_by(CHECK_INTERVAL_MS as usize) {
    let boxes = BoxList::default();
    let due = records.due(|_| true, &versions, maker(&boxes, "box-0", now_ms));
    assert_eq!(due, []);
  }
}
