//! A caller that takes its stream up again, and what it has of it over all of its requests.

use {
  super::{
    GatewayBox,
    versioned_engine::{EVENTS, FIRST_EVENTS},
  },
  bytes::Bytes,
  http::{HeaderValue, Request, StatusCode},
  http_body_util::{BodyExt, Full},
  hyper::body::Incoming,
  rillford::HttpClient,
  std::{
    collections::BTreeSet,
    time::{Duration, Instant},
  },
  tokio::time::{sleep, timeout},
};

/// Timeout of all waiting for events.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time after which a rejected caller returns.
const MAX_RETURN_DELAY: Duration = Duration::from_millis(250);

/// A caller of one stream.
pub(super) struct ResumingCaller {
  /// The id of the request that brought the first event.
  id: String,
  /// The events that it has whole.
  events: String,
  is_complete: bool,
  /// The answer that it reads.
  answer: Option<Incoming>,
  /// What came after the last whole event of that answer.
  partial: String,
  requests: usize,
}

impl ResumingCaller {
  /// Begins a stream and reads its first events.
  pub(super) async fn begin(gateway: &GatewayBox, id: &str) -> Self {
    let mut caller = Self {
      answer: None,
      events: String::new(),
      id: id.into(),
      is_complete: false,
      partial: String::new(),
      requests: 0,
    };
    let request = gateway.request("/resumable/a", id);
    assert_eq!(caller.send(request).await, StatusCode::OK, "{id}");
    while caller.last_event() < FIRST_EVENTS && caller.read().await {}
    caller
  }

  /// Reads the answer to its end.
  pub(super) async fn finish(&mut self) {
    while self.read().await {}
  }

  /// Closes its connection before the answer has ended.
  pub(super) fn disconnect(&mut self) {
    self.answer = None;
    self.partial.clear();
  }

  /// Resumes the stream as long as it is incomplete, until a time.
  pub(super) async fn resume_until(&mut self, gateway: &GatewayBox, until: Instant) {
    while !self.is_complete && Instant::now() < until {
      match self.resume(gateway).await {
        StatusCode::OK => self.finish().await,
        _ => sleep(MAX_RETURN_DELAY).await,
      }
    }
  }

  /// Sends one request that resumes the stream.
  async fn resume(&mut self, gateway: &GatewayBox) -> StatusCode {
    self.requests += 1;
    let id = format!("{}-again-{}", self.id, self.requests);
    let mut request = gateway.request("/resumable/a", &id);
    let headers = request.headers_mut();
    let last = HeaderValue::from(self.last_event());
    headers.insert("last-event-id", last);
    headers.insert("resumes", HeaderValue::from_str(&self.id).unwrap());
    self.send(request).await
  }

  /// Sends a request on a connection of its own. A rejection has to name a time to return.
  async fn send(&mut self, request: Request<Full<Bytes>>) -> StatusCode {
    self.disconnect();
    let response = HttpClient::default().send(request).await.unwrap();
    let status = response.status();
    match status {
      StatusCode::OK => self.answer = Some(response.into_body()),
      status => {
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key("retry-after"));
      }
    }
    status
  }

  /// Reads a part of the answer; `false` once it has ended.
  async fn read(&mut self) -> bool {
    let Some(answer) = &mut self.answer else {
      return false;
    };
    let frame = timeout(EVENT_TIMEOUT, answer.frame()).await;
    match frame.expect("no event in time") {
      Some(Ok(frame)) => {
        if let Ok(data) = frame.into_data() {
          self.add(&data);
        }
        true
      }
      Some(Err(_)) => {
        self.disconnect();
        false
      }
      None => {
        self.is_complete = true;
        self.disconnect();
        false
      }
    }
  }

  fn add(&mut self, data: &[u8]) {
    self.partial += std::str::from_utf8(data).unwrap();
    if let Some(end) = self.partial.rfind("\n\n") {
      let rest = self.partial.split_off(end + 2);
      self.events += &std::mem::replace(&mut self.partial, rest);
    }
  }

  fn last_event(&self) -> u64 {
    self.ids().last().copied().unwrap_or(0)
  }

  fn ids(&self) -> Vec<u64> {
    let ids = self
      .events
      .lines()
      .filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
  }

  /// The versions that wrote its events.
  pub(super) fn versions(&self) -> BTreeSet<&str> {
    let data = self
      .events
      .lines()
      .filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|data| data.split(' ').next()).collect()
  }

  /// Checks that no event is missing, twice there or of another version than the first, and that an end is the stream's.
  pub(super) fn assert_one_version(&self) {
    let Self { id, events, .. } = self;
    assert_eq!(self.versions().len(), 1, "{id}: {events}");
    let expected: Vec<u64> = (1..=self.last_event()).collect();
    assert_eq!(self.ids(), expected, "{id}: {events}");
    assert!(
      !self.is_complete || self.last_event() == EVENTS,
      "{id}: {events}"
    );
  }

  /// Checks the same, and that the stream is whole.
  pub(super) fn assert_whole(&self) {
    self.assert_one_version();
    assert!(self.is_complete, "{}: {}", self.id, self.events);
  }

  /// How often it has taken the stream up again.
  pub(super) fn resumptions(&self) -> usize {
    self.requests
  }
}
