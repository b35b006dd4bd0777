//! The entry of the deployment: chooses the box of each new connection, and asks all boxes whether they are ready.

use {
  super::{recorder::Recorder, site::Zone},
  futures_util::future::join_all,
  std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{MissedTickBehavior, interval, timeout},
  },
};

/// Interval of the questions, and the time for an answer.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Questions without a 200 in a row that take a box out.
const MISSES: u32 = 2;
/// Start of an answer that puts a box in.
const READY: [&[u8]; 2] = [b"HTTP/1.1 200", b"HTTP/1.0 200"];

/// A box as callers reach it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BoxTarget {
  /// Its index.
  pub index: usize,
  /// Its zone.
  pub zone: Arc<str>,
  /// Where callers connect.
  pub callers: SocketAddr,
  /// Where it tells whether it is ready.
  pub ready: SocketAddr,
}

#[derive(Clone, Debug)]
struct BoxState {
  target: BoxTarget,
  is_in: bool,
  misses: u32,
}

/// Chooses boxes for new connections.
pub struct Balancer {
  boxes: Mutex<Vec<BoxState>>,
  /// Region of each zone.
  regions: Mutex<BTreeMap<Arc<str>, Arc<str>>>,
  recorder: Recorder,
}

impl Balancer {
  /// A balancer for these boxes, which get connections once they are ready.
  pub fn new(targets: Vec<BoxTarget>, recorder: Recorder) -> Arc<Self> {
    let balancer = Self {
      boxes: Mutex::default(),
      recorder,
      regions: Mutex::default(),
    };
    balancer.set_targets(targets);
    Arc::new(balancer)
  }

  /// Sets the zones, whose regions tell which are near each other. Without them, all are equally near.
  pub fn set_zones(&self, zones: &[Zone]) {
    let regions = zones
      .iter()
      .map(|zone| (zone.name.clone(), zone.region.clone()));
    *lock(&self.regions) = regions.collect();
  }

  /// Replaces the boxes. One whose addresses are unchanged keeps its state; others get connections once they are ready.
  pub fn set_targets(&self, targets: Vec<BoxTarget>) {
    let mut boxes = lock(&self.boxes);
    let states = targets.into_iter().map(|target| {
      let known = boxes.iter().find(|state| state.target == target);
      known.cloned().unwrap_or(BoxState {
        is_in: false,
        misses: 0,
        target,
      })
    });
    *boxes = states.collect();
  }

  /// Number of boxes that get new connections.
  pub fn ready_count(&self) -> usize {
    lock(&self.boxes).iter().filter(|state| state.is_in).count()
  }

  /// Asks all boxes every second whether they are ready, forever.
  pub async fn poll(self: Arc<Self>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
      ticks.tick().await;
      self.poll_once().await;
    }
  }

  /// Asks all boxes once.
  pub async fn poll_once(&self) {
    let targets: Vec<BoxTarget> = lock(&self.boxes)
      .iter()
      .map(|state| state.target.clone())
      .collect();
    let answers = targets.iter().map(|target| async move {
      let answer = timeout(POLL_INTERVAL, is_ready(target.ready)).await;
      (target, matches!(answer, Ok(Ok(true))))
    });
    for (target, is_ready) in join_all(answers).await {
      self.apply(target, is_ready);
    }
  }

  /// The box for a new connection of a caller, and its address: of those of the zone that are ready, or all of them if they are fewer
  /// than half; where none is ready, of those of the nearest zones. `None` if there are no boxes.
  pub fn pick(&self, zone: &str, hash: u64) -> Option<(usize, SocketAddr)> {
    let boxes = lock(&self.boxes);
    let candidates = self.candidates(&boxes, zone);
    let count = u64::try_from(candidates.len()).ok()?;
    let chosen = usize::try_from(hash.checked_rem(count)?).ok()?;
    let target = candidates.get(chosen)?;
    Some((target.index, target.callers))
  }

  fn candidates<'a>(&self, boxes: &'a [BoxState], zone: &str) -> Vec<&'a BoxTarget> {
    let regions = lock(&self.regions);
    let own: Vec<&BoxState> = of(boxes, |state| &*state.target.zone == zone);
    let own_in: Vec<&BoxState> = own.iter().copied().filter(|state| state.is_in).collect();
    if !own_in.is_empty() {
      let is_few = own_in.len() * 2 < own.len();
      return targets(if is_few { own } else { own_in });
    }
    let region = regions.get(zone);
    let near = of(boxes, |state| {
      state.is_in && regions.get(&state.target.zone) == region
    });
    if !near.is_empty() {
      return targets(near);
    }
    let far = of(boxes, |state| state.is_in);
    if !far.is_empty() {
      return targets(far);
    }
    targets(if own.is_empty() {
      of(boxes, |_| true)
    } else {
      own
    })
  }

  fn apply(&self, target: &BoxTarget, is_ready: bool) {
    let mut boxes = lock(&self.boxes);
    let Some(state) = boxes.iter_mut().find(|state| state.target == *target) else {
      return;
    };
    let was_in = state.is_in;
    state.misses = if is_ready { 0 } else { state.misses + 1 };
    state.is_in = is_ready || (was_in && state.misses < MISSES);
    if state.is_in != was_in {
      let now = if state.is_in { "in" } else { "out" };
      self.recorder.note(format!("box {} {now}", target.index));
    }
  }
}

fn of(boxes: &[BoxState], filter: impl Fn(&BoxState) -> bool) -> Vec<&BoxState> {
  boxes.iter().filter(|state| filter(state)).collect()
}

fn targets(boxes: Vec<&BoxState>) -> Vec<&BoxTarget> {
  boxes.into_iter().map(|state| &state.target).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  // Each change is one assignment.
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn is_ready(address: SocketAddr) -> io::Result<bool> {
  let mut stream = TcpStream::connect(address).await?;
  let request = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
  stream.write_all(request.as_bytes()).await?;
  let mut start = [0; READY[0].len()];
  stream.read_exact(&mut start).await?;
  Ok(READY.contains(&start.as_slice()))
}
