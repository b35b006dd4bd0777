//! The replay: boxes that decide by the gateway's own books, and messages that take their time.

use {
  super::{
    event::{Event, Word},
    figures::PlaceFigures,
    fleet::PlaceFleet,
    pattern::{ENDED_MS, ENDS_MS, LIST_LAG_MS, NAMED_FROM_MS, PlacePattern},
    place_box::PlaceBox,
    way::PlaceWay,
  },
  crate::queue::Queue,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    gateway::{
      AdvertisedLimit, BoxList, EndpointEntry, EndpointIncarnation, ISOLATED_BOXES, LimitChange,
      LimitHeader, LimitSource, LocalPermitVerdict, PermitRequest, PermitVerdict, ReportScope,
      TokenBucket, UsageLimit, UsageTotals, UsageVerdict, coordinator_limit, coordinator_order,
      isolated_limit,
    },
    ids::Name,
  },
  std::collections::VecDeque,
};

/// How the gateway waits and pauses.
const ASK_LIMIT_MS: u64 = 120;
const UNHEARD_MS: u64 = 1_000;
const NOT_ALONE_WAIT_MS: u64 = 1_000;
const TELL_PAUSE_MS: u64 = 150;
/// Ways through the network, and the endpoint's work.
const BOX_DELAY_MS: u64 = 2;
const LATE_MS: f64 = 150.0;
const LOST_SHARE: f64 = 0.2;
const ENDPOINT_DELAY_MS: u64 = 2;
const WORK_MS: u64 = 20;
/// Bytes of a question, its answer, a word told on, and a sum: body and head.
const QUESTION_BYTES: u64 = 115;
const ANSWER_BYTES: u64 = 95;
const TOLD_BYTES: u64 = 105;
const TOTALS_BYTES: u64 = 110;
/// How the users count.
const WINDOW_MS: u64 = 4_000;
const CONTACT_MS: u64 = 3_000;
const HEARD_MS: u64 = 500;
/// From here on what is used counts.
const USED_FROM_MS: u64 = NAMED_FROM_MS + 5_000;

struct PlaceReplay {
  pattern: PlacePattern,
  fleet: PlaceFleet,
  way: PlaceWay,
  random: ChaCha8Rng,
  queue: Queue<Event>,
  entry: EndpointEntry,
  list: BoxList,
  /// The boxes in the endpoint's order, with and without the one that counts while all is calm.
  order: Vec<usize>,
  order_without: Vec<usize>,
  /// The box that counts while all is calm.
  counting: usize,
  boxes: Vec<PlaceBox>,
  now_ms: u64,
  questions: u32,
  answers: u32,
  first_word_ms: Option<u64>,
  /// Requests of told boxes that count.
  window: VecDeque<u64>,
  used: u32,
  figures: PlaceFigures,
}

/// Plays a pattern with a seed.
pub fn replay_places(
  pattern: PlacePattern,
  fleet: PlaceFleet,
  way: PlaceWay,
  seed: u64,
) -> PlaceFigures {
  let entry = EndpointEntry {
    address: ([127, 0, 0, 1], 1).into(),
    started_ms: Some(1),
    cold_ms: 0,
    hall: PlaceFleet::hall(0).as_str().into(),
    id: format!("e-{seed}").as_str().into(),
    leaving: false,
    role: None,
    slots: 8,
    service: "portal".into(),
  };
  let list = fleet.list_without(None);
  let order = order_of(&list, &entry);
  let counting = order[0];
  let mut replay = PlaceReplay {
    answers: 0,
    boxes: (0..fleet.boxes).map(|_| PlaceBox::default()).collect(),
    counting,
    figures: PlaceFigures::default(),
    first_word_ms: None,
    fleet,
    list,
    order_without: order_of(&fleet.list_without(Some(counting)), &entry),
    now_ms: 0,
    order,
    pattern,
    entry,
    questions: 0,
    queue: Queue::new(),
    random: ChaCha8Rng::seed_from_u64(seed),
    used: 0,
    way,
    window: VecDeque::new(),
  };
  replay.begin();
  replay.play();
  replay.end()
}

fn order_of(list: &BoxList, entry: &EndpointEntry) -> Vec<usize> {
  let order = coordinator_order(list, &entry.id, &entry.hall, 1 + ISOLATED_BOXES);
  let numbers = order
    .into_iter()
    .map(|(_, address)| PlaceFleet::number(address));
  numbers.collect()
}

impl PlaceReplay {
  fn begin(&mut self) {
    self.queue.put(0, Event::Arrives);
    if self.way == PlaceWay::ToldSums {
      for at in 0..self.fleet.boxes {
        let first_ms = (self.random.random::<f64>() * TELL_PAUSE_MS as f64) as u64;
        self.queue.put(first_ms, Event::Turn { at });
      }
    }
    if self.pattern == PlacePattern::CountingEnds {
      self.queue.put(ENDED_MS.1, Event::Starts);
      for at in 0..self.fleet.boxes {
        for (changed_ms, has_counting) in [(ENDED_MS.0, false), (ENDED_MS.1, true)] {
          let lag_ms = (self.random.random::<f64>() * LIST_LAG_MS) as u64;
          let heard = Event::Listed { at, has_counting };
          self.queue.put(changed_ms + lag_ms, heard);
        }
      }
    }
  }

  fn play(&mut self) {
    while let Some((now_ms, event)) = self.queue.next() {
      if now_ms >= ENDS_MS {
        return;
      }
      self.now_ms = now_ms;
      self.handle(event);
    }
  }

  fn end(mut self) -> PlaceFigures {
    let counted_s = (ENDS_MS - USED_FROM_MS) as f64 / 1_000.0;
    let named_s = (ENDS_MS - NAMED_FROM_MS) as f64 / 1_000.0;
    let named = (self.fleet.limit_per_s * counted_s).max(1.0);
    self.figures.used_share = f64::from(self.used) / named;
    let bytes = self.boxes.iter().map(|one| one.bytes);
    self.figures.busiest_bytes_per_s = bytes.clone().max().unwrap_or(0) as f64 / named_s;
    self.figures.mean_bytes_per_s = bytes.sum::<u64>() as f64 / named_s / self.fleet.boxes as f64;
    self.figures
  }

  fn handle(&mut self, event: Event) {
    match event {
      Event::Arrives => self.arrives(),
      Event::Question {
        from,
        to,
        number,
        wish,
        told,
      } => self.question(from, to, number, wish, told),
      Event::Answer {
        to,
        from,
        number,
        verdict,
        told,
      } => self.answer(to, from, number, verdict, told),
      Event::TimedOut {
        at,
        to,
        number,
        wish,
      } => self.timed_out(at, to, number, wish),
      Event::AtEndpoint { from, is_told } => self.at_endpoint(from, is_told),
      Event::Heard { at, sent_ms, per_s } => self.heard(at, sent_ms, per_s),
      Event::Told {
        to,
        word,
        is_told_on,
      } => self.told(to, word, is_told_on),
      Event::Turn { at } => self.turn(at),
      Event::Totals { to, totals } => {
        let now_ms = self.now_ms;
        self.boxes[to].sums.merge_totals(&totals, now_ms, now_ms);
      }
      Event::Listed { at, has_counting } => self.boxes[at].lists_counting = has_counting,
      Event::Starts => {
        let bytes = self.boxes[self.counting].bytes;
        self.boxes[self.counting] = PlaceBox {
          bytes,
          ..PlaceBox::default()
        };
      }
    }
  }

  /// A caller comes to a box that serves; the next one comes later.
  fn arrives(&mut self) {
    let gap_s = -(1.0 - self.random.random::<f64>()).ln() / self.fleet.requests_per_s;
    let next_ms = self.now_ms + (gap_s * 1_000.0).round() as u64;
    self.queue.put(next_ms, Event::Arrives);
    let at = match self.pattern {
      PlacePattern::OneBox => 0,
      _ => self.random.random_range(0..self.fleet.boxes),
    };
    if self.is_up(at) {
      self.at_box(at);
    } else {
      self.figures.elsewhere += 1;
    }
  }

  fn is_up(&self, at: usize) -> bool {
    let is_away = self.pattern.is_frozen(self.now_ms) || self.pattern.has_ended(self.now_ms);
    at != self.counting || !is_away
  }

  /// The endpoint that names a limit is wanted first: it looks the least busy.
  fn at_box(&mut self, at: usize) {
    let now_ms = self.now_ms;
    let Some(per_s) = self.boxes[at].limits.per_s(&self.entry, now_ms) else {
      return self.send(at);
    };
    match self.way {
      PlaceWay::Off => self.send(at),
      PlaceWay::EvenParts => {
        let part = UsageLimit {
          burst: 1.0,
          rate_per_s: coordinator_limit(per_s).rate_per_s / self.fleet.boxes as f64,
        };
        let bucket = self.boxes[at]
          .even
          .get_or_insert_with(|| TokenBucket::empty(now_ms));
        let has_place = bucket.level(part, now_ms) >= 1.0;
        if has_place {
          bucket.charge(part, 1.0);
        }
        self.send_or_not(at, has_place);
      }
      PlaceWay::ToldSums => {
        let limit = coordinator_limit(per_s);
        let name: Name = self.entry.id.clone();
        let sums = &mut self.boxes[at].sums;
        if sums.limit(&name) != Some(limit) {
          sums.set_limits([(name.clone(), limit)], now_ms);
        }
        let verdict = sums.admit(&name, 1, now_ms);
        self.send_or_not(at, verdict == UsageVerdict::WithinLimit);
      }
      PlaceWay::Asked | PlaceWay::AskedAndTold => self.look_for_place(at),
    }
  }

  fn send_or_not(&mut self, at: usize, has_place: bool) {
    if has_place {
      self.send(at);
    } else {
      self.figures.elsewhere += 1;
    }
  }

  fn send(&mut self, at: usize) {
    let told_ms = self.boxes[at].answered_ms;
    let is_told = told_ms.is_some_and(|told_ms| self.now_ms >= told_ms + HEARD_MS);
    if told_ms.is_none() && self.first_word_ms.is_some() {
      self.figures.untold += 1;
    }
    let arrives_ms = self.now_ms + ENDPOINT_DELAY_MS;
    let event = Event::AtEndpoint { from: at, is_told };
    self.queue.put(arrives_ms, event);
  }

  fn look_for_place(&mut self, at: usize) {
    let now_ms = self.now_ms;
    if self.boxes[at].limits.blocked_for_ms(&self.entry, now_ms) > 0 {
      self.figures.elsewhere += 1;
      return;
    }
    let id = self.entry.id.clone();
    match self.boxes[at].limits.permits().acquire(&id, now_ms) {
      LocalPermitVerdict::Granted => self.send(at),
      LocalPermitVerdict::Rejected { .. } => self.figures.elsewhere += 1,
      LocalPermitVerdict::Ask { permits, unused } => {
        let wish = PermitRequest {
          box_name: PlaceFleet::name(at).as_str().into(),
          permits,
          priority: 1,
          unused,
        };
        self.ask(at, wish);
      }
    }
  }

  /// The boxes in the endpoint's order, as a box knows it.
  fn order(&self, at: usize) -> &[usize] {
    if self.boxes[at].lists_counting {
      &self.order
    } else {
      &self.order_without
    }
  }

  fn ask(&mut self, at: usize, wish: PermitRequest) {
    let now_ms = self.now_ms;
    let first = self.order(at)[0];
    if first == at {
      let verdict = self.give_out(at, &wish);
      return self.decided(at, verdict);
    }
    if now_ms < self.boxes[at].unheard_until_ms {
      let verdict = self.decide_alone(at, &wish);
      return self.decided(at, verdict);
    }
    self.questions += 1;
    let number = self.questions;
    self.boxes[at].open.insert(number);
    let timed_out = Event::TimedOut {
      at,
      number,
      to: first,
      wish: wish.clone(),
    };
    self.queue.put(now_ms + ASK_LIMIT_MS, timed_out);
    let told = self.word(at);
    let question = Event::Question {
      from: at,
      number,
      to: first,
      told,
      wish,
    };
    self.message(at, first, QUESTION_BYTES, question);
  }

  /// The newest word that a box knows.
  fn word(&self, at: usize) -> Word {
    let heard = self.boxes[at].limits.advertised(&self.entry);
    Word {
      heard_ms: heard.map_or(0, |heard| heard.received_ms),
      per_s: heard.and_then(|heard| heard.per_s).unwrap_or_default(),
    }
  }

  /// Sends a message from a box to another, unless it is lost.
  fn message(&mut self, from: usize, to: usize, bytes: u64, event: Event) {
    self.figures.messages += 1;
    self.boxes[from].bytes += bytes;
    self.boxes[to].bytes += bytes;
    let is_cut = self.pattern.is_cut(self.now_ms)
      && (PlaceFleet::hall(from) == *self.entry.hall) != (PlaceFleet::hall(to) == *self.entry.hall);
    let is_late = self.pattern == PlacePattern::LateAndLost;
    let is_lost = is_late && self.random.random::<f64>() < LOST_SHARE;
    if is_cut || is_lost {
      return;
    }
    let late_ms = if is_late {
      (self.random.random::<f64>() * LATE_MS) as u64
    } else {
      0
    };
    self.queue.put(self.now_ms + BOX_DELAY_MS + late_ms, event);
  }

  fn question(&mut self, from: usize, to: usize, number: u32, wish: PermitRequest, told: Word) {
    // A box that knows another one that counts says so; here it does not answer.
    if !self.is_up(to) || self.order(to)[0] != to {
      return;
    }
    self.take_over(to, told);
    let verdict = self.give_out(to, &wish);
    let told = self.word(to);
    let answer = Event::Answer {
      from: to,
      number,
      to: from,
      told,
      verdict,
    };
    self.message(to, from, ANSWER_BYTES, answer);
  }

  fn take_over(&mut self, at: usize, word: Word) -> LimitChange {
    let heard = AdvertisedLimit {
      received_ms: word.heard_ms,
      per_s: Some(word.per_s),
      source: LimitSource::Box,
    };
    let (id, started_ms) = (self.entry.id.clone(), self.entry.started_ms);
    self.boxes[at]
      .limits
      .record_reported(&id, started_ms, heard)
  }

  fn life(&self) -> EndpointIncarnation {
    EndpointIncarnation::of(&self.entry.id, self.entry.started_ms)
  }

  fn give_out(&mut self, at: usize, wish: &PermitRequest) -> PermitVerdict {
    let limit = coordinator_limit(self.word(at).per_s);
    let (life, now_ms) = (self.life(), self.now_ms);
    self.boxes[at].counted.request(life, limit, wish, now_ms)
  }

  fn decide_alone(&mut self, at: usize, wish: &PermitRequest) -> PermitVerdict {
    if !self.order(at).iter().skip(1).any(|one| *one == at) {
      return PermitVerdict::Rejected {
        wait_ms: NOT_ALONE_WAIT_MS,
      };
    }
    let wish = PermitRequest {
      permits: 1,
      unused: 0,
      ..wish.clone()
    };
    let limit = isolated_limit(self.word(at).per_s);
    let (life, now_ms) = (self.life(), self.now_ms);
    self.boxes[at].alone.request(life, limit, &wish, now_ms)
  }

  fn decided(&mut self, at: usize, verdict: PermitVerdict) {
    let (id, now_ms) = (self.entry.id.clone(), self.now_ms);
    let permits = self.boxes[at].limits.permits();
    let has_place = permits.record_verdict(&id, verdict, now_ms);
    self.send_or_not(at, has_place);
  }

  fn answer(&mut self, to: usize, _from: usize, number: u32, verdict: PermitVerdict, told: Word) {
    // Too late: the request has gone elsewhere, and what was given out is lost.
    if !self.boxes[to].open.remove(&number) {
      return;
    }
    self.take_over(to, told);
    self.decided(to, verdict);
  }

  fn timed_out(&mut self, at: usize, to: usize, number: u32, wish: PermitRequest) {
    if !self.boxes[at].open.remove(&number) {
      return;
    }
    debug_assert_ne!(at, to);
    self.boxes[at].unheard_until_ms = self.now_ms + UNHEARD_MS;
    let verdict = self.decide_alone(at, &wish);
    self.decided(at, verdict);
  }

  fn at_endpoint(&mut self, from: usize, is_told: bool) {
    let now_ms = self.now_ms;
    if now_ms >= USED_FROM_MS {
      self.used += 1;
    }
    let counts_from_ms = self
      .first_word_ms
      .map_or(u64::MAX, |first_ms| first_ms + CONTACT_MS);
    if is_told && now_ms >= counts_from_ms {
      self.window.push_back(now_ms);
      while self
        .window
        .front()
        .is_some_and(|at_ms| at_ms + WINDOW_MS <= now_ms)
      {
        self.window.pop_front();
      }
      let most = u32::try_from(self.window.len()).unwrap_or(u32::MAX);
      self.figures.most_in_window = self.figures.most_in_window.max(most);
    }
    let answers_ms = now_ms + WORK_MS;
    if answers_ms < NAMED_FROM_MS {
      return;
    }
    self.first_word_ms.get_or_insert(answers_ms);
    self.answers += 1;
    let is_half = self.pattern == PlacePattern::FiguresDiffer && self.answers.is_multiple_of(2);
    let heard = Event::Heard {
      at: from,
      per_s: self.fleet.limit_per_s * if is_half { 0.5 } else { 1.0 },
      sent_ms: now_ms - ENDPOINT_DELAY_MS,
    };
    self.queue.put(answers_ms + ENDPOINT_DELAY_MS, heard);
  }

  fn heard(&mut self, at: usize, sent_ms: u64, per_s: f64) {
    let now_ms = self.now_ms;
    self.boxes[at].answered_ms.get_or_insert(now_ms);
    let said = LimitHeader::PerSecond(per_s);
    let limits = &mut self.boxes[at].limits;
    let news = limits.record_response(&self.entry, said, sent_ms, now_ms);
    if news != LimitChange::Started || self.way != PlaceWay::AskedAndTold {
      return;
    }
    let name = PlaceFleet::name(at);
    let word = self.word(at);
    for address in self.list.other_coordinators(&name) {
      self.tell(at, PlaceFleet::number(address), word, false);
    }
    for address in self.list.forwarded_by(&name) {
      self.tell(at, PlaceFleet::number(address), word, true);
    }
  }

  fn tell(&mut self, from: usize, to: usize, word: Word, is_told_on: bool) {
    let told = Event::Told {
      is_told_on,
      to,
      word,
    };
    self.message(from, to, TOLD_BYTES, told);
  }

  fn told(&mut self, to: usize, word: Word, is_told_on: bool) {
    if !self.is_up(to) || self.take_over(to, word) != LimitChange::Started || is_told_on {
      return;
    }
    for address in self.list.forwarded_by(&PlaceFleet::name(to)) {
      self.tell(to, PlaceFleet::number(address), word, true);
    }
  }

  /// Tells all others this box's sum.
  fn turn(&mut self, at: usize) {
    self
      .queue
      .put(self.now_ms + TELL_PAUSE_MS, Event::Turn { at });
    let name = PlaceFleet::name(at);
    if !self.is_up(at) || self.boxes[at].sums.is_empty() {
      return;
    }
    let totals = self.boxes[at].sums.totals_to_report(ReportScope::All);
    let totals = UsageTotals {
      box_name: name.as_str().into(),
      reporters: 0,
      incarnation: 1,
      totals,
      uptime_ms: self.now_ms,
    };
    for to in (0..self.fleet.boxes).filter(|to| *to != at) {
      let heard = Event::Totals {
        to,
        totals: Box::new(totals.clone()),
      };
      self.message(at, to, TOTALS_BYTES, heard);
    }
  }
}
