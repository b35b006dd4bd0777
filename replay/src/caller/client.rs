//! A client: keeps connections, and carries a request through its tries.

use {
  super::{
    CallerPlan,
    answer_reader::AnswerHead,
    attempt::{AttemptEnd, Limits, Received, exchange},
    channel::Channel,
    drawn_request::{DrawnRequest, TryHeaders},
    outcome::ClassOutcome,
    retry_rules::{NextStep, next_step},
  },
  crate::{
    recorder::RequestNote,
    site::{RequestClass, RequestKind},
  },
  judge::RawRequest,
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
  },
  tokio::time::{Instant, sleep},
};

/// Share of the requests that are sent on a new connection.
const NEW_CHANNEL_CHANCE: f64 = 0.25;
/// Share of the requests whose caller reads slowly.
const SLOW_READER_CHANCE: f64 = 0.02;
/// Time in which a connection has to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which a box may leave a request unread; or this share of the time left.
const MAX_UNREAD: Duration = Duration::from_secs(1);
const UNREAD_SHARE: u32 = 3;
/// A `Retry-After` is honoured for this share of the time left.
const RETRY_AFTER_SHARE: u32 = 3;
/// Longest wait before the second try where no time was told. It doubles with each further one.
const MAX_BACKOFF_MS: u64 = 100;
/// Shortest wait before the third try. It doubles with each further one.
const MIN_BACKOFF_MS: u64 = 300;
const MAX_DOUBLINGS: u32 = 4;
/// Requests with which a caller takes up a stream.
const MAX_RESUMPTIONS: u32 = 4;
/// Shortest pause after which a caller leaves a stream, and the multiples of the objectives.
const MIN_GAP_MS: f64 = 2_000.0;
const GAP_AIMS: f64 = 4.0;
const GAP_GAP_AIMS: f64 = 8.0;
/// Idle connections that a client keeps.
const MAX_IDLE: usize = 4;

struct IdleChannel {
  channel: Channel,
  zone: Arc<str>,
  /// When its box closes it.
  until: Option<Instant>,
}

/// A client.
pub(super) struct Client {
  zone: Arc<str>,
  hash: u64,
  idle: Mutex<Vec<IdleChannel>>,
}

/// A request of a client.
pub(super) struct ClientRequest {
  pub(super) class: RequestClass,
  pub(super) content: DrawnRequest,
  /// First digits of the ids of its tries.
  pub(super) number: u32,
  pub(super) random: ChaCha8Rng,
}

impl Client {
  pub(super) fn new(zone: Arc<str>, hash: u64) -> Self {
    Self {
      hash: mix(hash),
      idle: Mutex::default(),
      zone,
    }
  }

  /// Sends a request, and again where the rules allow it. Returns what came of it.
  pub(super) async fn send(&self, plan: &CallerPlan, request: ClientRequest) -> ClassOutcome {
    let now = Instant::now();
    let of_client = self.draw();
    let aim_ms = request.class.aim_ms;
    let gives_up = plan.habits.gives_up_after_ms(of_client, aim_ms);
    let mut sending = Sending {
      client: self,
      deadline: now + duration_ms(request.class.deadline_ms),
      first_id: None,
      first_with_event: None,
      last_event_id: None,
      leaves_at: now + duration_ms(request.class.deadline_ms),
      outcome: ClassOutcome {
        requests: 1,
        ..ClassOutcome::default()
      },
      plan,
      reads_slowly: false,
      request,
    };
    if let Some(latest_ms) = gives_up {
      let after = sending.request.random.random::<f64>() * latest_ms;
      sending.leaves_at = sending.leaves_at.min(now + duration_ms(after));
    }
    sending.reads_slowly = sending.request.random.random_bool(SLOW_READER_CHANCE);
    sending.run().await;
    sending.outcome
  }

  /// Records what has come on the idle connections, and closes them.
  pub(super) fn close(&self) {
    for idle in self.idle().drain(..) {
      idle.channel.is_idle();
    }
  }

  /// A number from 0 to 1 that tells clients apart.
  fn draw(&self) -> f64 {
    f64::from(u32::try_from(self.hash >> 32).unwrap_or_default()) / f64::from(u32::MAX)
  }

  fn idle(&self) -> MutexGuard<'_, Vec<IdleChannel>> {
    // Each change is one call on the list.
    self.idle.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// An idle connection that is still open.
  fn take_idle(&self, zone: &str) -> Option<Channel> {
    let mut idle = self.idle();
    let now = Instant::now();
    while let Some(kept) = idle.pop() {
      let is_in_time = kept.until.is_none_or(|until| now < until);
      if kept.channel.is_idle() && is_in_time && &*kept.zone == zone {
        return Some(kept.channel);
      }
    }
    None
  }

  fn keep(&self, channel: Channel, zone: &Arc<str>, keep_alive_s: Option<u64>) {
    let mut idle = self.idle();
    if idle.len() < MAX_IDLE {
      idle.push(IdleChannel {
        channel,
        until: keep_alive_s.map(|seconds| Instant::now() + Duration::from_secs(seconds)),
        zone: zone.clone(),
      });
    }
  }
}

/// A request under way.
struct Sending<'a> {
  client: &'a Client,
  plan: &'a CallerPlan,
  request: ClientRequest,
  deadline: Instant,
  leaves_at: Instant,
  reads_slowly: bool,
  /// Id of the first try that was sent.
  first_id: Option<String>,
  /// Id of the first try that brought an event.
  first_with_event: Option<String>,
  /// Id of the last whole event that came.
  last_event_id: Option<u64>,
  outcome: ClassOutcome,
}

impl Sending<'_> {
  async fn run(&mut self) {
    let of_client = self.client.draw();
    let abusive_tries = self.plan.habits.abusive_tries(of_client);
    let mut retries = self.request.class.retries + abusive_tries.unwrap_or_default();
    let mut resumptions = MAX_RESUMPTIONS;
    if self.plan.habits.tries_once(of_client) {
      (retries, resumptions) = (0, 0);
    }
    let mut number = 0;
    loop {
      let received = self.send_once(number).await;
      let has_begun = self.first_with_event.is_some();
      let left = match next_step(&self.request.class, &received, has_begun) {
        NextStep::Stop => return,
        NextStep::TryAgain => &mut retries,
        NextStep::Resume => &mut resumptions,
      };
      let Some(rest) = left.checked_sub(1) else {
        return;
      };
      *left = rest;
      number += 1;
      if abusive_tries.is_none() {
        sleep(self.wait(&received, number)).await;
      }
      if Instant::now() >= self.leaves_at {
        return;
      }
    }
  }

  /// How long to wait before a further try.
  fn wait(&mut self, received: &Received, number: u32) -> Duration {
    let doublings = number.saturating_sub(1).min(MAX_DOUBLINGS);
    let least_ms = if number > 1 {
      MIN_BACKOFF_MS << (doublings - 1)
    } else {
      0
    };
    let most_ms = least_ms + (MAX_BACKOFF_MS << doublings);
    let backoff_ms = self.request.random.random_range(least_ms..=most_ms);
    let told_s = received
      .head
      .as_ref()
      .and_then(AnswerHead::retry_after_s)
      .filter(|_| !received.is_success());
    let told = told_s.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let wait = told.unwrap_or(Duration::from_millis(backoff_ms));
    wait.min(self.left() / RETRY_AFTER_SHARE)
  }

  fn left(&self) -> Duration {
    self.deadline.saturating_duration_since(Instant::now())
  }

  async fn send_once(&mut self, number: u32) -> Received {
    let zone = self.plan.habits.zone(&self.client.zone, self.client.draw());
    let id = self.id(number);
    let Some(mut channel) = self.channel(&zone, number, &id).await else {
      return Received::no_channel();
    };
    let raw = self.raw_request(&id);
    let raw = self.plan.recorder.raw.record_request(raw);
    channel.recorder.record_request(raw);
    self.note_sent(&id, channel.box_index);
    let bytes = self.bytes(&id);
    let recorder = &self.plan.recorder;
    let began = || {
      let now_ms = recorder.now_ms();
      recorder.update_request(&id, |note| note.first_event_ms = Some(now_ms));
    };
    let received = exchange(&mut channel, &bytes, self.limits(), began).await;
    if received.is_reusable && !self.reads_slowly {
      let keep_alive_s = received.head.as_ref().and_then(AnswerHead::keep_alive_s);
      self.client.keep(channel, &zone, keep_alive_s);
    }
    self.apply(&id, &received);
    received
  }

  fn id(&mut self, number: u32) -> String {
    let draw: u16 = self.request.random.random();
    format!("{:08x}{:04x}{draw:04x}", self.request.number, number)
  }

  fn bytes(&self, id: &str) -> Vec<u8> {
    let resumes = self.first_with_event.as_deref();
    self.request.content.bytes(TryHeaders {
      id,
      last_event_id: self.last_event_id,
      left_ms: u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX),
      resumes: resumes.filter(|_| self.plan.names_streams),
    })
  }

  fn raw_request(&self, id: &str) -> RawRequest {
    let class = &self.request.class;
    let first = self.first_id.as_deref().unwrap_or(id);
    RawRequest {
      id: id.into(),
      last_event_id: self.last_event_id,
      may_resume: class.may_resume(),
      stream: (class.kind == RequestKind::Stream).then(|| first.into()),
    }
  }

  /// A connection for a try: a kept one for some first tries, else a new one.
  async fn channel(&mut self, zone: &Arc<str>, number: u32, id: &str) -> Option<Channel> {
    let is_new = self.request.random.random_bool(NEW_CHANNEL_CHANCE);
    if number == 0
      && !is_new
      && !self.reads_slowly
      && let Some(channel) = self.client.take_idle(zone)
    {
      return Some(channel);
    }
    let hash = match number {
      0 => self.client.hash,
      number => mix(self.client.hash ^ (u64::from(self.request.number) << 32 | u64::from(number))),
    };
    let place = self.plan.balancer.pick(zone, hash)?;
    let left = self.leaves_at.saturating_duration_since(Instant::now());
    let time = CONNECT_TIMEOUT.min(left);
    let raw = &self.plan.recorder.raw;
    match Channel::open(place, raw, self.reads_slowly, time).await {
      Ok(channel) => Some(channel),
      Err(error) => {
        self.note_sent(id, place.0);
        self.note_end(id, format!("no connection: {error}"), false);
        None
      }
    }
  }

  fn limits(&self) -> Limits {
    let class = &self.request.class;
    let gap_ms = class.stream.as_ref().map(|stream| {
      let longest = (GAP_AIMS * class.aim_ms).max(GAP_GAP_AIMS * stream.gap_aim_ms);
      MIN_GAP_MS.max(longest)
    });
    let may_repeat = class.kind == RequestKind::Safe || class.may_resume();
    Limits {
      gap: gap_ms.map(duration_ms),
      leaves_at: self.leaves_at,
      reads_slowly: self.reads_slowly,
      unread: may_repeat.then(|| MAX_UNREAD.min(self.left() / UNREAD_SHARE)),
    }
  }

  /// Takes in what came of a try.
  fn apply(&mut self, id: &str, received: &Received) {
    self.outcome.tries += 1;
    let has_events = received.is_success() && received.events.count > 0;
    let was_resumption = self.first_with_event.is_some();
    if was_resumption {
      self.outcome.resumed += 1;
      self.outcome.gone_on += u64::from(has_events || received.is_served());
    }
    if has_events && !was_resumption {
      self.outcome.begun = 1;
      self.first_with_event = Some(id.into());
    }
    if has_events {
      self.last_event_id = received.events.last_id;
    }
    self.outcome.served += u64::from(received.is_served());
    self.first_id.get_or_insert_with(|| id.into());
    let status = received
      .status()
      .map_or_else(|| "no answer".into(), |status| status.to_string());
    let how = match received.end {
      AttemptEnd::Whole => "",
      AttemptEnd::NoChannel => " no connection",
      AttemptEnd::BrokenOff => " broken off",
      AttemptEnd::Invalid => " invalid",
      AttemptEnd::Gap => " left after a pause",
      AttemptEnd::Unread => " unread",
      AttemptEnd::Left => " left",
    };
    self.note_end(id, format!("{status}{how}"), received.is_served());
  }

  fn note_sent(&self, id: &str, box_index: usize) {
    let note = RequestNote {
      box_index,
      class: self.request.class.name.clone(),
      ended: None,
      first_event_ms: None,
      is_served: false,
      resumes: self.first_with_event.clone(),
      sent_ms: self.plan.recorder.now_ms(),
    };
    self.plan.recorder.begin_request(id, note);
  }

  fn note_end(&self, id: &str, how: String, is_served: bool) {
    let now_ms = self.plan.recorder.now_ms();
    self.plan.recorder.update_request(id, |note| {
      note.ended = Some((now_ms, how));
      note.is_served = is_served;
    });
  }
}

fn duration_ms(milliseconds: f64) -> Duration {
  Duration::try_from_secs_f64(milliseconds / 1_000.0).unwrap_or_default()
}

/// Spreads a number over all bits.
pub(super) fn mix(number: u64) -> u64 {
  let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
  mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
  mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
  mixed ^ (mixed >> 31)
}
