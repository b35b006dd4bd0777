//! Buffers a response within the bound on held bytes.

use {
  super::{
    other_answer::{MAX_HEAD_BYTES, find_other_answer},
    request::RoutedRequest,
    stage_error::StageError,
  },
  crate::gateway::{
    decisions::UnreadTime,
    edge::PlatformCodec,
    state::{Gateway, HeldGuard, ResponseRoom},
  },
  bytes::{Bytes, BytesMut},
  http_body_util::BodyExt,
  hyper::body::{Body, Frame, Incoming, SizeHint},
  std::{
    cell::Cell,
    collections::VecDeque,
    convert::Infallible,
    pin::{Pin, pin},
    task::{Context, Poll},
  },
};

/// The longest response that is buffered before it is forwarded.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;
/// Size of a chunk of a long response; each chunk is freed when it is written.
const CHUNK_BYTES: usize = 64 * 1024;
/// Size of the first chunk of a response of unknown length, which most responses fit in.
const FIRST_CHUNK_BYTES: usize = 4 * 1024;
/// Waits for room are logged from this length.
const LOGGED_WAIT_MS: u64 = 100;

/// A response's whole body. Its bytes count as held until they are written to the caller or dropped.
#[derive(Debug, Default)]
pub(crate) struct BufferedBody {
  chunks: VecDeque<Bytes>,
}

impl BufferedBody {
  /// The body in one piece.
  pub(crate) fn to_bytes(&self) -> Bytes {
    match self.chunks.front() {
      Some(only) if self.chunks.len() == 1 => only.clone(),
      _ => self.chunks.iter().flatten().copied().collect(),
    }
  }

  /// Ends the body before an answer to a request that was sent, if one follows; returns whether it does.
  pub(super) fn end_before_other_answer(
    &mut self,
    codec: &dyn PlatformCodec,
    was_sent: impl Fn(&str) -> bool,
  ) -> bool {
    for index in 0..self.chunks.len() {
      let bytes = self.with_next_bytes(index);
      let until = self.chunks[index].len();
      if let Some(at) = find_other_answer(codec, &bytes, until, &was_sent) {
        self.chunks.truncate(index + 1);
        self.chunks[index].truncate(at);
        return true;
      }
    }
    false
  }

  /// A chunk, and as many of the bytes behind it as a head may have.
  fn with_next_bytes(&self, index: usize) -> Bytes {
    let chunk = &self.chunks[index];
    if index + 1 == self.chunks.len() {
      return chunk.clone();
    }
    let next = self.chunks.iter().skip(index + 1).flatten();
    let next = next.take(MAX_HEAD_BYTES);
    chunk.iter().chain(next).copied().collect()
  }

  fn len(&self) -> u64 {
    self.chunks.iter().map(|chunk| chunk.len() as u64).sum()
  }
}

impl Body for BufferedBody {
  type Data = Bytes;
  type Error = Infallible;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    _: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
    Poll::Ready(self.chunks.pop_front().map(|chunk| Ok(Frame::data(chunk))))
  }

  fn is_end_stream(&self) -> bool {
    self.chunks.is_empty()
  }

  fn size_hint(&self) -> SizeHint {
    SizeHint::with_exact(self.len())
  }
}

/// Marks a request while it waits for room: its endpoint is not the one that is late.
struct WaitMark<'a>(&'a Cell<u32>);

impl<'a> WaitMark<'a> {
  fn new(waits: &'a Cell<u32>) -> Self {
    waits.set(waits.get() + 1);
    Self(waits)
  }
}

impl Drop for WaitMark<'_> {
  fn drop(&mut self) {
    self.0.set(self.0.get() - 1);
  }
}

/// Reads a response's whole body, as far as there is room for it; waits for room otherwise.
pub(super) struct BodyReader<'a> {
  gateway: &'a Gateway,
  request: &'a RoutedRequest,
  room: ResponseRoom,
  unread: UnreadTime,
}

impl<'a> BodyReader<'a> {
  pub(super) fn new(gateway: &'a Gateway, request: &'a RoutedRequest) -> Self {
    Self {
      gateway,
      request,
      room: gateway.held_memory.response(),
      unread: UnreadTime::default(),
    }
  }

  /// Reads the body. Fails with [`StageError::Lost`] when it is truncated or too long, and with [`StageError::LeftUnread`] when
  /// the endpoint aborted it while this box waited for room.
  pub(super) async fn read(mut self, body: &mut Incoming) -> Result<BufferedBody, StageError> {
    let length = body.size_hint().exact();
    let first_bytes = length.unwrap_or(FIRST_CHUNK_BYTES as u64);
    if first_bytes > MAX_BUFFERED_BYTES as u64 {
      return Err(too_long());
    }
    let mut guard = self.wait_for_room(first_bytes, true).await;
    let mut buffered = BufferedBody::default();
    let mut chunk = BytesMut::new();
    let mut room = first_bytes as usize;
    let mut total = 0;
    while let Some(mut data) = self.next_frame(body).await? {
      total += data.len();
      if total > MAX_BUFFERED_BYTES {
        return Err(too_long());
      }
      while !data.is_empty() {
        if room == 0 {
          guard = self.wait_for_room(CHUNK_BYTES as u64, false).await;
          room = CHUNK_BYTES;
        }
        if chunk.is_empty() {
          chunk.reserve(room.min(CHUNK_BYTES));
        }
        let free = (chunk.capacity() - chunk.len()).min(room).min(data.len());
        chunk.extend_from_slice(&data.split_to(free));
        room -= free;
        if chunk.len() == chunk.capacity() || room == 0 {
          push_chunk(&mut buffered, &mut guard, &mut chunk);
        }
      }
    }
    push_chunk(&mut buffered, &mut guard, &mut chunk);
    Ok(buffered)
  }

  /// The next bytes of the body; `None` at its end.
  async fn next_frame(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, StageError> {
    loop {
      let since_ms = self.gateway.now_ms();
      let frame = body.frame().await;
      let now_ms = self.gateway.now_ms();
      self.unread.record_read(now_ms - since_ms, now_ms);
      match frame {
        None => return Ok(None),
        Some(Ok(frame)) => {
          if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
          }
        }
        Some(Err(error)) => return Err(self.aborted(&error)),
      }
    }
  }

  fn aborted(&self, error: &hyper::Error) -> StageError {
    match self.unread.unread_ms() {
      Some(unread_ms) => StageError::LeftUnread { unread_ms },
      None => StageError::Lost(format!("response truncated: {error}")),
    }
  }

  /// Waits until there is room for further bytes.
  async fn wait_for_room(&mut self, bytes: u64, is_first: bool) -> HeldGuard {
    let since_ms = self.gateway.now_ms();
    let memory = &self.gateway.held_memory;
    let _mark = WaitMark::new(&self.request.waits_for_memory);
    let guard = loop {
      let mut freed = pin!(memory.freed());
      freed.as_mut().enable();
      let guard = if is_first {
        self.room.try_begin(bytes)
      } else {
        self.room.try_continue(bytes)
      };
      match guard {
        Some(guard) => break guard,
        None => freed.await,
      }
    };
    let now_ms = self.gateway.now_ms();
    let waited_ms = now_ms - since_ms;
    self.unread.record_pause(waited_ms, now_ms);
    if waited_ms >= LOGGED_WAIT_MS {
      log::info!(
        "E586 response waited for memory: {} {waited_ms} ms for {bytes} bytes",
        self.request.id()
      );
    }
    guard
  }
}

/// Appends a chunk, which is held until it is written.
fn push_chunk(buffered: &mut BufferedBody, guard: &mut HeldGuard, chunk: &mut BytesMut) {
  if chunk.is_empty() {
    return;
  }
  let held = guard.split(chunk.len() as u64);
  let bytes = std::mem::take(chunk).freeze();
  buffered.chunks.push_back(held.into_bytes(bytes));
}

fn too_long() -> StageError {
  StageError::Lost(format!(
    "response truncated: longer than {MAX_BUFFERED_BYTES} bytes"
  ))
}
