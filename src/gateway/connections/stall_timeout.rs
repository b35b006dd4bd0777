//! A connection whose writes fail when the peer accepts nothing for some time.

use {
  std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
  },
};

/// The peer accepted nothing for the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("nothing accepted for {limit_ms} ms")]
pub(crate) struct Stalled {
  limit_ms: u128,
}

/// A connection whose writes fail with [`io::ErrorKind::TimedOut`] when the peer accepts nothing for the limit.
pub(crate) struct StallTimeout<T> {
  io: T,
  limit: Option<Duration>,
  /// Runs while a write waits for the peer.
  stalled: Option<Pin<Box<Sleep>>>,
}

impl<T> StallTimeout<T> {
  pub(crate) fn new(io: T, limit: Duration) -> Self {
    Self {
      io,
      limit: Some(limit),
      stalled: None,
    }
  }

  /// A connection whose writes wait without a limit.
  pub(crate) fn without_limit(io: T) -> Self {
    Self {
      io,
      limit: None,
      stalled: None,
    }
  }

  /// Passes a write's result on, and fails one that has waited for the limit.
  fn limit_wait<R>(
    &mut self,
    written: Poll<io::Result<R>>,
    context: &mut Context<'_>,
  ) -> Poll<io::Result<R>> {
    if written.is_ready() {
      self.stalled = None;
      return written;
    }
    let Some(limit) = self.limit else {
      return Poll::Pending;
    };
    let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(limit)));
    ready!(stalled.as_mut().poll(context));
    let stalled = Stalled {
      limit_ms: limit.as_millis(),
    };
    Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, stalled)))
  }
}

impl<T: AsyncRead + Unpin> AsyncRead for StallTimeout<T> {
  fn poll_read(
    mut self: Pin<&mut Self>,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    Pin::new(&mut self.io).poll_read(context, buffer)
  }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for StallTimeout<T> {
  fn poll_write(
    mut self: Pin<&mut Self>,
    context: &mut Context<'_>,
    bytes: &[u8],
  ) -> Poll<io::Result<usize>> {
    let written = Pin::new(&mut self.io).poll_write(context, bytes);
    self.limit_wait(written, context)
  }

  fn poll_write_vectored(
    mut self: Pin<&mut Self>,
    context: &mut Context<'_>,
    slices: &[IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    let written = Pin::new(&mut self.io).poll_write_vectored(context, slices);
    self.limit_wait(written, context)
  }

  fn is_write_vectored(&self) -> bool {
    self.io.is_write_vectored()
  }

  fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.io).poll_flush(context)
  }

  fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.io).poll_shutdown(context)
  }
}
