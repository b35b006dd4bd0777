//! The replay: boxes that decide by the gateway's own book and budget, and endpoints that say what they want.

use {
  super::{
    endpoint::Endpoint,
    event::{Event, Reply, ReplyKind},
    figures::NoticeFigures,
    fleet::NoticeFleet,
    pattern::{ENDS_MS, NoticePattern},
    way::NoticeWay,
  },
  crate::queue::Queue,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    gateway::{
      AllowedHalls, AttemptOutcome, EndpointCriteria, EndpointEntry, EndpointNotice,
      EndpointRegistry, LimitHeader, NoticeChange, RetryAllowance, RetryWindow,
      jittered_backoff_ms, retry_after_backoff_ms,
    },
    ids::Name,
  },
};

const SERVICE: &str = "portal";
/// The way between a box and an endpoint.
const WAY_MS: u64 = 2;
/// The way between boxes.
const WORD_MS: u64 = 20;
/// Work on a request.
const WORK_MS: (u64, u64) = (30, 90);
/// How long a caller waits in all; it comes again once.
const PATIENCE_MS: u64 = 4_000;
/// When a caller is told to come back where nothing pauses.
const FULL_MS: u64 = 400;
/// The users' bounds: on repeats of all boxes, on sends after an endpoint's word, and from when on sends in a pause count.
const ALLOWANCE: RetryAllowance = RetryAllowance {
  ratio: 0.2,
  slack: 56.0,
  window_ms: 10_000,
};
const LEAVING_BOUND_MS: u64 = 2_000;
const PAUSE_SLACK_MS: u64 = 500;

/// A caller's request.
#[derive(Clone, Debug)]
struct Request {
  at: usize,
  until_ms: u64,
  tried: Vec<Name>,
  may_come_again: bool,
  /// When the try that is under way was sent.
  sent_ms: u64,
}

/// A box.
struct GatewayBox {
  book: EndpointRegistry,
  window: RetryWindow,
}

struct NoticeReplay {
  pattern: NoticePattern,
  fleet: NoticeFleet,
  way: NoticeWay,
  random: ChaCha8Rng,
  queue: Queue<Event>,
  boxes: Vec<GatewayBox>,
  endpoints: Vec<Endpoint>,
  requests: Vec<Request>,
  figures: NoticeFigures,
}

/// Plays a pattern with a seed.
pub fn replay_notices(
  pattern: NoticePattern,
  fleet: NoticeFleet,
  way: NoticeWay,
  seed: u64,
) -> NoticeFigures {
  let mut replay = NoticeReplay {
    boxes: (0..fleet.boxes).map(|_| new_box(fleet, way)).collect(),
    endpoints: (0..fleet.endpoints).map(|_| Endpoint::default()).collect(),
    figures: NoticeFigures::default(),
    fleet,
    pattern,
    queue: Queue::new(),
    random: ChaCha8Rng::seed_from_u64(seed),
    requests: Vec::new(),
    way,
  };
  replay.queue.put(0, Event::Arrives);
  if let Some((ends_ms, listed_ms)) = pattern.end_ms() {
    replay.queue.put(ends_ms, Event::Ends { endpoint: 0 });
    replay.queue.put(listed_ms, Event::Unlisted { endpoint: 0 });
  }
  while let Some((now_ms, event)) = replay.queue.next() {
    replay.happen(event, now_ms);
  }
  replay.figures
}

fn new_box(fleet: NoticeFleet, way: NoticeWay) -> GatewayBox {
  let mut book = match way {
    NoticeWay::Off => EndpointRegistry::ignoring_notices(),
    _ => EndpointRegistry::default(),
  };
  for number in 0..fleet.endpoints {
    book.put(entry(number));
  }
  book.set_store_connected_since(Some(0));
  GatewayBox {
    book,
    window: RetryWindow::default(),
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
  }
}

impl NoticeReplay {
  fn happen(&mut self, event: Event, now_ms: u64) {
    match event {
      Event::Arrives => self.arrive(now_ms),
      Event::AtBox { request } => self.begin(request, now_ms),
      Event::AtEndpoint { request, endpoint } => self.reach(request, endpoint, now_ms),
      Event::Worked { request, endpoint } => self.worked(request, endpoint, now_ms),
      Event::Answered {
        request,
        endpoint,
        reply,
      } => self.answered(request, endpoint, reply, now_ms),
      Event::Told {
        at,
        endpoint,
        notice,
      } => {
        self.boxes[at]
          .book
          .record_notice(&entry(endpoint), &notice, now_ms);
      }
      Event::Ends { endpoint } => self.end(endpoint, now_ms),
      Event::Unlisted { endpoint } => {
        for each in &mut self.boxes {
          each.book.remove(&entry(endpoint).id);
        }
      }
    }
  }

  fn arrive(&mut self, now_ms: u64) {
    if now_ms >= ENDS_MS {
      return;
    }
    self.figures.callers += 1;
    self.requests.push(Request {
      at: self.random.random_range(0..self.fleet.boxes),
      may_come_again: true,
      sent_ms: now_ms,
      tried: Vec::new(),
      until_ms: now_ms + PATIENCE_MS,
    });
    let request = self.requests.len() - 1;
    self.queue.put(now_ms, Event::AtBox { request });
    let per_s =
      self.fleet.requests_per_s * self.fleet.endpoints as f64 * self.pattern.pressure(now_ms);
    let draw: f64 = self.random.random();
    let pause_ms = -(1.0 - draw).ln() * 1_000.0 / per_s;
    // Arrivals of a millisecond come together: their mean rate is kept.
    let rounded_ms = pause_ms as u64 + u64::from(self.random.random::<f64>() < pause_ms.fract());
    self.queue.put(now_ms + rounded_ms, Event::Arrives);
  }

  /// A try begins at a box.
  fn begin(&mut self, number: usize, now_ms: u64) {
    let at = self.requests[number].at;
    self.boxes[at].window.record_request(now_ms);
    self.boxes[at].book.expire_notices(now_ms);
    if !self.send(number, now_ms) {
      self.refuse(number, now_ms);
    }
  }

  /// Sends a request to the best endpoint that has not been tried; `false` when there is none.
  fn send(&mut self, number: usize, now_ms: u64) -> bool {
    let Some(endpoint) = self.choose(number, now_ms) else {
      return false;
    };
    let request = &mut self.requests[number];
    let id = entry(endpoint).id;
    request.tried.push(id.clone());
    request.sent_ms = now_ms;
    let book = &mut self.boxes[request.at].book;
    book.record_send(&id, 1);
    book.record_probe(&id, now_ms);
    let reaches = Event::AtEndpoint {
      endpoint,
      request: number,
    };
    self.queue.put(now_ms + WAY_MS, reaches);
    true
  }

  fn choose(&mut self, number: usize, now_ms: u64) -> Option<usize> {
    let request = &self.requests[number];
    let wanted = EndpointCriteria {
      allowed_halls: &AllowedHalls::Any,
      hall: "north",
      is_retryable: false,
      role: None,
      service: SERVICE,
      size: 1,
      tried: &request.tried,
    };
    let random = &mut self.random;
    let choice = self.boxes[request.at]
      .book
      .choose(wanted, now_ms, || random.random())?;
    Some(usize::from(choice.entry.address.port()))
  }

  fn reach(&mut self, number: usize, endpoint: usize, now_ms: u64) {
    self.hold_against_word(number, endpoint, now_ms);
    if self.endpoints[endpoint].has_ended {
      return self.reply(number, endpoint, ReplyKind::Refused, now_ms);
    }
    let here = &mut self.endpoints[endpoint];
    if here.is_full() || self.pattern.sheds(endpoint, now_ms) {
      self.figures.turned_away += 1;
      return self.reply(number, endpoint, ReplyKind::TurnedAway, now_ms);
    }
    if here.has_seat() {
      self.work(number, endpoint, now_ms);
    } else {
      here.waiting.push_back(number);
    }
  }

  /// Counts what the endpoint had told this box not to send.
  fn hold_against_word(&mut self, number: usize, endpoint: usize, now_ms: u64) {
    let at = self.requests[number].at;
    let told = self.endpoints[endpoint].told.entry(at).or_default();
    if let Some((asked_ms, until_ms)) = told.pause_ms
      && (asked_ms + PAUSE_SLACK_MS..until_ms).contains(&now_ms)
    {
      told.in_pause += 1;
      self.figures.most_in_pause = self.figures.most_in_pause.max(told.in_pause);
    }
    let is_late = told
      .leaving_ms
      .is_some_and(|said_ms| now_ms > said_ms + LEAVING_BOUND_MS);
    self.figures.late_after_word += u32::from(is_late);
  }

  fn work(&mut self, number: usize, endpoint: usize, now_ms: u64) {
    self.endpoints[endpoint].running.push(number);
    let takes_ms = self.random.random_range(WORK_MS.0..=WORK_MS.1);
    let worked = Event::Worked {
      endpoint,
      request: number,
    };
    self.queue.put(now_ms + takes_ms, worked);
  }

  fn worked(&mut self, number: usize, endpoint: usize, now_ms: u64) {
    let here = &mut self.endpoints[endpoint];
    if here.has_ended {
      return;
    }
    here.running.retain(|other| *other != number);
    if let Some(next) = here.waiting.pop_front() {
      self.work(next, endpoint, now_ms);
    }
    self.reply(number, endpoint, ReplyKind::Done, now_ms);
  }

  /// An endpoint answers, and says of itself what it has to.
  fn reply(&mut self, number: usize, endpoint: usize, kind: ReplyKind, now_ms: u64) {
    let at = self.requests[number].at;
    let speaks = matches!(kind, ReplyKind::Done | ReplyKind::TurnedAway);
    let notice = EndpointNotice {
      cold_ms: None,
      leaving: speaks && self.pattern.leaves(endpoint, now_ms),
      limit: LimitHeader::Absent,
      backoff_ms: (kind == ReplyKind::TurnedAway).then(|| self.pattern.pause_ms()),
      unreadable: None,
    };
    let told = self.endpoints[endpoint].told.entry(at).or_default();
    if let Some(pause_ms) = notice.backoff_ms {
      let is_over = told.pause_ms.is_none_or(|(_, until_ms)| until_ms <= now_ms);
      if is_over {
        told.in_pause = 0;
        told.pause_ms = Some((now_ms, now_ms + pause_ms));
      }
    }
    if notice.leaving && kind == ReplyKind::Done && self.pattern == NoticePattern::OneLeaves {
      told.leaving_ms.get_or_insert(now_ms + WAY_MS);
    }
    let answered = Event::Answered {
      endpoint,
      reply: Reply { kind, notice },
      request: number,
    };
    self.queue.put(now_ms + WAY_MS, answered);
  }

  fn answered(&mut self, number: usize, endpoint: usize, reply: Reply, now_ms: u64) {
    let request = &self.requests[number];
    let at = request.at;
    let took_ms = now_ms - request.sent_ms;
    let id = entry(endpoint).id;
    self.hear(at, endpoint, reply.notice, now_ms);
    let book = &mut self.boxes[at].book;
    let end = match reply.kind {
      ReplyKind::Done => AttemptOutcome::Answered { took_ms },
      ReplyKind::TurnedAway => AttemptOutcome::Full,
      ReplyKind::Refused | ReplyKind::Lost => AttemptOutcome::Lost,
    };
    book.record_outcome(&id, 1, 1, end, now_ms);
    match reply.kind {
      ReplyKind::Done => {
        book.record_accepted(&id, now_ms);
        self.figures.served += u32::from(now_ms <= self.requests[number].until_ms);
      }
      // It may have run: this kind of request is not sent again.
      ReplyKind::Lost => {}
      ReplyKind::TurnedAway => self.send_again(number, now_ms),
      ReplyKind::Refused => {
        if !self.send(number, now_ms) {
          self.refuse(number, now_ms);
        }
      }
    }
  }

  /// A box hears what an endpoint says of itself.
  fn hear(&mut self, at: usize, endpoint: usize, mut notice: EndpointNotice, now_ms: u64) {
    if let (NoticeWay::OwnBoxSpread, Some(pause_ms)) = (self.way, &mut notice.backoff_ms) {
      *pause_ms = jittered_backoff_ms(*pause_ms, self.fleet.boxes, self.random.random());
    }
    let news = self.boxes[at]
      .book
      .record_notice(&entry(endpoint), &notice, now_ms);
    if self.way != NoticeWay::Told || news == NoticeChange::default() {
      return;
    }
    for other in (0..self.fleet.boxes).filter(|other| *other != at) {
      self.figures.messages += 1;
      let told = Event::Told {
        at: other,
        endpoint,
        notice: notice.clone(),
      };
      self.queue.put(now_ms + WORD_MS, told);
    }
  }

  /// A request that was turned away goes to a further endpoint, if there is one and the budget allows.
  fn send_again(&mut self, number: usize, now_ms: u64) {
    if self.choose(number, now_ms).is_none() {
      return self.refuse(number, now_ms);
    }
    let at = self.requests[number].at;
    let boxes = self.fleet.boxes;
    if !self.boxes[at].window.take(ALLOWANCE, boxes, now_ms) {
      return self.refuse(number, now_ms);
    }
    self.figures.repeats += 1;
    if !self.send(number, now_ms) {
      self.refuse(number, now_ms);
    }
  }

  /// A caller is told when to come back, and does once if that is within its time.
  fn refuse(&mut self, number: usize, now_ms: u64) {
    self.figures.refused += 1;
    let request = &self.requests[number];
    let available_in_ms = self.boxes[request.at].book.available_in_ms(SERVICE, now_ms);
    let draw: f64 = self.random.random();
    let wait_ms = available_in_ms.map_or(FULL_MS, |ms| retry_after_backoff_ms(ms, draw));
    let again_ms = now_ms + wait_ms;
    if !request.may_come_again || again_ms >= request.until_ms {
      return;
    }
    let at = self.random.random_range(0..self.fleet.boxes);
    let request = &mut self.requests[number];
    request.may_come_again = false;
    request.tried.clear();
    request.at = at;
    self.queue.put(again_ms, Event::AtBox { request: number });
  }

  /// An endpoint ends with all that it works on.
  fn end(&mut self, endpoint: usize, now_ms: u64) {
    let here = &mut self.endpoints[endpoint];
    here.has_ended = true;
    let lost: Vec<usize> = here
      .running
      .drain(..)
      .chain(here.waiting.drain(..))
      .collect();
    for number in lost {
      self.reply(number, endpoint, ReplyKind::Lost, now_ms);
    }
  }
}
