//! Runs a pattern of failing boxes in virtual time.

use {
  super::{StreamFigures, StreamFleet, StreamPattern, StreamWay},
  crate::queue::Queue,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::gateway::{
    BoxList, CopyBudget, RecordSource, RecordedOrigin, SoftwareVersion, StreamKey, StreamOrigin,
    StreamRecords, record_holders, record_sources,
  },
};

/// Length of a run, and the time from which no streams begin.
const ARRIVALS_END_MS: u64 = 20_000;
/// When boxes are killed at once.
const KILL_MS: u64 = 10_000;
/// Duration of a stream.
const STREAM_MS: u64 = 3_000;
/// Time until a killed box serves again, without records.
const DOWN_MS: u64 = 1_000;
/// Time until a caller returns after its stream was cut.
const RETURN_MS: u64 = 200;
/// How long a record is kept.
const TTL_MS: u64 = 24_000;
/// Share of streams that are cut between caller and box.
const CUT_SHARE: f64 = 0.02;
/// Heads and bodies of a record and its response, and of a lookup and its response.
const RECORD_BYTES: f64 = 180.0;
const LOOKUP_BYTES: f64 = 245.0;

#[derive(Clone, Copy, Debug)]
enum Event {
  Begins { at_box: usize },
  Kill { at_box: usize },
  Returns { stream: usize },
}

struct Stream {
  at_box: usize,
  began_ms: u64,
}

struct SimulatedBox {
  records: StreamRecords,
  budget: CopyBudget,
  /// Until then it is down.
  down_until_ms: u64,
}

struct StreamReplay {
  fleet: StreamFleet,
  way: StreamWay,
  list: BoxList,
  boxes: Vec<SimulatedBox>,
  streams: Vec<Stream>,
  random: ChaCha8Rng,
  queue: Queue<Event>,
  figures: StreamFigures,
}

/// Runs a pattern with a seed.
pub fn replay_streams(
  pattern: StreamPattern,
  fleet: StreamFleet,
  way: StreamWay,
  seed: u64,
) -> StreamFigures {
  let new_box = |_| SimulatedBox {
    budget: CopyBudget::new(0),
    down_until_ms: 0,
    records: StreamRecords::default(),
  };
  let mut replay = StreamReplay {
    boxes: (0..fleet.boxes).map(new_box).collect(),
    figures: StreamFigures::default(),
    fleet,
    list: fleet.list(),
    queue: Queue::new(),
    random: ChaCha8Rng::seed_from_u64(seed),
    streams: Vec::new(),
    way,
  };
  replay.schedule(pattern);
  while let Some((now_ms, event)) = replay.queue.next() {
    replay.handle(event, now_ms);
  }
  let bytes = f64::from(replay.figures.records) * RECORD_BYTES
    + f64::from(replay.figures.lookups) * LOOKUP_BYTES;
  let seconds = ARRIVALS_END_MS as f64 / 1_000.0;
  // Each byte is sent by one box and received by another.
  replay.figures.bytes_per_s = 2.0 * bytes / fleet.boxes as f64 / seconds;
  replay.figures
}

fn key(stream: usize) -> StreamKey {
  StreamKey::of(Some("lectures"), &format!("r-{stream}"))
}

fn origin(stream: usize) -> StreamOrigin {
  StreamOrigin {
    service: "llm".into(),
    version: SoftwareVersion::new(["v1", "v2"][stream % 2]),
  }
}

impl StreamReplay {
  fn schedule(&mut self, pattern: StreamPattern) {
    for at_box in 0..self.fleet.boxes {
      let mut at_ms = 0.0;
      loop {
        at_ms -= (1.0 - self.random.random::<f64>()).ln() * 1_000.0 / self.fleet.streams_per_s;
        if at_ms >= ARRIVALS_END_MS as f64 {
          break;
        }
        self.queue.put(at_ms as u64, Event::Begins { at_box });
      }
    }
    let boxes = 0..self.fleet.boxes;
    let killed: Vec<(u64, usize)> = match pattern {
      StreamPattern::Cuts => Vec::new(),
      StreamPattern::KilledInTurn => {
        let count = self.fleet.boxes.div_ceil(8);
        let gap_ms = ARRIVALS_END_MS / (count as u64 + 1);
        (0..count)
          .map(|number| (gap_ms * (number as u64 + 1), number * 8))
          .collect()
      }
      StreamPattern::HalfKilled => boxes
        .filter(|_| self.random.random_bool(0.5))
        .map(|at_box| (KILL_MS, at_box))
        .collect(),
      StreamPattern::HallLost => boxes
        .filter(|at_box| self.fleet.hall_of(*at_box) == 0)
        .map(|at_box| (KILL_MS, at_box))
        .collect(),
    };
    for (at_ms, at_box) in killed {
      self.queue.put(at_ms, Event::Kill { at_box });
    }
  }

  fn handle(&mut self, event: Event, now_ms: u64) {
    match event {
      Event::Begins { at_box } => self.begin(at_box, now_ms),
      Event::Kill { at_box } => self.kill(at_box, now_ms),
      Event::Returns { stream } => self.resume(stream, now_ms),
    }
  }

  fn is_up(&self, number: usize, now_ms: u64) -> bool {
    now_ms >= self.boxes[number].down_until_ms
  }

  fn begin(&mut self, at_box: usize, now_ms: u64) {
    if !self.is_up(at_box, now_ms) {
      return;
    }
    let stream = self.streams.len();
    self.streams.push(Stream {
      at_box,
      began_ms: now_ms,
    });
    self.record(stream, at_box, RecordSource::Own, now_ms);
    for holder in self.holders(stream, at_box, now_ms) {
      self.figures.records += 1;
      if self.is_up(holder, now_ms) {
        self.record(stream, holder, RecordSource::Peer, now_ms);
      }
    }
    if self.random.random_bool(CUT_SHARE) {
      let cut_ms = now_ms + (STREAM_MS as f64 * self.random.random::<f64>()) as u64;
      self
        .queue
        .put(cut_ms + RETURN_MS, Event::Returns { stream });
    }
  }

  fn record(&mut self, stream: usize, at_box: usize, source: RecordSource, now_ms: u64) {
    let records = &mut self.boxes[at_box].records;
    records.expire(now_ms);
    records.record(key(stream), origin(stream), source, now_ms + TTL_MS);
    self.figures.most_kept = self.figures.most_kept.max(records.len());
  }

  /// The boxes that get the record of a stream.
  fn holders(&mut self, stream: usize, at_box: usize, now_ms: u64) -> Vec<usize> {
    let copies = match self.way {
      StreamWay::OwnBox | StreamWay::AskAll => return Vec::new(),
      StreamWay::OneCopy => 1,
      StreamWay::Copies => self.boxes[at_box].budget.take(now_ms),
    };
    let (name, hall) = (StreamFleet::name(at_box), self.fleet.hall(at_box));
    let holders = record_holders(&self.list, &key(stream), &name, &hall);
    let holders = holders.into_iter().take(copies);
    holders.map(StreamFleet::number).collect()
  }

  /// Kills a box: its streams are cut, and its records are lost.
  fn kill(&mut self, at_box: usize, now_ms: u64) {
    self.boxes[at_box].records = StreamRecords::default();
    self.boxes[at_box].down_until_ms = now_ms + DOWN_MS;
    for (stream, cut) in self.streams.iter().enumerate() {
      if cut.at_box == at_box && now_ms < cut.began_ms + STREAM_MS {
        self
          .queue
          .put(now_ms + RETURN_MS, Event::Returns { stream });
      }
    }
  }

  /// A caller returns to a box of its hall, or to one of another hall when none is up.
  fn resume(&mut self, stream: usize, now_ms: u64) {
    let hall = self.fleet.hall_of(self.streams[stream].at_box);
    let up: Vec<usize> = (0..self.fleet.boxes)
      .filter(|number| self.is_up(*number, now_ms))
      .collect();
    let in_hall = up
      .iter()
      .filter(|number| self.fleet.hall_of(**number) == hall);
    let mut candidates: Vec<usize> = in_hall.copied().collect();
    if candidates.is_empty() {
      candidates = up;
    }
    if candidates.is_empty() {
      return;
    }
    let at_box = candidates[self.random.random_range(0..candidates.len())];
    self.figures.resumed += 1;
    match self.look_up(stream, at_box, now_ms) {
      RecordedOrigin::Known(found) => {
        self.figures.known += 1;
        self.figures.wrong += u32::from(found != origin(stream));
        self.streams[stream].at_box = at_box;
        self.record(stream, at_box, RecordSource::Own, now_ms);
      }
      RecordedOrigin::Unknown | RecordedOrigin::Ambiguous | RecordedOrigin::Held => {}
    }
  }

  fn look_up(&mut self, stream: usize, at_box: usize, now_ms: u64) -> RecordedOrigin {
    let own = self.boxes[at_box].records.find(&key(stream), now_ms);
    if own != RecordedOrigin::Unknown {
      return own;
    }
    let asked = self.asked(stream, at_box);
    self.figures.lookups += u32::try_from(asked.len()).unwrap_or(u32::MAX);
    let up = asked
      .into_iter()
      .filter(|number| self.is_up(*number, now_ms));
    up.map(|number| self.boxes[number].records.find(&key(stream), now_ms))
      .find(|found| *found != RecordedOrigin::Unknown)
      .unwrap_or(RecordedOrigin::Unknown)
  }

  /// The boxes that are asked where a stream began.
  fn asked(&self, stream: usize, at_box: usize) -> Vec<usize> {
    match self.way {
      StreamWay::OwnBox => Vec::new(),
      StreamWay::AskAll => (0..self.fleet.boxes)
        .filter(|number| *number != at_box)
        .collect(),
      StreamWay::OneCopy | StreamWay::Copies => {
        let (name, hall) = (StreamFleet::name(at_box), self.fleet.hall(at_box));
        let asked = record_sources(&self.list, &key(stream), &name, &hall);
        asked.into_iter().map(StreamFleet::number).collect()
      }
    }
  }
}
