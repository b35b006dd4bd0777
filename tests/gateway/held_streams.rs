//! Streams that a box holds for another one, which begins them at a process of unknown version.

use {
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::gateway::{
    ConnectionState, EndpointEntry, EndpointProcesses, ObservedProcess, RecordSource,
    RecordedOrigin, SoftwareVersion, StreamHold, StreamKey, StreamOrigin, StreamRecords,
    WatchedProcess,
  },
  rstest::rstest,
  std::rc::Rc,
};

const HEARTBEAT_MS: u64 = 1_200;
const EXPIRES_MS: u64 = 100_000;

fn entry(version: &str) -> EndpointEntry {
  EndpointEntry {
    address: "10.0.0.1:80".parse().unwrap(),
    cold_ms: 0,
    hall: "north".into(),
    id: "e-1".into(),
    leaving: false,
    role: None,
    service: "llm".into(),
    slots: 8,
    started_ms: None,
    version: SoftwareVersion::new(version),
  }
}

fn origin(version: &str) -> StreamOrigin {
  StreamOrigin {
    service: "llm".into(),
    version: SoftwareVersion::new(version),
  }
}

fn hold(process: &Rc<ObservedProcess>, send: u64) -> StreamHold {
  let entry = entry("v1");
  StreamHold {
    has_begun: false,
    send,
    service: entry.service,
    watched: WatchedProcess {
      address: entry.address,
      endpoint: entry.id,
      process: process.clone(),
    },
  }
}

fn process(version: &str) -> Rc<ObservedProcess> {
  let process = ObservedProcess::since(0);
  process.set_version(&SoftwareVersion::new(version));
  Rc::new(process)
}

fn key() -> StreamKey {
  StreamKey::of(None, "r0")
}

/// Guards against a stream that goes on at the version of an engine that was sent it and brought no event.
#[test]
fn held_stream_has_no_origin_until_it_has_begun() {
  let mut records = StreamRecords::default();
  records.hold(key(), hold(&process("v1"), 1), EXPIRES_MS);
  assert_eq!(records.find(&key(), 0), RecordedOrigin::Held);
  assert!(records.watched(0).is_empty());
  records.begin_held(&key(), 1);
  let known = RecordedOrigin::Known(origin("v1"));
  assert_eq!(records.find(&key(), 0), known);
  assert_eq!(records.find(&key(), EXPIRES_MS), RecordedOrigin::Unknown);
}

/// Guards against a stream that counts as begun at an engine that was sent it before or after the one that began it.
#[test]
fn stream_that_another_send_begins_has_no_origin() {
  let mut records = StreamRecords::default();
  records.hold(key(), hold(&process("v1"), 1), EXPIRES_MS);
  records.hold(key(), hold(&process("v2"), 2), EXPIRES_MS);
  records.begin_held(&key(), 1);
  assert_eq!(records.find(&key(), 0), RecordedOrigin::Ambiguous);
  records.begin_held(&key(), 2);
  assert_eq!(records.find(&key(), 0), RecordedOrigin::Ambiguous);
}

/// Guards against a stream whose first send failed, and which no other box goes on with after a later one has begun it.
#[test]
fn later_send_takes_the_place_of_one_that_brought_no_event() {
  let mut records = StreamRecords::default();
  records.hold(key(), hold(&process("v1"), 1), EXPIRES_MS);
  records.hold(key(), hold(&process("v2"), 2), EXPIRES_MS);
  records.begin_held(&key(), 2);
  let known = RecordedOrigin::Known(origin("v2"));
  assert_eq!(records.find(&key(), 0), known);
  let mut records = StreamRecords::default();
  records.hold(key(), hold(&process("v1"), 1), EXPIRES_MS);
  records.record(key(), origin("v2"), RecordSource::Peer, EXPIRES_MS);
  assert_eq!(records.find(&key(), 0), known);
}

/// Guards against a held stream of which two boxes know different origins.
#[rstest]
#[case::same("v1", RecordedOrigin::Known(origin("v1")))]
#[case::other("v2", RecordedOrigin::Ambiguous)]
fn origin_that_another_box_sends_has_to_be_that_of_the_held_stream(
  #[case] told: &str,
  #[case] expected: RecordedOrigin,
) {
  let process = Rc::new(ObservedProcess::since(0));
  let mut records = StreamRecords::default();
  records.hold(key(), hold(&process, 1), EXPIRES_MS);
  records.begin_held(&key(), 1);
  assert_eq!(records.find(&key(), 0), RecordedOrigin::Ambiguous);
  assert_eq!(records.watched(0).len(), 1);
  records.record(key(), origin(told), RecordSource::Peer, EXPIRES_MS);
  assert_eq!(records.find(&key(), 0), RecordedOrigin::Known(origin(told)));
  process.set_version(&SoftwareVersion::new("v1"));
  assert_eq!(records.find(&key(), 0), expected);
}

/// Guards against a watched process that seems to run on since a connection to the next one was opened meanwhile.
#[test]
fn watched_process_ends_with_its_connection() {
  let mut processes = EndpointProcesses::new(HEARTBEAT_MS);
  let watching = Rc::new(ConnectionState::new(|| 0));
  let watched = processes.connect_alone(&entry("v1"), &watching, 0);
  let other = Rc::new(ConnectionState::new(|| 0));
  let joinable = processes.connect(&entry("v1"), &other, 1_000);
  assert_eq!(joinable.since_ms(), 0);
  watching.record_end();
  assert!(joinable.is_observed());
  assert!(!watched.is_observed());
  processes.set_viewed(10_000);
  processes.settle(&entry("v1"));
  assert_eq!(watched.version(), None);
  assert!(joinable.version().is_some());
}

/// One start of an engine, as the holder of its streams observes it.
struct Start {
  version: &'static str,
  watched: Option<(Rc<ConnectionState>, Rc<ObservedProcess>)>,
}

impl Start {
  fn end(&self) {
    if let Some((connection, _)) = &self.watched {
      connection.record_end();
    }
  }
}

/// Guards against a holder that names another version than the one that wrote the first event of a stream.
#[rstest]
fn holder_names_no_other_version_than_that_of_the_first_event(#[values(11, 12, 13, 14)] seed: u64) {
  let mut random = ChaCha8Rng::seed_from_u64(seed);
  let mut processes = EndpointProcesses::new(HEARTBEAT_MS);
  let mut records = StreamRecords::default();
  let mut start = Start {
    version: "v1",
    watched: None,
  };
  let mut listed = entry("v1");
  let mut restarted_ms = 0;
  let mut begun: Vec<(StreamKey, &str)> = Vec::new();
  let (mut known, mut send) = (0, 0);
  for now_ms in (0..400_000).step_by(100) {
    processes.set_viewed(now_ms);
    if random.random_bool(0.01) {
      start.end();
      start = Start {
        version: ["v1", "v2"][random.random_range(0..2)],
        watched: None,
      };
      restarted_ms = now_ms;
    }
    let is_written = now_ms - restarted_ms >= random.random_range(0..=HEARTBEAT_MS);
    if is_written && listed.version != SoftwareVersion::new(start.version) {
      let written = entry(start.version);
      processes.replace_entry(&listed, &written);
      processes.record_write(&written, restarted_ms);
      listed = written;
    }
    if random.random_bool(0.3) {
      let key = StreamKey::of(None, &format!("r{}", begun.len()));
      // A send that fails, and one that brings the first event: each may go unheld, or its messages be lost.
      for brings_event in [false, true] {
        send += 1;
        let is_held = random.random_bool(0.8);
        if is_held {
          let (_, process) = start.watched.get_or_insert_with(|| {
            let connection = Rc::new(ConnectionState::new(|| 0));
            let process = processes.connect_alone(&listed, &connection, now_ms);
            (connection, process)
          });
          records.hold(key, hold(process, send), EXPIRES_MS + now_ms);
        }
        if brings_event && is_held && random.random_bool(0.8) {
          records.begin_held(&key, send);
        }
      }
      begun.push((key, start.version));
    }
    processes.settle(&listed);
    for (key, version) in begun.iter().rev().take(50) {
      if let RecordedOrigin::Known(found) = records.find(key, now_ms) {
        assert_eq!(
          found.version,
          SoftwareVersion::new(version),
          "at {now_ms} ms"
        );
        known += 1;
      }
    }
  }
  assert!(known > 1_000, "{known}");
}
