//! The body of a streamed response. Where held bytes are bounded, the stream is read ahead of a caller that reads slowly, so that
//! its engine can finish.

use {
  super::{
    event_relay::EventRelay,
    response::{ResponseBody, StreamAborted},
  },
  crate::gateway::{
    decisions::HeldKind,
    stages::RoutedRequest,
    state::{Gateway, HeldGuard, InFlight},
  },
  bytes::Bytes,
  futures_util::stream,
  http_body_util::StreamBody,
  hyper::body::Frame,
  std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
  },
  tokio::{
    sync::Notify,
    task::{AbortHandle, spawn_local, yield_now},
    time::timeout,
  },
};

/// Memory that an event takes in addition to its bytes.
const EVENT_OVERHEAD_BYTES: u64 = 64;
/// A stream counts as read ahead when more than this waits: less is in passing when the caller reads fast.
const READ_AHEAD_BYTES: u64 = 4 * 1024;
/// How often a stream that may not be read ahead checks whether it may now: the room that it waits for is freed by others.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The body of a streamed response.
pub(super) fn relay_events(relay: EventRelay, in_flight: InFlight) -> ResponseBody {
  if !relay.gateway().held_memory.is_bounded() {
    return as_caller_reads(relay, in_flight);
  }
  let body = ReadAheadBody::start(relay, in_flight);
  let events = stream::unfold(body, |mut body| async move {
    let item = body.next().await?;
    flush_before_abort(&item).await;
    Some((item.map(Frame::data), body))
  });
  Box::pin(StreamBody::new(events))
}

/// Lets the caller's connection write the events before an abort: the HTTP library writes only while it waits for the next one, and
/// drops what is left at an error.
async fn flush_before_abort(item: &Result<Bytes, StreamAborted>) {
  if item.is_err() {
    yield_now().await;
  }
}

/// A body that reads from the engine only when the caller's connection takes more.
fn as_caller_reads(relay: EventRelay, in_flight: InFlight) -> ResponseBody {
  let events = stream::unfold((relay, in_flight), |(mut relay, in_flight)| async move {
    let item = relay.next().await?;
    flush_before_abort(&item).await;
    Some((item.map(Frame::data), (relay, in_flight)))
  });
  Box::pin(StreamBody::new(events))
}

/// An event that waits for the caller's connection to take it.
struct QueuedEvent {
  item: Result<Bytes, StreamAborted>,
  guard: HeldGuard,
}

/// The state of the task that reads a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReaderState {
  Reading,
  /// The stream's last event was read.
  Complete,
  /// The task ended before the stream did.
  Ended,
}

/// The events of a stream that were read and that the caller's connection has not taken.
struct EventQueue {
  gateway: Rc<Gateway>,
  events: RefCell<VecDeque<QueuedEvent>>,
  bytes: Cell<u64>,
  reader: Cell<ReaderState>,
  is_counted: Cell<bool>,
  added: Notify,
  taken: Notify,
}

impl EventQueue {
  fn new(gateway: &Rc<Gateway>) -> Self {
    Self {
      added: Notify::new(),
      bytes: Cell::new(0),
      events: RefCell::default(),
      gateway: gateway.clone(),
      is_counted: Cell::new(false),
      reader: Cell::new(ReaderState::Reading),
      taken: Notify::new(),
    }
  }

  fn push(&self, item: Result<Bytes, StreamAborted>) {
    let length = item.as_ref().map_or(0, Bytes::len) as u64;
    let held_bytes = length + EVENT_OVERHEAD_BYTES;
    let memory = &self.gateway.held_memory;
    let event = QueuedEvent {
      guard: memory.hold(HeldKind::StreamsAhead, held_bytes),
      item,
    };
    self.bytes.set(self.bytes.get() + held_bytes);
    if self.bytes.get() > READ_AHEAD_BYTES && !self.is_counted.replace(true) {
      self.gateway.counters.streams_read_ahead.inc();
    }
    self.events.borrow_mut().push_back(event);
    self.added.notify_one();
  }

  /// Takes the next event for the caller. Its bytes are held until they are written.
  fn pop(&self) -> Option<Result<Bytes, StreamAborted>> {
    let QueuedEvent { item, guard, .. } = self.events.borrow_mut().pop_front()?;
    let length = item.as_ref().map_or(0, Bytes::len) as u64;
    self
      .bytes
      .set(self.bytes.get() - length - EVENT_OVERHEAD_BYTES);
    self.taken.notify_one();
    Some(item.map(|bytes| guard.into_bytes(bytes)))
  }

  fn set_reader(&self, state: ReaderState) {
    self.reader.set(state);
    self.added.notify_one();
  }

  /// Whether the engine may be read: always when the caller has taken everything.
  fn has_room(&self) -> bool {
    let bytes = self.bytes.get();
    bytes == 0 || self.gateway.held_memory.may_read_ahead(bytes)
  }

  /// Waits until the engine may be read; returns for how long.
  async fn wait_for_room(&self) -> u64 {
    let since_ms = self.gateway.now_ms();
    while !self.has_room() {
      let _ = timeout(ROOM_POLL_INTERVAL, self.taken.notified()).await;
    }
    self.gateway.now_ms() - since_ms
  }
}

/// Tells the caller's side if the reading task ends before the stream.
struct ReaderGuard(Rc<EventQueue>);

impl Drop for ReaderGuard {
  fn drop(&mut self) {
    if self.0.reader.get() == ReaderState::Reading {
      self.0.set_reader(ReaderState::Ended);
    }
  }
}

/// Reads a stream ahead, until its end or until the task is aborted.
async fn read_ahead(mut relay: EventRelay, queue: Rc<EventQueue>) {
  let _guard = ReaderGuard(queue.clone());
  while let Some(item) = relay.next().await {
    queue.push(item);
    let paused_ms = queue.wait_for_room().await;
    relay.record_pause(paused_ms);
  }
  queue.set_reader(ReaderState::Complete);
}

/// The caller's side of a stream that is read ahead. Dropping it closes the connection to the engine.
struct ReadAheadBody {
  queue: Rc<EventQueue>,
  request: Rc<RoutedRequest>,
  reader: AbortHandle,
  /// Held until the last event was forwarded.
  _in_flight: InFlight,
}

impl ReadAheadBody {
  fn start(relay: EventRelay, in_flight: InFlight) -> Self {
    let queue = Rc::new(EventQueue::new(relay.gateway()));
    let request = relay.request().clone();
    let reader = spawn_local(read_ahead(relay, queue.clone()));
    Self {
      _in_flight: in_flight,
      queue,
      reader: reader.abort_handle(),
      request,
    }
  }

  /// The next bytes for the caller; `None` after the stream's end.
  async fn next(&mut self) -> Option<Result<Bytes, StreamAborted>> {
    loop {
      if let Some(item) = self.queue.pop() {
        return Some(item);
      }
      match self.queue.reader.get() {
        ReaderState::Reading => self.queue.added.notified().await,
        ReaderState::Complete => return None,
        ReaderState::Ended => return Some(Err(StreamAborted("its reader ended early".into()))),
      }
    }
  }
}

impl Drop for ReadAheadBody {
  fn drop(&mut self) {
    self.reader.abort();
    // Otherwise the relay, which is dropped with its task, logs that the caller disconnected.
    let queue = &self.queue;
    let undelivered = queue.events.borrow().len();
    if queue.reader.get() == ReaderState::Complete && undelivered > 0 {
      queue.gateway.counters.caller_disconnects.inc();
      log::info!(
        "E516 caller disconnected: {} with the last {undelivered} events read ahead",
        self.request.id()
      );
    }
  }
}
