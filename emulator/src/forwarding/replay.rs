//! Runs a pattern of cut boxes in virtual time.

use {
  super::{CutPattern, ForwardingFigures, ForwardingFleet, ForwardingWay},
  crate::queue::Queue,
  rand::{RngExt, SeedableRng, seq::SliceRandom},
  rand_chacha::ChaCha8Rng,
  rillford::gateway::{PeerAnswers, PeerList},
  std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
  },
};

/// When boxes have noticed that they are cut off.
const NOTICED_MS: u64 = 1_000;
/// Time from which on requests count.
const COUNTED_MS: u64 = 3_000;
/// Length of a run.
const END_MS: u64 = 10_000;
/// Time until a box's answer arrives.
const HOP_MS: u64 = 3;
/// How long a forwarded request takes.
const SERVICE_MS: u64 = 700;
/// Forwarded requests in flight at a box.
const MAX_IN_FLIGHT: usize = 128;
/// Time until all boxes have received an announcement.
const ANNOUNCED_MS: u64 = 200;
const SERVICE: &str = "llm";
/// Limits of [`ForwardingWay::Random`].
const RANDOM_PEERS: usize = 3;
const RANDOM_PAUSE_MS: u64 = 1_000;
const RANDOM_FRUITLESS: u32 = 3;

#[derive(Clone, Debug)]
enum Event {
  Arrives {
    at_box: usize,
  },
  Asks {
    at_box: usize,
    tried: Vec<SocketAddr>,
    is_counted: bool,
  },
}

/// What a box knows of the others.
#[derive(Clone, Debug, Default)]
struct SimulatedBox {
  answers: PeerAnswers,
  declined_until_ms: HashMap<SocketAddr, u64>,
  fruitless: u32,
  paused_until_ms: u64,
  /// The ends of forwarded requests.
  ends_ms: Vec<u64>,
  asked_in_second: (u64, u32),
  accepted_in_second: (u64, u32),
}

struct ForwardingReplay {
  fleet: ForwardingFleet,
  way: ForwardingWay,
  cut: BTreeSet<usize>,
  boxes: Vec<SimulatedBox>,
  peers: Vec<PeerList>,
  random: ChaCha8Rng,
  queue: Queue<Event>,
  figures: ForwardingFigures,
}

/// Runs a pattern with a seed.
pub fn replay_forwarding(
  pattern: CutPattern,
  fleet: ForwardingFleet,
  way: ForwardingWay,
  seed: u64,
) -> ForwardingFigures {
  let mut random = ChaCha8Rng::seed_from_u64(seed);
  let cut = cut_boxes(pattern, fleet, &mut random);
  let mut replay = ForwardingReplay {
    boxes: vec![SimulatedBox::default(); fleet.boxes],
    cut,
    figures: ForwardingFigures::default(),
    fleet,
    peers: (0..fleet.boxes).map(|number| fleet.peers(number)).collect(),
    queue: Queue::new(),
    random,
    way,
  };
  if way == ForwardingWay::Announced {
    // Each cut box tells all others that it is cut off, and later that it is not.
    replay.figures.announcements = 2 * (replay.cut.len() * (fleet.boxes - 1)) as u64;
  }
  replay.schedule();
  while let Some((now_ms, event)) = replay.queue.next() {
    replay.handle(event, now_ms);
  }
  replay.figures
}

fn cut_boxes(
  pattern: CutPattern,
  fleet: ForwardingFleet,
  random: &mut ChaCha8Rng,
) -> BTreeSet<usize> {
  let boxes = fleet.boxes;
  let mut shuffled: Vec<usize> = (0..boxes).collect();
  shuffled.shuffle(random);
  let some = |count: usize| shuffled.iter().copied().take(count).collect();
  let in_halls = |is_cut: fn(usize) -> bool| {
    let numbers = 0..boxes;
    numbers
      .filter(|number| is_cut(fleet.hall_of(*number)))
      .collect()
  };
  match pattern {
    CutPattern::One => some(1),
    CutPattern::Half => some(boxes / 2),
    CutPattern::FourOfFive => some(boxes * 4 / 5),
    CutPattern::OneHall => in_halls(|hall| hall == 0),
    CutPattern::AllButOneHall => in_halls(|hall| hall != 0),
    CutPattern::NearlyAll => some(boxes - (boxes / 20).max(1)),
    CutPattern::All => some(boxes),
  }
}

/// Counts an event in the second in which it happens; returns the count.
fn count_in_second(counter: &mut (u64, u32), now_ms: u64) -> u32 {
  let second = now_ms / 1_000;
  if counter.0 != second {
    *counter = (second, 0);
  }
  counter.1 += 1;
  counter.1
}

impl ForwardingReplay {
  /// Draws the arrivals at cut boxes.
  fn schedule(&mut self) {
    for at_box in self.cut.clone() {
      let mut at_ms = NOTICED_MS as f64;
      loop {
        at_ms -= (1.0 - self.random.random::<f64>()).ln() * 1_000.0 / self.fleet.requests_per_s;
        if at_ms >= END_MS as f64 {
          break;
        }
        self.queue.put(at_ms as u64, Event::Arrives { at_box });
      }
    }
  }

  fn handle(&mut self, event: Event, now_ms: u64) {
    match event {
      Event::Arrives { at_box } => {
        let is_counted = now_ms >= COUNTED_MS;
        self.figures.requests += u32::from(is_counted);
        self.ask(at_box, Vec::new(), is_counted, now_ms);
      }
      Event::Asks {
        at_box,
        tried,
        is_counted,
      } => self.ask(at_box, tried, is_counted, now_ms),
    }
  }

  /// Asks the next box, or rejects the request.
  fn ask(&mut self, at_box: usize, mut tried: Vec<SocketAddr>, is_counted: bool, now_ms: u64) {
    let Some(address) = self.next(at_box, &tried, now_ms) else {
      if !tried.is_empty() {
        self.record_fruitless(at_box, now_ms);
      }
      return;
    };
    tried.push(address);
    self.figures.asked += u32::from(is_counted);
    if self.accepts(at_box, ForwardingFleet::number(address), now_ms) {
      self.figures.served += u32::from(is_counted);
      return;
    }
    let event = Event::Asks {
      at_box,
      is_counted,
      tried,
    };
    self.queue.put(now_ms + HOP_MS, event);
  }

  /// Whether a box accepts a request of another one; records what both learn.
  fn accepts(&mut self, at_box: usize, asked: usize, now_ms: u64) -> bool {
    let address = ForwardingFleet::address(asked);
    let count = count_in_second(&mut self.boxes[asked].asked_in_second, now_ms);
    self.figures.most_asked_per_s = self.figures.most_asked_per_s.max(count);
    if self.cut.contains(&asked) {
      self.record_declined(at_box, asked, now_ms);
      return false;
    }
    let server = &mut self.boxes[asked];
    server.ends_ms.retain(|end_ms| now_ms < *end_ms);
    if server.ends_ms.len() >= MAX_IN_FLIGHT {
      return false;
    }
    server.ends_ms.push(now_ms + SERVICE_MS);
    let count = count_in_second(&mut server.accepted_in_second, now_ms);
    self.figures.most_accepted_per_s = self.figures.most_accepted_per_s.max(count);
    let sender = &mut self.boxes[at_box];
    sender.answers.record_accepted(SERVICE, address);
    sender.fruitless = 0;
    true
  }

  fn record_declined(&mut self, at_box: usize, asked: usize, now_ms: u64) {
    let address = ForwardingFleet::address(asked);
    let sender = &mut self.boxes[at_box];
    sender
      .declined_until_ms
      .insert(address, now_ms + RANDOM_PAUSE_MS);
    sender.answers.record_declined(SERVICE, address, now_ms);
  }

  fn record_fruitless(&mut self, at_box: usize, now_ms: u64) {
    let sender = &mut self.boxes[at_box];
    sender.answers.record_fruitless(SERVICE, now_ms);
    sender.fruitless += 1;
    if sender.fruitless >= RANDOM_FRUITLESS {
      sender.fruitless = 0;
      sender.paused_until_ms = now_ms + RANDOM_PAUSE_MS;
    }
  }

  /// The box to ask next.
  fn next(&mut self, at_box: usize, tried: &[SocketAddr], now_ms: u64) -> Option<SocketAddr> {
    let peers = &self.peers[at_box];
    match self.way {
      ForwardingWay::Random => self.next_random(at_box, tried, now_ms),
      ForwardingWay::Remembered => {
        let random = &mut self.random;
        let answers = &self.boxes[at_box].answers;
        answers.next(SERVICE, peers, tried, now_ms, || random.random())
      }
      ForwardingWay::Announced => {
        let is_announced = now_ms >= NOTICED_MS + ANNOUNCED_MS;
        let all = peers.own_hall.iter().chain(&peers.other_halls);
        let candidates: Vec<SocketAddr> = all
          .filter(|address| !tried.contains(address))
          .filter(|address| {
            !is_announced || !self.cut.contains(&ForwardingFleet::number(**address))
          })
          .copied()
          .collect();
        self.pick(&candidates)
      }
    }
  }

  /// One box of the own hall, then others.
  fn next_random(
    &mut self,
    at_box: usize,
    tried: &[SocketAddr],
    now_ms: u64,
  ) -> Option<SocketAddr> {
    let sender = &self.boxes[at_box];
    let is_paused = tried.is_empty() && now_ms < sender.paused_until_ms;
    if is_paused || tried.len() >= RANDOM_PEERS {
      return None;
    }
    let may_ask = |address: &&SocketAddr| {
      let until_ms = sender.declined_until_ms.get(*address);
      !tried.contains(address) && until_ms.is_none_or(|until_ms| now_ms >= *until_ms)
    };
    let peers = &self.peers[at_box];
    let own: Vec<SocketAddr> = peers.own_hall.iter().filter(may_ask).copied().collect();
    let others: Vec<SocketAddr> = peers.other_halls.iter().filter(may_ask).copied().collect();
    let (first, second) = if tried.is_empty() {
      (own, others)
    } else {
      (others, own)
    };
    self.pick(&first).or_else(|| self.pick(&second))
  }

  fn pick(&mut self, candidates: &[SocketAddr]) -> Option<SocketAddr> {
    if candidates.is_empty() {
      return None;
    }
    let index = self.random.random_range(0..candidates.len());
    Some(candidates[index])
  }
}
