//! The body of a response that another box relays, read as the caller takes it.

use {
  super::response::{ResponseBody, StreamAborted},
  crate::{
    gateway::{
      connections::Connection,
      decisions::LateReading,
      stages::RoutedRequest,
      state::{Gateway, InFlight},
    },
    ids::Name,
  },
  bytes::Bytes,
  futures_util::stream,
  http_body_util::{BodyExt, StreamBody},
  hyper::body::{Frame, Incoming},
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::time::timeout,
};

/// Reads the body until the deadline, and after it what is ready. The connection closes when it is dropped.
pub(super) struct RelayedBody {
  gateway: Rc<Gateway>,
  body: Incoming,
  /// For logs.
  request: String,
  service: Name,
  address: SocketAddr,
  due_ms: u64,
  late: LateReading,
  /// When the caller was last given bytes.
  given_ms: Option<u64>,
  _connection: Connection,
}

impl RelayedBody {
  /// `due_ms` is when the other box has ended the body by itself, on this box's clock.
  pub(super) fn new(
    gateway: &Rc<Gateway>,
    request: &RoutedRequest,
    (address, connection): (SocketAddr, Connection),
    body: Incoming,
    due_ms: u64,
  ) -> Self {
    Self {
      _connection: connection,
      address,
      body,
      due_ms,
      gateway: gateway.clone(),
      given_ms: None,
      late: LateReading::default(),
      request: request.id().to_owned(),
      service: request.service.clone(),
    }
  }

  /// The body for the caller.
  pub(super) fn into_response_body(self, in_flight: InFlight) -> ResponseBody {
    let frames = stream::unfold((self, in_flight), |(mut body, in_flight)| async move {
      let data = body.next().await?;
      Some((data.map(Frame::data), (body, in_flight)))
    });
    Box::pin(StreamBody::new(frames))
  }

  /// The next bytes; `None` at the end.
  async fn next(&mut self) -> Option<Result<Bytes, StreamAborted>> {
    if let Some(given_ms) = self.given_ms {
      self.late.record_pause(self.gateway.now_ms() - given_ms);
    }
    loop {
      let remaining_ms = self.due_ms.saturating_sub(self.gateway.now_ms());
      let read = timeout(Duration::from_millis(remaining_ms), self.body.frame()).await;
      let Ok(frame) = read else {
        return Some(Err(self.abort("deadline exceeded")));
      };
      let data = match frame?.map(Frame::into_data) {
        Ok(Ok(data)) => data,
        Ok(Err(_)) => continue,
        Err(error) => return Some(Err(StreamAborted(error.to_string()))),
      };
      let now_ms = self.gateway.now_ms();
      let late_ms = now_ms.saturating_sub(self.due_ms);
      if let Err(error) = self.late.record(data.len(), late_ms) {
        return Some(Err(self.abort(&error)));
      }
      self.given_ms = Some(now_ms);
      return Some(Ok(data));
    }
  }

  /// Cuts the body, since the other box has not.
  fn abort(&self, error: &str) -> StreamAborted {
    log::info!(
      "E551 forwarded and cut: {} at box {}: {error}",
      self.request,
      self.address
    );
    let now_ms = self.gateway.now_ms();
    let mut answers = self.gateway.peer_answers.borrow_mut();
    answers.record_declined(&self.service, self.address, now_ms);
    StreamAborted(error.into())
  }
}
