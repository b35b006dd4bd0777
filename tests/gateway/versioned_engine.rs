//! A decode engine that may come back under its id with other software, and whose events tell which software wrote them.

use {
  super::{
    EndpointStandIn, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::{ConnectionEnd, STREAM_END, engine_reply, listed_start},
    stream_framing::is_stream,
  },
  emulator::eventually,
  std::{
    sync::{
      Arc,
      atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
  },
};

/// Events of a whole stream.
pub(super) const EVENTS: u64 = 40;
/// Events that an engine writes at once when a stream begins.
pub(super) const FIRST_EVENTS: u64 = 2;
/// The downtime of an engine that does not come back.
pub(super) const FOR_GOOD: Duration = Duration::from_secs(600);
/// The path of a request of the test itself that crashes the engine.
const CRASH_PATH: &str = "/test-crash";
/// The pause of an engine between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(300);
/// After which time an engine that lives on closes the connection of a stream.
const CLOSED_AFTER: Duration = Duration::from_millis(300);

/// The pause of an engine that reads a prompt, before the rest of a stream.
const LATE_AFTER: Duration = Duration::from_millis(900);
/// The pause of an engine between the head of a stream and the first event; a box lets another one take the stream over meanwhile.
const LATE_FIRST_AFTER: Duration = Duration::from_millis(1_700);

/// Where the start of an engine is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartField {
  Nowhere,
  InReport,
  InEntry,
  /// Nowhere; requests for the report are rejected.
  NoReport,
}

/// What an engine does with a stream that it begins, after its first events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Beginning {
  /// Writes the rest.
  Whole,
  /// Writes one after another; most tests end before the last one.
  Slow,
  /// Closes the connection, and lives on.
  Closed,
  /// Writes the rest, and begins late with that of another engine's stream.
  LateRest,
  /// Resets the connection, and lives on.
  Reset,
  /// Falls silent between the head and the first event, and then writes one event after another.
  LateFirst,
}

/// A decode engine whose starts may have different versions.
pub(super) struct VersionedEngine {
  id: &'static str,
  start_field: StartField,
  state: Arc<EngineState>,
  endpoint: EndpointStandIn,
}

struct EngineState {
  /// The version of each start; the last one is that of all later ones, too.
  versions: Vec<&'static str>,
  start_field: StartField,
  beginning: Beginning,
  starts: AtomicU64,
  has_slots: AtomicBool,
}

impl EngineState {
  fn version(&self, start: u64) -> &'static str {
    let last = self.versions.len() - 1;
    let index = usize::try_from(start - 1).unwrap();
    self.versions[index.min(last)]
  }

  /// The events after one, up to another; each tells the version and the start that wrote it.
  fn events(&self, start: u64, after: u64, to: u64) -> String {
    let version = self.version(start);
    (after + 1..=to)
      .map(|id| format!("id: {id}\ndata: {version} start {start}\n\n"))
      .collect()
  }

  fn reply(&self, seen: &ReceivedRequest, down: Duration) -> Reply {
    match seen.path.as_str() {
      CRASH_PATH => Reply::Crash(String::new(), down),
      "/hold-take" if !self.has_slots.load(Ordering::Relaxed) => Reply::not_run(seen),
      "/report" => match self.start_field {
        StartField::InReport => engine_reply(seen, ""),
        StartField::NoReport => Reply::not_run(seen),
        StartField::Nowhere | StartField::InEntry => {
          Reply::ok(seen, r#"{"callSeq":0,"utilization":true}"#)
        }
      },
      _ if is_stream(seen) => self.stream(seen),
      _ => engine_reply(seen, ""),
    }
  }

  fn stream(&self, seen: &ReceivedRequest) -> Reply {
    let after: u64 = seen.header("last-event-id").parse().unwrap_or(0);
    let is_whole = after > 0 || is_warm_up(seen);
    if self.beginning == Beginning::LateRest && after > 0 {
      let rest = Reply::stream_part(seen, &self.events(seen.start, after, EVENTS));
      return Reply::WriteInParts(vec![(LATE_AFTER, rest + STREAM_END)]);
    }
    if is_whole || matches!(self.beginning, Beginning::Whole | Beginning::LateRest) {
      return Reply::stream(seen, &self.events(seen.start, after, EVENTS));
    }
    let first = self.events(seen.start, 0, FIRST_EVENTS);
    if self.beginning == Beginning::LateFirst {
      let mut parts = self.slow_parts(seen, Reply::stream_chunk(&first));
      parts[0].0 = LATE_FIRST_AFTER;
      parts.insert(0, (Duration::ZERO, Reply::stream_head(seen)));
      return Reply::WriteInParts(parts);
    }
    let part = Reply::stream_part(seen, &first);
    match self.beginning {
      Beginning::Whole | Beginning::LateRest | Beginning::LateFirst => Reply::stream(seen, ""),
      Beginning::Slow => Reply::WriteInParts(self.slow_parts(seen, part)),
      Beginning::Closed => {
        Reply::WriteInPartsAndClose(vec![(Duration::ZERO, part), (CLOSED_AFTER, String::new())])
      }
      Beginning::Reset => Reply::WritePieces(vec![part.into_bytes()], ConnectionEnd::Reset),
    }
  }

  /// The parts of a whole stream, whose first events are given.
  fn slow_parts(&self, seen: &ReceivedRequest, first: String) -> Vec<(Duration, String)> {
    let rest = (FIRST_EVENTS..EVENTS).map(|after| {
      let event = self.events(seen.start, after, after + 1);
      (EVENT_PAUSE, Reply::stream_chunk(&event))
    });
    let mut parts = vec![(Duration::ZERO, first)];
    parts.extend(rest);
    parts.push((Duration::ZERO, STREAM_END.into()));
    parts
  }
}

/// Whether a stream only keeps a box in touch with its engine.
fn is_warm_up(seen: &ReceivedRequest) -> bool {
  seen.id().starts_with("warm")
}

impl VersionedEngine {
  /// An engine without a start, that writes the events of a stream slowly.
  pub(super) async fn start(id: &'static str, versions: &[&'static str]) -> Self {
    Self::start_with(id, versions, StartField::Nowhere, Beginning::Slow).await
  }

  pub(super) async fn start_with(
    id: &'static str,
    versions: &[&'static str],
    start_field: StartField,
    beginning: Beginning,
  ) -> Self {
    let state = Arc::new(EngineState {
      beginning,
      has_slots: AtomicBool::new(true),
      start_field,
      starts: AtomicU64::new(0),
      versions: versions.into(),
    });
    let (script, starting) = (state.clone(), state.clone());
    let endpoint = EndpointStandIn::start_restartable(
      move |seen| script.reply(seen, downtime(seen)),
      move |_, number| starting.starts.store(number, Ordering::Relaxed),
    )
    .await;
    Self {
      endpoint,
      id,
      start_field,
      state,
    }
  }

  /// Lists it with a version.
  pub(super) fn list(&self, test: &GatewayTest, version: &str) {
    let start = self.state.starts.load(Ordering::Relaxed);
    match self.start_field {
      StartField::InEntry => {
        test.enter_version_started(self.id, &self.endpoint, version, listed_start(start));
      }
      StartField::Nowhere | StartField::InReport | StartField::NoReport => {
        test.enter_version_without_start(self.id, &self.endpoint, version);
      }
    }
  }

  /// Lists it as an endpoint of a plain service, with the first version.
  pub(super) fn list_plain(&self, test: &GatewayTest) {
    match self.start_field {
      StartField::InEntry => {
        let address = self.endpoint.address;
        GatewayTest::enter_plain_incarnation(&test.store, self.id, address, listed_start(1));
      }
      StartField::Nowhere | StartField::InReport | StartField::NoReport => {
        test.enter(self.id, "portal", None, &self.endpoint);
      }
    }
  }

  /// Lets it grant slots, or none.
  pub(super) fn set_slots(&self, has_slots: bool) {
    self.state.has_slots.store(has_slots, Ordering::Relaxed);
  }

  /// Lets it write nothing for some time.
  pub(super) fn fall_silent(&self, silence: Duration) {
    self.endpoint.fall_silent(silence);
  }

  /// Crashes it with all of its connections; it comes back at the same address after some time.
  pub(super) async fn crash(&self, down: Duration) {
    let mut stream = TcpStream::connect(self.endpoint.address).await.unwrap();
    let down_ms = down.as_millis();
    let call = format!("POST {CRASH_PATH} HTTP/1.1\r\nx-down-ms: {down_ms}\r\n\r\n");
    stream.write_all(call.as_bytes()).await.unwrap();
    let mut rest = Vec::new();
    // A reset is an end, too.
    let _ = timeout(TIMEOUT, stream.read_to_end(&mut rest))
      .await
      .expect("the engine did not crash");
  }

  /// The same, and waits until it is back.
  pub(super) async fn restart(&self) {
    let before = self.state.starts.load(Ordering::Relaxed);
    self.crash(Duration::ZERO).await;
    let is_back = async || self.state.starts.load(Ordering::Relaxed) > before;
    assert!(eventually(TIMEOUT, is_back).await);
  }

  /// Whether it ran a stream.
  pub(super) fn ran(&self, id: &str) -> bool {
    let requests = self.endpoint.requests();
    requests.iter().any(|seen| seen.id() == id)
  }
}

fn downtime(seen: &ReceivedRequest) -> Duration {
  Duration::from_millis(seen.header("x-down-ms").parse().unwrap_or(0))
}
