//! One request on a connection, and what came of it.

use {
  super::{
    answer_reader::{AnswerHead, AnswerProgress, AnswerReader},
    channel::Channel,
    event_reader::EventReader,
    unread_request::is_unread,
  },
  judge::ReadEnd,
  std::time::Duration,
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    select,
    time::{Instant, sleep, sleep_until},
  },
};

const READ_BYTES: usize = 16_384;
/// What a caller that reads slowly takes at a time, and its pause before the next.
const SLOW_READ_BYTES: usize = 512;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(20);

/// When a caller closes its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
  /// When it leaves.
  pub(super) leaves_at: Instant,
  /// Longest time without a new event.
  pub(super) gap: Option<Duration>,
  /// Time after which a request that the box has not read is given up.
  pub(super) unread: Option<Duration>,
  /// Whether it reads in small pieces with pauses.
  pub(super) reads_slowly: bool,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptEnd {
  /// There was no connection.
  NoChannel,
  /// With the end of its answer.
  Whole,
  /// With its connection, before the end of its answer.
  BrokenOff,
  /// With bytes that are no answer.
  Invalid,
  /// After too long a pause.
  Gap,
  /// The box had not read it.
  Unread,
  /// The caller left.
  Left,
}

/// What came of a request.
#[derive(Debug)]
pub(super) struct Received {
  pub(super) end: AttemptEnd,
  pub(super) head: Option<AnswerHead>,
  pub(super) events: EventReader,
  /// Whether the connection may carry another request.
  pub(super) is_reusable: bool,
}

impl Received {
  /// What came where there was no connection.
  pub(super) fn no_channel() -> Self {
    Self {
      end: AttemptEnd::NoChannel,
      events: EventReader::default(),
      head: None,
      is_reusable: false,
    }
  }

  pub(super) fn status(&self) -> Option<u16> {
    self.head.as_ref().map(|head| head.status)
  }

  pub(super) fn is_success(&self) -> bool {
    self
      .status()
      .is_some_and(|status| (200..300).contains(&status))
  }

  /// Whether the answer is a whole success.
  pub(super) fn is_served(&self) -> bool {
    self.end == AttemptEnd::Whole && self.is_success()
  }
}

/// Reads an answer off a connection.
struct Attempt {
  answer: AnswerReader,
  events: EventReader,
  limits: Limits,
  /// When it was sent, or the last event came.
  last_event_at: Instant,
  unread_at: Option<Instant>,
}

/// Sends a request and reads its answer. `began` is called at the first event.
pub(super) async fn exchange(
  channel: &mut Channel,
  request: &[u8],
  limits: Limits,
  began: impl FnOnce(),
) -> Received {
  let now = Instant::now();
  let mut attempt = Attempt {
    answer: AnswerReader::default(),
    events: EventReader::default(),
    last_event_at: now,
    limits,
    unread_at: limits.unread.map(|unread| now + unread),
  };
  let end = attempt.run(channel, request, began).await;
  let head = attempt.answer.head().cloned();
  let is_kept = attempt.answer.is_whole() && attempt.answer.surplus().is_empty();
  let may_go_on = head.as_ref().is_some_and(|head| !head.closes());
  Received {
    end,
    events: attempt.events,
    head,
    is_reusable: is_kept && may_go_on,
  }
}

impl Attempt {
  async fn run(
    &mut self,
    channel: &mut Channel,
    request: &[u8],
    began: impl FnOnce(),
  ) -> AttemptEnd {
    let addresses = channel.addresses();
    let recorder = channel.recorder.clone();
    let (mut reader, mut writer) = channel.split();
    let mut writing = std::pin::pin!(writer.write_all(request));
    let mut is_written = false;
    let mut began = Some(began);
    let mut buffer = vec![0; READ_BYTES];
    let read_bytes = if self.limits.reads_slowly {
      SLOW_READ_BYTES
    } else {
      READ_BYTES
    };
    loop {
      select! {
        // An error is seen by the reader as well.
        _ = &mut writing, if !is_written => is_written = true,
        read = reader.read(&mut buffer[..read_bytes]) => {
          let bytes = match read {
            Ok(0) => {
              recorder.record_end(ReadEnd::Closed);
              return self.end_at_close();
            }
            Ok(bytes) => &buffer[..bytes],
            Err(_) => {
              recorder.record_end(ReadEnd::Reset);
              return AttemptEnd::BrokenOff;
            }
          };
          recorder.record_read(bytes);
          let progress = self.read(bytes);
          if self.events.count > 0 && let Some(began) = began.take() {
            began();
          }
          match progress {
            AnswerProgress::More => {}
            AnswerProgress::Whole => return AttemptEnd::Whole,
            AnswerProgress::Invalid => return AttemptEnd::Invalid,
          }
          if self.limits.reads_slowly {
            sleep(SLOW_READ_PAUSE).await;
          }
        }
        () = sleep_until(self.wakes_at()) => {
          let is_unread = || addresses.as_ref().is_ok_and(|(far, near)| is_unread(*far, *near).unwrap_or(true));
          if let Some(end) = self.end_by_time(is_unread) {
            return end;
          }
        }
      }
    }
  }

  fn read(&mut self, bytes: &[u8]) -> AnswerProgress {
    let progress = self.answer.read(bytes);
    self.unread_at = None;
    if self.events.read(self.answer.body()) {
      self.last_event_at = Instant::now();
    }
    progress
  }

  /// An answer without framing that ends within an event has been broken off.
  fn end_at_close(&self) -> AttemptEnd {
    let is_whole = self.answer.is_whole_at_close();
    let is_stream = self.events.count > 0;
    if is_whole && !(is_stream && self.events.ends_within_event(self.answer.body())) {
      AttemptEnd::Whole
    } else {
      AttemptEnd::BrokenOff
    }
  }

  fn gap_at(&self) -> Option<Instant> {
    self.limits.gap.map(|gap| self.last_event_at + gap)
  }

  fn wakes_at(&self) -> Instant {
    let times = [Some(self.limits.leaves_at), self.gap_at(), self.unread_at];
    times
      .into_iter()
      .flatten()
      .min()
      .unwrap_or(self.limits.leaves_at)
  }

  fn end_by_time(&mut self, is_unread: impl FnOnce() -> bool) -> Option<AttemptEnd> {
    let now = Instant::now();
    if now >= self.limits.leaves_at {
      return Some(AttemptEnd::Left);
    }
    if self.gap_at().is_some_and(|gap_at| now >= gap_at) {
      return Some(AttemptEnd::Gap);
    }
    self.unread_at.take_if(|unread_at| now >= *unread_at)?;
    is_unread().then_some(AttemptEnd::Unread)
  }
}
