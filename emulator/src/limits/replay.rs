//! The replay: boxes that admit by the gateway's own books and ledgers, and messages that take their time.

use {
  super::{
    event::Event,
    figures::{LimitFigures, WindowUse},
    fleet::{LimitFleet, REQUEST_UNITS},
    limit_box::LimitBox,
    pattern::{BEGINS_MS, ENDS_MS, LimitPattern},
  },
  crate::queue::Queue,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    gateway::{
      BoxList, LimitSettings, LimitStrategy, LocalVerdict, ReportScope, UsageLimit, UsageRequest,
      UsageTotals, UsageVerdict,
    },
    ids::Name,
  },
  std::net::SocketAddr,
};

/// Pause between a box's messages, and turns that an idle box skips, as the gateway has them.
const PAUSE_MS: u64 = 150;
const IDLE_TURNS: u32 = 3;
const WHOLE_TURNS: u32 = 10;
/// How the users' bound is set there.
const SETTINGS: LimitSettings = LimitSettings {
  overage: 0.1,
  slack_units: 190_000.0,
  strategy: LimitStrategy::AskNearLimit,
};
/// Bytes of an entry with a name and a number in a message.
const ENTRY_BYTES: usize = 14;

struct LimitReplay {
  pattern: LimitPattern,
  fleet: LimitFleet,
  way: LimitStrategy,
  random: ChaCha8Rng,
  queue: Queue<Event>,
  list: BoxList,
  names: Vec<Name>,
  boxes: Vec<LimitBox>,
  windows: Vec<WindowUse>,
  /// Units that each organisation was served while the pattern is in force.
  served: Vec<f64>,
  figures: LimitFigures,
}

/// Plays a pattern with a seed.
pub fn replay_limits(
  pattern: LimitPattern,
  fleet: LimitFleet,
  way: LimitStrategy,
  seed: u64,
) -> LimitFigures {
  let mut replay = LimitReplay {
    boxes: (0..fleet.boxes).map(|_| LimitBox::default()).collect(),
    figures: LimitFigures::default(),
    fleet,
    list: fleet.box_list(),
    names: (0..fleet.organisations)
      .map(|number| format!("organisation-{number}").as_str().into())
      .collect(),
    pattern,
    queue: Queue::new(),
    random: ChaCha8Rng::seed_from_u64(seed),
    served: vec![0.0; fleet.organisations],
    way,
    windows: vec![WindowUse::default(); fleet.organisations],
  };
  replay.begin();
  replay.play();
  replay.end()
}

impl LimitReplay {
  fn begin(&mut self) {
    self.put_limits(0);
    for organisation in 0..self.fleet.organisations {
      self.await_next(organisation, 0);
    }
    for from in 0..self.fleet.boxes {
      let at_ms = self.random.random_range(0..PAUSE_MS);
      self.queue.put(at_ms, Event::Tells { from });
    }
    self.queue.put(BEGINS_MS, Event::LimitsChange);
    if let Some(at_ms) = self.pattern.boxes_start_ms() {
      self.queue.put(at_ms, Event::BoxesStart);
    }
  }

  fn play(&mut self) {
    while let Some((now_ms, event)) = self.queue.next() {
      if now_ms >= ENDS_MS {
        return;
      }
      self.happen(event, now_ms);
    }
  }

  fn happen(&mut self, event: Event, now_ms: u64) {
    match event {
      Event::Arrives { organisation } => {
        self.arrive(organisation, now_ms);
        self.await_next(organisation, now_ms);
      }
      Event::Tells { from } => {
        self.tell(from, now_ms);
        self.queue.put(now_ms + PAUSE_MS, Event::Tells { from });
      }
      Event::HearsTotals { at, totals } => {
        let heard = &mut self.boxes[at];
        let uptime_ms = now_ms - heard.started_ms;
        heard.book.merge_totals(&totals, uptime_ms, now_ms);
      }
      Event::HearsReport { at, from, used } => self.hear_report(at, from, &used, now_ms),
      Event::HearsShort { at, short } => self.boxes[at].ledger.record_near_limit(short, now_ms),
      Event::BoxesStart => {
        for started in &mut self.boxes {
          *started = LimitBox {
            bytes: started.bytes,
            messages: started.messages,
            started_ms: now_ms,
            ..LimitBox::default()
          };
        }
        self.put_limits(now_ms);
      }
      Event::LimitsChange => self.put_limits(now_ms),
    }
  }

  /// The operators' limit of an organisation.
  fn limit(&self, organisation: usize, now_ms: u64) -> UsageLimit {
    let limit = self.fleet.limit(organisation);
    let share = self.pattern.limit_share(now_ms);
    UsageLimit {
      burst: limit.burst * share,
      rate_per_s: limit.rate_per_s * share,
    }
  }

  fn put_limits(&mut self, now_ms: u64) {
    let limits: Vec<(Name, UsageLimit)> = (0..self.fleet.organisations)
      .map(|number| {
        let kept = SETTINGS.enforced(self.limit(number, now_ms));
        (self.names[number].clone(), kept)
      })
      .collect();
    for each in &mut self.boxes {
      each.book.set_limits(limits.iter().cloned(), now_ms);
    }
  }

  fn await_next(&mut self, organisation: usize, now_ms: u64) {
    let load = self
      .pattern
      .load(organisation, self.fleet.organisations, now_ms);
    let per_s = self.fleet.requests_per_s(organisation) * load;
    let draw: f64 = self.random.random();
    let pause_ms = -(1.0 - draw).ln() / per_s * 1_000.0;
    // A pause that began before the load changed does not outlast the change.
    let until_ms = now_ms + (pause_ms as u64).min(1_000);
    self.queue.put(until_ms, Event::Arrives { organisation });
  }

  fn arrive(&mut self, organisation: usize, now_ms: u64) {
    let only_hall = self.pattern == LimitPattern::OneHall;
    let caller = self.random.random_range(0..self.fleet.boxes);
    let at = self.fleet.box_of(organisation, caller, only_hall);
    let is_within = self.admit(at, organisation, now_ms);
    let load = self
      .pattern
      .load(organisation, self.fleet.organisations, now_ms);
    let is_hot = self.pattern.is_hot() && organisation_is_hot(organisation, self.fleet);
    if !is_hot && load <= 1.0 && self.pattern.limit_share(now_ms) >= 1.0 {
      self.figures.inside += 1;
      self.figures.refused_inside += u32::from(!is_within);
    }
    if is_within {
      let limit = self.limit(organisation, now_ms);
      let used = self.windows[organisation].admit(REQUEST_UNITS as f64, limit, now_ms);
      // A lower limit takes hold a window after its change.
      let is_changing =
        self.pattern == LimitPattern::LimitsCut && (BEGINS_MS..BEGINS_MS + 8_000).contains(&now_ms);
      if !is_changing {
        self.figures.most_used = self.figures.most_used.max(used);
      }
      if self.pattern.is_in_force(now_ms) {
        self.served[organisation] += REQUEST_UNITS as f64;
      }
    }
  }

  /// Whether a box admits a request.
  fn admit(&mut self, at: usize, organisation: usize, now_ms: u64) -> bool {
    let name = self.names[organisation].clone();
    let Some(limit) = self.boxes[at].book.limit(&name) else {
      return true;
    };
    if self.way.uses_coordinators() && self.is_counting(at) {
      let verdict = self.boxes[at].book.admit(&name, REQUEST_UNITS, now_ms);
      return verdict == UsageVerdict::WithinLimit;
    }
    let request = self.request(&name, limit, now_ms);
    let local = self.boxes[at].ledger.admit(request, self.way);
    let verdict = match local {
      LocalVerdict::Settled(verdict) => verdict,
      LocalVerdict::Ask => self.ask(at, &name, limit, now_ms),
    };
    verdict == UsageVerdict::WithinLimit
  }

  fn request<'a>(
    &self,
    organisation: &'a Name,
    limit: UsageLimit,
    now_ms: u64,
  ) -> UsageRequest<'a> {
    UsageRequest {
      boxes: self.fleet.boxes,
      limit,
      now_ms,
      organisation,
      units: REQUEST_UNITS,
    }
  }

  /// Asks the first box that counts and is reached; in the replay it answers at once.
  fn ask(&mut self, at: usize, name: &Name, limit: UsageLimit, now_ms: u64) -> UsageVerdict {
    let Some(counting) = self.first_reached(at, now_ms) else {
      let request = self.request(name, limit, now_ms);
      let ledger = &mut self.boxes[at].ledger;
      ledger.record_unreachable();
      return ledger.admit_isolated(request);
    };
    let used = self.boxes[at].ledger.take_unreported();
    self.note_message(at, counting, used.len() + 1);
    let asking: Name = self.fleet.name(at).as_str().into();
    let book = &mut self.boxes[counting].book;
    book.record_reporter(&asking, now_ms);
    for (organisation, units) in &used {
      book.charge(organisation, *units, now_ms);
    }
    let verdict = book.admit(name, REQUEST_UNITS, now_ms);
    let short = book.near_limit(now_ms);
    let ledger = &mut self.boxes[at].ledger;
    ledger.record_near_limit(short, now_ms);
    match verdict {
      UsageVerdict::WithinLimit => ledger.record_admitted(name, REQUEST_UNITS, now_ms),
      UsageVerdict::OverLimit {
        remaining: left,
        wait_ms,
      } => ledger.record_rejected(name, left, wait_ms, now_ms),
    }
    verdict
  }

  fn tell(&mut self, from: usize, now_ms: u64) {
    if !self.way.uses_coordinators() {
      return;
    }
    if self.is_counting(from) {
      return self.tell_the_others(from, now_ms);
    }
    let teller = &mut self.boxes[from];
    let is_busy = teller.ledger.is_busy();
    teller.idle_turns = if is_busy { 0 } else { teller.idle_turns + 1 };
    if !is_busy && teller.idle_turns < IDLE_TURNS {
      return;
    }
    teller.idle_turns = 0;
    let Some(at) = self.first_reached(from, now_ms) else {
      self.boxes[from].ledger.record_unreachable();
      return;
    };
    let used = self.boxes[from].ledger.take_unreported();
    self.note_message(from, at, used.len());
    let at_ms = now_ms + self.message_ms(from, at, now_ms);
    self.queue.put(at_ms, Event::HearsReport { at, from, used });
  }

  fn tell_the_others(&mut self, from: usize, now_ms: u64) {
    let name: Name = self.fleet.name(from).as_str().into();
    let place = self.fleet.place(from);
    let teller = &mut self.boxes[from];
    let span = match teller.turns % WHOLE_TURNS {
      0 => ReportScope::All,
      _ => ReportScope::Changed,
    };
    teller.turns += 1;
    teller.book.set_box_count(self.fleet.boxes, now_ms);
    let reporters = teller.book.reporter_count(now_ms);
    let told = teller.book.totals_to_report(span);
    let claimed = told.into_iter().map(|(name, units)| {
      let units = self.pattern.claims(place, units, now_ms);
      (name, units)
    });
    let totals = UsageTotals {
      box_name: name.clone(),
      reporters,
      incarnation: teller.started_ms,
      totals: claimed.collect(),
      uptime_ms: now_ms - teller.started_ms,
    };
    for address in self.list.other_coordinators(&name) {
      let at = LimitFleet::number(address);
      if !self
        .pattern
        .are_connected(place, self.fleet.place(at), now_ms)
      {
        continue;
      }
      self.note_message(from, at, totals.totals.len());
      let at_ms = now_ms + self.message_ms(from, at, now_ms);
      let totals = totals.clone();
      self.queue.put(at_ms, Event::HearsTotals { at, totals });
    }
  }

  fn hear_report(&mut self, at: usize, from: usize, used: &[(Name, i64)], now_ms: u64) {
    let reporting: Name = self.fleet.name(from).as_str().into();
    let book = &mut self.boxes[at].book;
    book.record_reporter(&reporting, now_ms);
    for (organisation, units) in used {
      book.charge(organisation, *units, now_ms);
    }
    let short = book.near_limit(now_ms);
    let at_ms = now_ms + self.message_ms(at, from, now_ms);
    self.queue.put(at_ms, Event::HearsShort { at: from, short });
  }

  fn is_counting(&self, number: usize) -> bool {
    let hall = format!("hall-{}", self.fleet.place(number).hall);
    self.list.is_coordinator(&self.fleet.name(number), &hall)
  }

  /// The box that counts and that a box reaches first.
  fn first_reached(&self, from: usize, now_ms: u64) -> Option<usize> {
    let place = self.fleet.place(from);
    let hall = format!("hall-{}", place.hall);
    let name = self.fleet.name(from);
    let reached = |address: &SocketAddr| {
      let other = self.fleet.place(LimitFleet::number(*address));
      self.pattern.are_connected(place, other, now_ms)
    };
    let counting = self.list.coordinators_for(&name, &hall);
    counting.into_iter().find(reached).map(LimitFleet::number)
  }

  fn message_ms(&self, one: usize, other: usize, now_ms: u64) -> u64 {
    let (one, other) = (self.fleet.place(one), self.fleet.place(other));
    self.pattern.message_ms(one, other, now_ms)
  }

  fn note_message(&mut self, from: usize, to: usize, entries: usize) {
    for number in [from, to] {
      self.boxes[number].messages += 1;
      self.boxes[number].bytes += entries * ENTRY_BYTES;
    }
  }

  fn end(mut self) -> LimitFigures {
    let seconds = ENDS_MS as f64 / 1_000.0;
    let messages = self.boxes.iter().map(|each| each.messages).max();
    let bytes = self.boxes.iter().map(|each| each.bytes).max();
    self.figures.busiest_messages_per_s = f64::from(messages.unwrap_or(0)) / seconds;
    self.figures.busiest_bytes_per_s = bytes.unwrap_or(0) as f64 / seconds;
    let limit = self.fleet.limit(0);
    let pattern_s = (BEGINS_MS..ENDS_MS)
      .filter(|at_ms| self.pattern.is_in_force(*at_ms))
      .count() as f64
      / 1_000.0;
    self.figures.served_of_limit = self.served[0] / (limit.rate_per_s * pattern_s + limit.burst);
    self.figures
  }
}

fn organisation_is_hot(organisation: usize, fleet: LimitFleet) -> bool {
  organisation == 0 || organisation + 1 == fleet.organisations
}
