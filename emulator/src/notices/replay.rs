//! The notice simulation: boxes decide with the gateway's own endpoint registry and retry budget, endpoints send notices.

use {
  super::{
    endpoint::Endpoint,
    event::{Event, Reply, ReplyKind},
    figures::NoticeFigures,
    fleet::NoticeFleet,
    pattern::{ARRIVALS_END_MS, NoticePattern},
    way::NoticeWay,
  },
  crate::queue::Queue,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    gateway::{
      AllowedHalls, AttemptOutcome, EndpointCriteria, EndpointEntry, EndpointNotice,
      EndpointRegistry, LimitHeader, NoticeChange, RetryAllowance, RetryWindow, SoftwareVersion,
      jittered_backoff_ms, retry_after_backoff_ms,
    },
    ids::Name,
  },
};

const SERVICE: &str = "portal";
/// Network delay between a box and an endpoint.
const ENDPOINT_DELAY_MS: u64 = 2;
/// Network delay between boxes.
const BOX_DELAY_MS: u64 = 20;
/// Minimum and maximum processing time of a request.
const PROCESSING_MS: (u64, u64) = (30, 90);
/// Total time of a caller, including its one retry.
const CALLER_TIMEOUT_MS: u64 = 4_000;
/// Retry-after delay when no endpoint is in a backoff.
const DEFAULT_RETRY_AFTER_MS: u64 = 400;
/// Bound on the retries of all boxes.
const ALLOWANCE: RetryAllowance = RetryAllowance {
  ratio: 0.2,
  slack: 56.0,
  window_ms: 10_000,
};
/// Time after which a box must no longer send to an endpoint whose leaving notice it has received.
const LEAVING_BOUND_MS: u64 = 2_000;
/// Time after which requests in a backoff are counted.
const BACKOFF_SLACK_MS: u64 = 500;

#[derive(Clone, Debug)]
struct Request {
  at: usize,
  deadline_ms: u64,
  tried: Vec<Name>,
  may_retry: bool,
  /// Start of the current attempt.
  sent_ms: u64,
}

struct GatewayBox {
  endpoints: EndpointRegistry,
  retry_window: RetryWindow,
}

struct NoticeReplay {
  pattern: NoticePattern,
  fleet: NoticeFleet,
  strategy: NoticeWay,
  random: ChaCha8Rng,
  queue: Queue<Event>,
  boxes: Vec<GatewayBox>,
  endpoints: Vec<Endpoint>,
  requests: Vec<Request>,
  figures: NoticeFigures,
}

/// Runs a pattern with a seed.
pub fn replay_notices(
  pattern: NoticePattern,
  fleet: NoticeFleet,
  strategy: NoticeWay,
  seed: u64,
) -> NoticeFigures {
  let mut replay = NoticeReplay {
    boxes: (0..fleet.boxes).map(|_| new_box(fleet, strategy)).collect(),
    endpoints: (0..fleet.endpoints).map(|_| Endpoint::default()).collect(),
    figures: NoticeFigures::default(),
    fleet,
    pattern,
    queue: Queue::new(),
    random: ChaCha8Rng::seed_from_u64(seed),
    requests: Vec::new(),
    strategy,
  };
  replay.queue.put(0, Event::CallerArrives);
  if let Some((terminates_ms, unlisted_ms)) = pattern.termination_ms() {
    replay
      .queue
      .put(terminates_ms, Event::Terminates { endpoint: 0 });
    replay
      .queue
      .put(unlisted_ms, Event::Unlisted { endpoint: 0 });
  }
  while let Some((now_ms, event)) = replay.queue.next() {
    replay.handle(event, now_ms);
  }
  replay.figures
}

fn new_box(fleet: NoticeFleet, strategy: NoticeWay) -> GatewayBox {
  let mut endpoints = match strategy {
    NoticeWay::Off => EndpointRegistry::ignoring_notices(),
    _ => EndpointRegistry::default(),
  };
  for number in 0..fleet.endpoints {
    endpoints.put(entry(number));
  }
  endpoints.set_store_connected_since(Some(0));
  GatewayBox {
    endpoints,
    retry_window: RetryWindow::default(),
  }
}

fn entry(number: usize) -> EndpointEntry {
  EndpointEntry {
    address: ([127, 0, 0, 1], u16::try_from(number).unwrap_or(0)).into(),
    started_ms: Some(1),
    cold_ms: 0,
    hall: "north".into(),
    id: format!("e-{number:03}").into(),
    leaving: false,
    role: None,
    slots: 6,
    service: SERVICE.into(),
    version: SoftwareVersion::default(),
  }
}

impl NoticeReplay {
  fn handle(&mut self, event: Event, now_ms: u64) {
    match event {
      Event::CallerArrives => self.handle_caller(now_ms),
      Event::AtBox { request } => self.handle_at_box(request, now_ms),
      Event::AtEndpoint { request, endpoint } => self.handle_at_endpoint(request, endpoint, now_ms),
      Event::Processed { request, endpoint } => self.handle_processed(request, endpoint, now_ms),
      Event::ResponseReceived {
        request,
        endpoint,
        reply,
      } => self.handle_response(request, endpoint, reply, now_ms),
      Event::NoticeReceived {
        at,
        endpoint,
        notice,
      } => {
        self.boxes[at]
          .endpoints
          .record_notice(&entry(endpoint), &notice, now_ms);
      }
      Event::Terminates { endpoint } => self.terminate(endpoint, now_ms),
      Event::Unlisted { endpoint } => {
        for each in &mut self.boxes {
          each.endpoints.remove(&entry(endpoint).id);
        }
      }
    }
  }

  fn handle_caller(&mut self, now_ms: u64) {
    if now_ms >= ARRIVALS_END_MS {
      return;
    }
    self.figures.callers += 1;
    self.requests.push(Request {
      at: self.random.random_range(0..self.fleet.boxes),
      may_retry: true,
      sent_ms: now_ms,
      tried: Vec::new(),
      deadline_ms: now_ms + CALLER_TIMEOUT_MS,
    });
    let request = self.requests.len() - 1;
    self.queue.put(now_ms, Event::AtBox { request });
    let per_s = self.fleet.requests_per_s * self.fleet.endpoints as f64 * self.pattern.load(now_ms);
    let draw: f64 = self.random.random();
    let interval_ms = -(1.0 - draw).ln() * 1_000.0 / per_s;
    // Random rounding to whole milliseconds keeps the mean rate.
    let rounded_ms =
      interval_ms as u64 + u64::from(self.random.random::<f64>() < interval_ms.fract());
    self.queue.put(now_ms + rounded_ms, Event::CallerArrives);
  }

  fn handle_at_box(&mut self, number: usize, now_ms: u64) {
    let at = self.requests[number].at;
    self.boxes[at].retry_window.record_request(now_ms);
    self.boxes[at].endpoints.expire_notices(now_ms);
    if !self.send(number, now_ms) {
      self.reject(number, now_ms);
    }
  }

  /// Sends a request to the best endpoint that has not been tried. Returns `false` if there is none.
  fn send(&mut self, number: usize, now_ms: u64) -> bool {
    let Some(endpoint) = self.choose(number, now_ms) else {
      return false;
    };
    let request = &mut self.requests[number];
    let id = entry(endpoint).id;
    request.tried.push(id.clone());
    request.sent_ms = now_ms;
    let endpoints = &mut self.boxes[request.at].endpoints;
    endpoints.record_send(&id, 1);
    endpoints.record_probe(&id, now_ms);
    let event = Event::AtEndpoint {
      endpoint,
      request: number,
    };
    self.queue.put(now_ms + ENDPOINT_DELAY_MS, event);
    true
  }

  fn choose(&mut self, number: usize, now_ms: u64) -> Option<usize> {
    let request = &self.requests[number];
    let criteria = EndpointCriteria {
      allowed_halls: &AllowedHalls::Any,
      hall: "north",
      is_retryable: false,
      role: None,
      service: SERVICE,
      size: 1,
      tried: &request.tried,
      version: None,
    };
    let random = &mut self.random;
    let choice = self.boxes[request.at]
      .endpoints
      .choose(criteria, now_ms, || random.random())?;
    Some(usize::from(choice.entry.address.port()))
  }

  fn handle_at_endpoint(&mut self, number: usize, endpoint: usize, now_ms: u64) {
    self.count_violations(number, endpoint, now_ms);
    if self.endpoints[endpoint].is_terminated {
      return self.reply(number, endpoint, ReplyKind::Unreachable, now_ms);
    }
    let target = &mut self.endpoints[endpoint];
    if target.is_full() || self.pattern.rejects_all(endpoint, now_ms) {
      self.figures.turned_away += 1;
      return self.reply(number, endpoint, ReplyKind::Rejected, now_ms);
    }
    if target.has_free_slot() {
      self.start_processing(number, endpoint, now_ms);
    } else {
      target.waiting.push_back(number);
    }
  }

  /// Counts a request that the box sent in spite of the endpoint's notices.
  fn count_violations(&mut self, number: usize, endpoint: usize, now_ms: u64) {
    let at = self.requests[number].at;
    let sent = self.endpoints[endpoint].notices.entry(at).or_default();
    if let Some((asked_ms, until_ms)) = sent.backoff_ms
      && (asked_ms + BACKOFF_SLACK_MS..until_ms).contains(&now_ms)
    {
      sent.in_backoff += 1;
      self.figures.most_in_pause = self.figures.most_in_pause.max(sent.in_backoff);
    }
    let is_late = sent
      .leaving_ms
      .is_some_and(|notified_ms| now_ms > notified_ms + LEAVING_BOUND_MS);
    self.figures.late_after_word += u32::from(is_late);
  }

  fn start_processing(&mut self, number: usize, endpoint: usize, now_ms: u64) {
    self.endpoints[endpoint].running.push(number);
    let processing_ms = self.random.random_range(PROCESSING_MS.0..=PROCESSING_MS.1);
    let event = Event::Processed {
      endpoint,
      request: number,
    };
    self.queue.put(now_ms + processing_ms, event);
  }

  fn handle_processed(&mut self, number: usize, endpoint: usize, now_ms: u64) {
    let target = &mut self.endpoints[endpoint];
    if target.is_terminated {
      return;
    }
    target.running.retain(|other| *other != number);
    if let Some(next) = target.waiting.pop_front() {
      self.start_processing(next, endpoint, now_ms);
    }
    self.reply(number, endpoint, ReplyKind::Done, now_ms);
  }

  /// Sends an endpoint's response with its notice.
  fn reply(&mut self, number: usize, endpoint: usize, kind: ReplyKind, now_ms: u64) {
    let at = self.requests[number].at;
    let has_notice = matches!(kind, ReplyKind::Done | ReplyKind::Rejected);
    let notice = EndpointNotice {
      cold_ms: None,
      leaving: has_notice && self.pattern.is_leaving(endpoint, now_ms),
      limit: LimitHeader::Absent,
      backoff_ms: (kind == ReplyKind::Rejected).then(|| self.pattern.backoff_ms()),
      unreadable: None,
    };
    let sent = self.endpoints[endpoint].notices.entry(at).or_default();
    if let Some(backoff_ms) = notice.backoff_ms {
      let is_over = sent
        .backoff_ms
        .is_none_or(|(_, until_ms)| until_ms <= now_ms);
      if is_over {
        sent.in_backoff = 0;
        sent.backoff_ms = Some((now_ms, now_ms + backoff_ms));
      }
    }
    if notice.leaving && kind == ReplyKind::Done && self.pattern == NoticePattern::OneLeaves {
      sent.leaving_ms.get_or_insert(now_ms + ENDPOINT_DELAY_MS);
    }
    let event = Event::ResponseReceived {
      endpoint,
      reply: Reply { kind, notice },
      request: number,
    };
    self.queue.put(now_ms + ENDPOINT_DELAY_MS, event);
  }

  fn handle_response(&mut self, number: usize, endpoint: usize, reply: Reply, now_ms: u64) {
    let request = &self.requests[number];
    let at = request.at;
    let took_ms = now_ms - request.sent_ms;
    let id = entry(endpoint).id;
    self.apply_notice(at, endpoint, reply.notice, now_ms);
    let endpoints = &mut self.boxes[at].endpoints;
    let outcome = match reply.kind {
      ReplyKind::Done => AttemptOutcome::Answered { took_ms },
      ReplyKind::Rejected => AttemptOutcome::Full,
      ReplyKind::Unreachable | ReplyKind::Lost => AttemptOutcome::Lost,
    };
    endpoints.record_outcome(&id, 1, 1, outcome, now_ms);
    match reply.kind {
      ReplyKind::Done => {
        endpoints.record_accepted(&id, now_ms);
        self.figures.served += u32::from(now_ms <= self.requests[number].deadline_ms);
      }
      // The request may have run, and it is not retryable.
      ReplyKind::Lost => {}
      ReplyKind::Rejected => self.retry(number, now_ms),
      ReplyKind::Unreachable => {
        if !self.send(number, now_ms) {
          self.reject(number, now_ms);
        }
      }
    }
  }

  /// Applies an endpoint's notice at the box that received it, and forwards it under `NoticeWay::Told`.
  fn apply_notice(&mut self, at: usize, endpoint: usize, mut notice: EndpointNotice, now_ms: u64) {
    if let (NoticeWay::OwnBoxSpread, Some(backoff_ms)) = (self.strategy, &mut notice.backoff_ms) {
      *backoff_ms = jittered_backoff_ms(*backoff_ms, self.fleet.boxes, self.random.random());
    }
    let change = self.boxes[at]
      .endpoints
      .record_notice(&entry(endpoint), &notice, now_ms);
    if self.strategy != NoticeWay::Told || change == NoticeChange::default() {
      return;
    }
    for other in (0..self.fleet.boxes).filter(|other| *other != at) {
      self.figures.messages += 1;
      let event = Event::NoticeReceived {
        at: other,
        endpoint,
        notice: notice.clone(),
      };
      self.queue.put(now_ms + BOX_DELAY_MS, event);
    }
  }

  /// Retries a rejected request at another endpoint, if there is one and the retry budget allows it.
  fn retry(&mut self, number: usize, now_ms: u64) {
    if self.choose(number, now_ms).is_none() {
      return self.reject(number, now_ms);
    }
    let at = self.requests[number].at;
    let boxes = self.fleet.boxes;
    if !self.boxes[at].retry_window.take(ALLOWANCE, boxes, now_ms) {
      return self.reject(number, now_ms);
    }
    self.figures.repeats += 1;
    if !self.send(number, now_ms) {
      self.reject(number, now_ms);
    }
  }

  /// Rejects a request with a retry-after delay. The caller retries once if the delay ends before its deadline.
  fn reject(&mut self, number: usize, now_ms: u64) {
    self.figures.refused += 1;
    let request = &self.requests[number];
    let available_in_ms = self.boxes[request.at]
      .endpoints
      .available_in_ms(SERVICE, now_ms);
    let draw: f64 = self.random.random();
    let wait_ms = available_in_ms.map_or(DEFAULT_RETRY_AFTER_MS, |ms| {
      retry_after_backoff_ms(ms, draw)
    });
    let retry_at_ms = now_ms + wait_ms;
    if !request.may_retry || retry_at_ms >= request.deadline_ms {
      return;
    }
    let at = self.random.random_range(0..self.fleet.boxes);
    let request = &mut self.requests[number];
    request.may_retry = false;
    request.tried.clear();
    request.at = at;
    self
      .queue
      .put(retry_at_ms, Event::AtBox { request: number });
  }

  /// Terminates an endpoint, which loses all its requests.
  fn terminate(&mut self, endpoint: usize, now_ms: u64) {
    let target = &mut self.endpoints[endpoint];
    target.is_terminated = true;
    let lost: Vec<usize> = target
      .running
      .drain(..)
      .chain(target.waiting.drain(..))
      .collect();
    for number in lost {
      self.reply(number, endpoint, ReplyKind::Lost, now_ms);
    }
  }
}
