//! Versions that are recorded before their first streams, in virtual time: boxes with views of the store that lag, are cut off, and
//! are killed; writes and reads whose responses are late or lost; releases and configurations that overlap.

use {
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    gateway::{
      BoxEntry, BoxList, RecordChange, RecordMaker, ServiceVersion, ServiceVersions,
      SoftwareVersion, VersionRecord, VersionRecords,
    },
    ids::Name,
  },
  rstest::rstest,
  std::{
    collections::{BTreeMap, BTreeSet},
    ops::AddAssign,
  },
};

const TICK_MS: u64 = 100;
const END_MS: u64 = 300_000;
const CHECK_INTERVAL_MS: u64 = 1_000;
const SERVICE: &str = "llm";
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// Timeouts of the longest route of a configuration.
const TIMEOUTS_MS: [u64; 3] = [2_000, 8_000, 50_000];
const RETURN_MS: u64 = 10_000;
/// The last box hears of a change this long after the store has carried it out.
const MAX_WATCH_MS: u64 = 2_000;
/// The first listing of a box that starts is this old at most.
const MAX_LISTING_MS: u64 = 3_000;
const MAX_CUT_MS: u64 = 20_000;
/// A call, and its response, take this long at most.
const MAX_CALL_MS: u64 = 2_000;

/// The rules that boxes follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rules {
  /// Those of the product.
  Kept,
  /// Streams begin and go on before their version is recorded.
  SendsBeforeRecord,
  /// The only version is concluded from a box's view of the records.
  ConcludesFromView,
}

#[derive(Clone)]
enum Event {
  Listed(SoftwareVersion),
  Unlisted(SoftwareVersion),
  Written(VersionRecord, u64),
  Removed(ServiceVersion, u64),
}

/// The store: what it has carried out, and when.
#[derive(Default)]
struct SimStore {
  listed: BTreeSet<SoftwareVersion>,
  records: BTreeMap<Name, (VersionRecord, u64)>,
  events: Vec<(u64, Event)>,
}

impl SimStore {
  /// The revision of the next change.
  fn next_revision(&self) -> u64 {
    self.events.len() as u64 + 1
  }

  /// An engine of a version is listed, or not any more.
  fn toggle(&mut self, version: &SoftwareVersion, now_ms: u64) {
    let event = match self.listed.remove(version) {
      true => Event::Unlisted(version.clone()),
      false => {
        self.listed.insert(version.clone());
        Event::Listed(version.clone())
      }
    };
    self.events.push((now_ms, event));
  }

  /// Carries out a change; returns its revision, or `None` if its condition does not hold.
  fn make(&mut self, change: &RecordChange, now_ms: u64) -> Option<u64> {
    let next = self.next_revision();
    let stored =
      |subject: &ServiceVersion| self.records.get(&subject.key()).map_or(0, |(_, at)| *at);
    let event = match change {
      RecordChange::Write(record, revision) if stored(&record.subject) == *revision => {
        let key = record.subject.key();
        self.records.insert(key, (record.clone(), next));
        Event::Written(record.clone(), next)
      }
      RecordChange::Remove(subject, revision) if stored(subject) == *revision => {
        self.records.remove(&subject.key())?;
        Event::Removed(subject.clone(), next)
      }
      RecordChange::Write(..) | RecordChange::Remove(..) => return None,
    };
    self.events.push((now_ms, event));
    Some(next)
  }

  fn read(&self) -> Vec<(VersionRecord, u64)> {
    self.records.values().cloned().collect()
  }
}

/// A box since its last start.
struct SimBox {
  name: Name,
  /// Calls of a box that has restarted since are not answered.
  start: u64,
  /// It is down until then.
  starts_ms: u64,
  cut_until_ms: u64,
  next_event: usize,
  versions: ServiceVersions,
  records: VersionRecords,
  /// The streams that it began or that went on there.
  origins: BTreeMap<u64, SoftwareVersion>,
  timeout_ms: u64,
}

impl SimBox {
  fn apply(&mut self, event: &Event, now_ms: u64) {
    match event {
      Event::Listed(version) => self.versions.add(&SERVICE.into(), version),
      Event::Unlisted(version) => self.versions.remove(SERVICE, version),
      Event::Written(record, revision) => {
        let key = record.subject.key();
        self.records.put(key, record.clone(), *revision, now_ms);
      }
      Event::Removed(subject, revision) => self.records.remove(&subject.key(), *revision),
    }
  }

  fn is_up(&self, now_ms: u64) -> bool {
    self.starts_ms <= now_ms
  }

  fn is_cut(&self, now_ms: u64) -> bool {
    now_ms < self.cut_until_ms
  }

  /// How long a stream may be resumed after it was sent.
  fn lifetime_ms(&self) -> u64 {
    self.timeout_ms + RETURN_MS
  }

  /// Whether a stream that may be resumed for a time may be sent to engines of a version.
  fn may_send(&mut self, version: &SoftwareVersion, resumable_ms: u64, rules: Rules) -> bool {
    if self.versions.listed(SERVICE, version) == 0 {
      return false;
    }
    let subject = subject(version);
    let is_covered = self.records.covers(&subject, resumable_ms).is_some();
    if !is_covered {
      self.records.want(subject);
    }
    is_covered || rules == Rules::SendsBeforeRecord
  }
}

struct Stream {
  origin: SoftwareVersion,
  resumable_until_ms: u64,
}

/// A call of a box to the store, or its response.
enum Call {
  /// The first listing of a box that starts, as of a time.
  List(u64),
  Change(RecordChange),
  Changed(VersionRecord, u64),
  /// For a stream.
  Read(u64),
  /// The records that the read has found.
  Answer(u64, Vec<(VersionRecord, u64)>),
}

struct PendingCall {
  at_ms: u64,
  box_index: usize,
  box_start: u64,
  call: Call,
}

#[derive(Clone, Copy, Debug, Default)]
struct Totals {
  begun: usize,
  /// Streams that went on at a box that remembers them.
  remembered: usize,
  /// Streams that went on at the only recorded version.
  only_version: usize,
  /// Requests that could not go on: several versions are recorded.
  several_versions: usize,
  /// Requests for which another version was concluded than the one that began the stream.
  joined: usize,
  /// Reads that did not name the version which began the stream.
  unnamed: usize,
  removed: usize,
  /// Boxes whose view is not that of the store in the end.
  wrong_views: usize,
}

impl AddAssign for Totals {
  fn add_assign(&mut self, other: Self) {
    self.begun += other.begun;
    self.remembered += other.remembered;
    self.only_version += other.only_version;
    self.several_versions += other.several_versions;
    self.joined += other.joined;
    self.unnamed += other.unnamed;
    self.removed += other.removed;
    self.wrong_views += other.wrong_views;
  }
}

struct Play {
  random: ChaCha8Rng,
  rules: Rules,
  now_ms: u64,
  store: SimStore,
  list: BoxList,
  boxes: Vec<SimBox>,
  calls: Vec<PendingCall>,
  streams: BTreeMap<u64, Stream>,
  totals: Totals,
}

fn subject(version: &SoftwareVersion) -> ServiceVersion {
  ServiceVersion {
    service: SERVICE.into(),
    version: version.clone(),
  }
}

impl Play {
  fn new(boxes: usize, seed: u64, rules: Rules) -> Self {
    let names = (0..boxes).map(|number| Name::from(format!("box-{number}").as_str()));
    let mut list = BoxList::default();
    for (number, name) in names.clone().enumerate() {
      let entry = BoxEntry {
        address: ([127, 0, 0, 1], number as u16).into(),
        hall: "north".into(),
      };
      list.put(name, entry);
    }
    let boxes = names.map(|name| SimBox {
      cut_until_ms: 0,
      name,
      next_event: 0,
      origins: BTreeMap::new(),
      records: VersionRecords::default(),
      start: 0,
      starts_ms: 0,
      timeout_ms: TIMEOUTS_MS[0],
      versions: ServiceVersions::default(),
    });
    let mut play = Self {
      boxes: boxes.collect(),
      calls: Vec::new(),
      list,
      now_ms: 0,
      random: ChaCha8Rng::seed_from_u64(seed),
      rules,
      store: SimStore::default(),
      streams: BTreeMap::new(),
      totals: Totals::default(),
    };
    play.store.toggle(&SoftwareVersion::new(VERSIONS[0]), 0);
    play
  }

  fn run(mut self) -> Totals {
    for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
      self.now_ms = now_ms;
      self.change_surroundings();
      self.make_calls();
      for index in 0..self.boxes.len() {
        self.watch(index);
        self.check_records(index);
      }
      self.begin_streams();
      self.resume_streams();
    }
    self.check_views();
    self.totals
  }

  /// Boxes that have heard of all changes know the records of the store.
  fn check_views(&mut self) {
    for own in &mut self.boxes {
      if !own.is_up(self.now_ms) {
        continue;
      }
      for (_, event) in &self.store.events[own.next_event..] {
        own.apply(event, self.now_ms);
      }
      let is_same = own.records.keys().eq(self.store.records.keys());
      self.totals.wrong_views += usize::from(!is_same);
    }
  }

  /// Whether something occurs in this tick that occurs once in a time on average.
  fn occurs(&mut self, interval_ms: u64) -> bool {
    self
      .random
      .random_bool((TICK_MS as f64 / interval_ms as f64).min(1.0))
  }

  fn delay_ms(&mut self, max_ms: u64) -> u64 {
    self.random.random_range(0..=max_ms)
  }

  /// Releases, crashes of engines, configurations, kills of boxes and cuts.
  fn change_surroundings(&mut self) {
    for name in VERSIONS {
      let version = SoftwareVersion::new(name);
      // A version is away for longer than it is listed, so that its record is removed.
      let interval_ms = match self.store.listed.contains(&version) {
        true => 25_000,
        false => 75_000,
      };
      if self.occurs(interval_ms) {
        self.store.toggle(&version, self.now_ms);
      }
    }
    let kills_all = self.occurs(60_000);
    let is_configured = self.occurs(30_000);
    let timeout_ms = TIMEOUTS_MS[self.random.random_range(0..TIMEOUTS_MS.len())];
    for index in 0..self.boxes.len() {
      if kills_all {
        self.restart(index);
      }
      // Boxes hear of a configuration at different times, or not at all.
      if is_configured && self.random.random_bool(0.7) {
        self.boxes[index].timeout_ms = timeout_ms;
      }
    }
    if self.occurs(15_000) {
      let index = self.random.random_range(0..self.boxes.len());
      self.restart(index);
    }
    if self.occurs(10_000) {
      let index = self.random.random_range(0..self.boxes.len());
      self.boxes[index].cut_until_ms = self.now_ms + self.delay_ms(MAX_CUT_MS);
    }
  }

  /// Kills a box. It starts with a listing of the store that may be old.
  fn restart(&mut self, index: usize) {
    let starts_ms = self.now_ms + 300 + self.delay_ms(2_000);
    let stale_ms = self.delay_ms(MAX_LISTING_MS);
    let killed = &mut self.boxes[index];
    killed.start += 1;
    killed.starts_ms = starts_ms;
    killed.next_event = 0;
    killed.origins.clear();
    killed.records = VersionRecords::default();
    killed.versions = ServiceVersions::default();
    killed.cut_until_ms = 0;
    let listed_ms = starts_ms.saturating_sub(stale_ms);
    // Events until then arrive with the listing, and those that follow from the watch.
    self.calls.push(PendingCall {
      at_ms: starts_ms,
      box_index: index,
      box_start: killed.start,
      call: Call::List(listed_ms),
    });
  }

  /// Carries out the calls that have arrived at the store, and the responses that have arrived at boxes.
  fn make_calls(&mut self) {
    let now_ms = self.now_ms;
    let due = self.calls.extract_if(.., |pending| pending.at_ms <= now_ms);
    for pending in due.collect::<Vec<_>>() {
      self.make_call(pending);
    }
  }

  fn respond(&mut self, box_index: usize, box_start: u64, call: Call) {
    if self.random.random_bool(0.15) {
      // The response is lost.
      return;
    }
    self.send(box_index, box_start, call);
  }

  fn send(&mut self, box_index: usize, box_start: u64, call: Call) {
    let at_ms = self.now_ms + self.delay_ms(MAX_CALL_MS);
    self.calls.push(PendingCall {
      at_ms,
      box_index,
      box_start,
      call,
    });
  }

  fn make_call(&mut self, pending: PendingCall) {
    let PendingCall {
      box_index,
      box_start,
      call,
      ..
    } = pending;
    let now_ms = self.now_ms;
    let is_alive = self.boxes[box_index].start == box_start;
    match call {
      Call::Change(change) => {
        let Some(revision) = self.store.make(&change, now_ms) else {
          return;
        };
        match change {
          RecordChange::Write(record, _) => {
            self.respond(box_index, box_start, Call::Changed(record, revision));
          }
          RecordChange::Remove(..) => self.totals.removed += 1,
        }
      }
      Call::Read(stream) => {
        let found = self.store.read();
        self.respond(box_index, box_start, Call::Answer(stream, found));
      }
      Call::List(listed_ms) if is_alive => self.list_store(box_index, listed_ms),
      Call::Changed(record, revision) if is_alive => {
        let key = record.subject.key();
        let records = &mut self.boxes[box_index].records;
        records.put(key, record, revision, now_ms);
      }
      Call::Answer(stream, found) if is_alive => self.read_records(box_index, stream, found),
      Call::List(_) | Call::Changed(..) | Call::Answer(..) => {}
    }
  }

  fn list_store(&mut self, index: usize, listed_ms: u64) {
    let events = &self.store.events;
    let listed = events.partition_point(|(at_ms, _)| *at_ms <= listed_ms);
    let own = &mut self.boxes[index];
    for (_, event) in &events[..listed] {
      own.apply(event, self.now_ms);
    }
    own.next_event = listed;
  }

  /// A box hears of the changes in the store, in their order and late.
  fn watch(&mut self, index: usize) {
    let now_ms = self.now_ms;
    let own = &mut self.boxes[index];
    if !own.is_up(now_ms) || own.is_cut(now_ms) {
      return;
    }
    while let Some((at_ms, event)) = self.store.events.get(own.next_event) {
      // Drawn again in each tick until the latest time.
      let is_late = now_ms < at_ms + MAX_WATCH_MS;
      if is_late && self.random.random_bool(0.9) {
        return;
      }
      own.next_event += 1;
      own.apply(event, now_ms);
    }
  }

  fn check_records(&mut self, index: usize) {
    let now_ms = self.now_ms;
    let offset_ms = index as u64 * TICK_MS;
    let own = &mut self.boxes[index];
    let is_checked = (now_ms + offset_ms).is_multiple_of(CHECK_INTERVAL_MS);
    if !is_checked || !own.is_up(now_ms) || own.is_cut(now_ms) {
      return;
    }
    let maker = RecordMaker {
      box_name: &own.name,
      boxes: &self.list,
      is_current: true,
      lifetime_ms: own.lifetime_ms(),
      now_ms,
    };
    let due = own.records.due(|_| true, &own.versions, maker);
    let start = own.start;
    for change in due {
      // Some writes are lost, others are carried out late.
      if self.random.random_bool(0.9) {
        self.send(index, start, Call::Change(change));
      }
    }
  }

  /// Draws a box that serves.
  fn serving_box(&mut self) -> Option<usize> {
    let index = self.random.random_range(0..self.boxes.len());
    self.boxes[index].is_up(self.now_ms).then_some(index)
  }

  fn begin_streams(&mut self) {
    if !self.occurs(300) {
      return;
    }
    let Some(index) = self.serving_box() else {
      return;
    };
    let versions: Vec<_> = self.boxes[index].versions.all_listed().collect();
    if versions.is_empty() {
      return;
    }
    let version = versions[self.random.random_range(0..versions.len())]
      .version
      .clone();
    let stream = self.totals.begun as u64;
    if self.send_stream(index, stream, &version) {
      self.totals.begun += 1;
    }
  }

  /// Sends a stream to an engine of a version, if it may be sent there.
  fn send_stream(&mut self, index: usize, stream: u64, version: &SoftwareVersion) -> bool {
    let own = &mut self.boxes[index];
    let resumable_ms = own.lifetime_ms();
    if !own.may_send(version, resumable_ms, self.rules) {
      return false;
    }
    own.origins.insert(stream, version.clone());
    let resumable_until_ms = self.now_ms + resumable_ms;
    let sent = self.streams.entry(stream).or_insert_with(|| Stream {
      origin: version.clone(),
      resumable_until_ms,
    });
    sent.resumable_until_ms = sent.resumable_until_ms.max(resumable_until_ms);
    true
  }

  fn resume_streams(&mut self) {
    let now_ms = self.now_ms;
    // Requests that have arrived in time may still be served.
    self
      .streams
      .retain(|_, stream| now_ms < stream.resumable_until_ms + 2 * MAX_CALL_MS);
    if self.streams.is_empty() || !self.occurs(150) {
      return;
    }
    let Some(index) = self.serving_box() else {
      return;
    };
    let position = self.random.random_range(0..self.streams.len());
    let drawn = self.streams.iter().nth(position);
    let drawn = drawn.filter(|(_, stream)| now_ms < stream.resumable_until_ms);
    let Some(stream) = drawn.map(|(stream, _)| *stream) else {
      return;
    };
    if self.random.random_bool(0.05) {
      // It ends.
      self.streams.remove(&stream);
      return;
    }
    if let Some(version) = self.boxes[index].origins.get(&stream).cloned() {
      if self.send_stream(index, stream, &version) {
        self.totals.remembered += 1;
      }
      return;
    }
    if self.rules == Rules::ConcludesFromView {
      let recorded = self.boxes[index].records.recorded();
      let recorded = recorded.map(|subject| subject.version.clone()).collect();
      return self.conclude(index, stream, &recorded);
    }
    if !self.boxes[index].is_cut(now_ms) {
      let start = self.boxes[index].start;
      self.send(index, start, Call::Read(stream));
    }
  }

  fn read_records(&mut self, index: usize, stream: u64, found: Vec<(VersionRecord, u64)>) {
    let mut recorded = BTreeSet::new();
    for (record, revision) in found {
      recorded.insert(record.subject.version.clone());
      let key = record.subject.key();
      let records = &mut self.boxes[index].records;
      records.put(key, record, revision, self.now_ms);
    }
    self.conclude(index, stream, &recorded);
  }

  /// A box knows which versions are recorded.
  fn conclude(&mut self, index: usize, stream: u64, recorded: &BTreeSet<SoftwareVersion>) {
    let Some(known) = self.streams.get(&stream) else {
      // It has ended meanwhile.
      return;
    };
    let is_named = recorded.contains(&known.origin);
    self.totals.unnamed += usize::from(!is_named);
    let mut versions = recorded.iter();
    let (Some(only), None) = (versions.next(), versions.next()) else {
      self.totals.several_versions += usize::from(is_named);
      return;
    };
    if !is_named {
      self.totals.joined += 1;
      return;
    }
    if self.send_stream(index, stream, only) {
      self.totals.only_version += 1;
    }
  }
}

fn play(boxes: usize, seeds: u64, rules: Rules) -> Totals {
  let mut totals = Totals::default();
  for seed in 0..seeds {
    let played = Play::new(boxes, seed, rules).run();
    if rules == Rules::Kept {
      let wrong = [played.unnamed, played.joined, played.wrong_views];
      assert_eq!(wrong, [0; 3], "seed {seed}: {played:?}");
    }
    totals += played;
  }
  println!("{boxes} boxes, {rules:?}: {totals:?}");
  totals
}

/// Guards against a stream that goes on at another version than the one that began it, whatever is late or lost.
#[rstest]
#[case::smallest(3, 130)]
#[case::medium(8, 64)]
#[case::large(60, 6)]
fn no_stream_goes_on_at_another_version(#[case] boxes: usize, #[case] seeds: u64) {
  let totals = play(boxes, seeds, Rules::Kept);
  // The plays cover what could go wrong.
  assert!(totals.only_version > 0 && totals.several_versions > 0 && totals.removed > 0);
}

/// The check finds boxes that break a rule.
#[rstest]
#[case::sends_before_record(Rules::SendsBeforeRecord)]
#[case::concludes_from_view(Rules::ConcludesFromView)]
fn broken_rules_are_found(#[case] rules: Rules) {
  let totals = play(8, 20, rules);
  assert!(totals.joined > 0, "{totals:?}");
}
