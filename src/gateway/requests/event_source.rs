//! A stream's events on their way to the caller, over all engines that write it.

use {
  super::{
    answer::{ResponseBody, StreamAborted},
    event_cutter::EventCutter,
    stream_request::StreamRequest,
    stream_send::SILENCE_MS,
  },
  crate::gateway::{
    decisions::PartEnd,
    quarantine::{LostPart, note_lost, note_whole},
    stages::{ResponseHead, RoutedRequest, StageError},
    state::InFlight,
  },
  bytes::Bytes,
  futures_util::{FutureExt, stream},
  http_body_util::{BodyExt, StreamBody},
  hyper::body::Frame,
  std::time::Duration,
  tokio::time::timeout,
};

/// Where the caller's events come from, over all engines that write the answer.
pub(crate) struct EventSource {
  stream: StreamRequest,
  head: Option<ResponseHead>,
  cutter: EventCutter,
  ended: bool,
  first_event_noted: bool,
  /// When the last event went to the caller.
  last_event_ms: Option<u64>,
  /// The longest pause between two events so far.
  longest_pause_ms: u64,
  /// Held until the caller has the last event.
  _in_flight: InFlight,
}

impl EventSource {
  pub(crate) fn new(stream: StreamRequest, head: ResponseHead, in_flight: InFlight) -> Self {
    Self {
      cutter: EventCutter::default(),
      ended: false,
      first_event_noted: false,
      last_event_ms: None,
      longest_pause_ms: 0,
      head: Some(head),
      stream,
      _in_flight: in_flight,
    }
  }

  /// The body that the caller gets.
  pub(crate) fn into_body(self) -> ResponseBody {
    let events = stream::unfold(self, |mut source| async move {
      let item = source.next().await?;
      Some((item.map(Frame::data), source))
    });
    Box::pin(StreamBody::new(events))
  }

  /// The next bytes for the caller; nothing after the whole stream.
  async fn next(&mut self) -> Option<Result<Bytes, StreamAborted>> {
    loop {
      if self.ended {
        return None;
      }
      if let Some(event) = self.cutter.next_event() {
        if let (Some(id), Some(last)) = (event.id, self.stream.last_event_id)
          && id <= last
        {
          continue;
        }
        self.note_event(event.id);
        return Some(Ok(event.bytes));
      }
      match self.read().await {
        Ok(true) => {}
        Ok(false) => return self.finish(),
        Err(error) => {
          if let Err(error) = self.resume(error).await {
            return Some(Err(self.break_off(error)));
          }
        }
      }
    }
  }

  /// An event goes to the caller: a resumed stream goes on behind it.
  fn note_event(&mut self, id: Option<u64>) {
    if id.is_some() {
      self.stream.last_event_id = id;
    }
    let now_ms = self.stream.gateway.now_ms();
    if let Some(last_ms) = self.last_event_ms.replace(now_ms) {
      self.longest_pause_ms = self.longest_pause_ms.max(now_ms - last_ms);
    }
    if !self.first_event_noted {
      self.first_event_noted = true;
      let took_ms = self.stream.gateway.now_ms() - self.stream.request.arrived_ms;
      self.stream.gateway.counters.first_event_ms.note(took_ms);
      log::info!(
        "E509 first event: {} after {took_ms} ms",
        self.stream.request.id()
      );
    }
  }

  /// Reads on; `false` at the stream's end.
  async fn read(&mut self) -> Result<bool, String> {
    let Some(head) = &mut self.head else {
      return Err("no endpoint".into());
    };
    let remaining_ms = self
      .stream
      .request
      .remaining_ms(self.stream.gateway.now_ms());
    let limit_ms = if self.stream.may_retry() {
      remaining_ms.min(SILENCE_MS)
    } else {
      remaining_ms
    };
    let Ok(frame) = timeout(Duration::from_millis(limit_ms), head.body.frame()).await else {
      return self.silent(limit_ms, remaining_ms).await;
    };
    self.take(frame)
  }

  /// The endpoint has been silent. It is given up once another one has a seat, or when the time is over.
  async fn silent(&mut self, silent_ms: u64, remaining_ms: u64) -> Result<bool, String> {
    let Some(head) = &mut self.head else {
      return Err("no endpoint".into());
    };
    self.stream.gateway.overdue(&head.connection.endpoint);
    let silent = format!("silent for {silent_ms} ms");
    if silent_ms >= remaining_ms {
      return Err(silent);
    }
    if !self.stream.prepare_takeover().await {
      return Ok(true);
    }
    // It may have gone on while a seat was looked for.
    if let Some(frame) = head.body.frame().now_or_never() {
      self.stream.cancel_takeover();
      return self.take(frame);
    }
    Err(silent)
  }

  fn take(&mut self, frame: Option<hyper::Result<Frame<Bytes>>>) -> Result<bool, String> {
    match frame {
      Some(Ok(frame)) => {
        if let Some(data) = frame.data_ref() {
          self.cutter.push(data);
        }
        if self.cutter.is_overlong() {
          return Err("an event is too long".into());
        }
        Ok(true)
      }
      Some(Err(error)) => Err(error.to_string()),
      None if self.cutter.has_rest() && !self.is_framed() => Err("ended within an event".into()),
      None => Ok(false),
    }
  }

  fn is_framed(&self) -> bool {
    self.head.as_ref().is_some_and(ResponseHead::is_framed)
  }

  /// The stream is whole: the last bytes, if any are left.
  fn finish(&mut self) -> Option<Result<Bytes, StreamAborted>> {
    self.ended = true;
    let gateway = self.stream.gateway.clone();
    log::info!(
      "E515 streamed: {} whole to event {:?}, {} ms after arrival, tried {}, longest pause {} ms",
      self.stream.request.id(),
      self.stream.last_event_id,
      gateway.now_ms() - self.stream.request.arrived_ms,
      self.stream.tried().len(),
      self.longest_pause_ms
    );
    note_whole(&gateway, &self.stream.request, RoutedRequest::fingerprint);
    let took_ms = gateway.now_ms() - self.stream.request.arrived_ms;
    gateway.seat_forecast.borrow_mut().note_stream(took_ms);
    if let Some(mut head) = self.head.take() {
      head.load_guard.answered();
      gateway.rest(head.connection, &head.raw_headers);
    }
    let rest = self.cutter.take_rest();
    (!rest.is_empty()).then_some(Ok(rest))
  }

  /// Has another engine go on after the last whole event.
  async fn resume(&mut self, error: String) -> Result<(), String> {
    let request = self.stream.request.clone();
    log::info!(
      "E506 stream broke: {} after event {:?}: {error}",
      request.id(),
      self.stream.last_event_id
    );
    if let Some(mut head) = self.head.take() {
      head.load_guard.settle(PartEnd::Lost);
      let lost = LostPart {
        entry: head.entry.clone(),
        error: error.clone(),
        fingerprint: request.fingerprint(),
        sent_ms: head.sent_ms,
      };
      note_lost(&self.stream.gateway, &request, lost).await;
      self.stream.wrote_it = Some(head.connection.endpoint.clone());
    }
    self.cutter = EventCutter::default();
    let remaining_ms = request.remaining_ms(self.stream.gateway.now_ms());
    if remaining_ms == 0 || !self.stream.may_try_again(&StageError::Lost(String::new())) {
      return Err(error);
    }
    match timeout(Duration::from_millis(remaining_ms), self.stream.begin()).await {
      Ok(Ok(head)) => {
        self.stream.gateway.counters.resumed.inc();
        self.head = Some(head);
        Ok(())
      }
      Ok(Err(_)) => Err(format!("no endpoint resumes it after: {error}")),
      Err(_) => Err("time is over".into()),
    }
  }

  /// Ends the stream so that the caller sees that its end is missing.
  fn break_off(&mut self, error: String) -> StreamAborted {
    self.ended = true;
    self.stream.gateway.counters.broken_streams.inc();
    log::info!(
      "E507 stream broken off: {}: {error}",
      self.stream.request.id()
    );
    StreamAborted(error)
  }
}

impl Drop for EventSource {
  fn drop(&mut self) {
    if !self.ended {
      self.stream.gateway.counters.callers_gone.inc();
      log::info!(
        "E516 caller left: {} after event {:?}",
        self.stream.request.id(),
        self.stream.last_event_id
      );
    }
  }
}
