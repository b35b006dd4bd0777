//! The streamed response body of an engine.

use {
  super::{content, recorder::RunGuard, reply::ReplyBody, silence::Silence},
  bytes::Bytes,
  futures_util::stream,
  http_body_util::{BodyExt, StreamBody},
  hyper::body::Frame,
  judge::RawRunRecorder,
  std::{io, time::Duration},
  tokio::{task::yield_now, time::sleep},
};

/// The remaining events of a stream. The run ends and the slot is released when the stream is dropped.
pub(crate) struct EventStream<S> {
  /// The stream: the id of the request that began it.
  pub(crate) id: String,
  /// The run that writes the events, as text.
  pub(crate) writer: String,
  pub(crate) next: u64,
  /// Interval between the events.
  pub(crate) interval: Duration,
  /// Number of the event in the middle of which the stream is cut.
  pub(crate) cut_at: Option<u64>,
  pub(crate) run: RunGuard,
  pub(crate) raw_run: RawRunRecorder,
  pub(crate) silence: Silence,
  pub(crate) _slot: S,
}

impl<S: Send + 'static> EventStream<S> {
  pub(crate) fn into_body(self) -> ReplyBody {
    let events = stream::unfold(self, |mut events| async move {
      let item = events.take_next().await?;
      Some((item.map(Frame::data), events))
    });
    StreamBody::new(events).boxed_unsync()
  }

  async fn take_next(&mut self) -> Option<io::Result<Bytes>> {
    // Checked before the end of the stream: one cut within its last event must not end normally.
    if self.cut_at.is_some_and(|cut_at| self.next > cut_at) {
      // Lets the server send what it has.
      yield_now().await;
      return Some(Err(io::Error::other("cut")));
    }
    if self.next > content::event_count(&self.id) {
      self.silence.ended().await;
      return None;
    }
    sleep(self.interval).await;
    self.silence.ended().await;
    self.run.record_event();
    let event = content::event(&self.id, self.next, &self.writer);
    self.raw_run.record_piece(self.next, &event);
    let is_cut = self.cut_at == Some(self.next);
    self.next += 1;
    let data = if is_cut {
      &event[..event.len() / 2]
    } else {
      &event
    };
    Some(Ok(Bytes::copy_from_slice(data.as_bytes())))
  }
}
