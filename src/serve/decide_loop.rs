//! The decide duty: drains its rings, asks the machine, and hands out the actions.

use {
  crate::{
    CauseFirst,
    decide::{Action, Event, Machine, RequestOutcome, Status},
    egress::EgressInput,
    ids::RequestId,
    observe::{Observation, Observer},
    peers::PeersInput,
    ring::{Receiver, Sender},
    store::StoreInput,
  },
  arc_swap::ArcSwap,
  std::{
    collections::VecDeque,
    sync::Arc,
    thread,
    time::{Duration, Instant},
  },
};

const EVENTS_PER_RING: usize = 64;
/// Two rings are read there.
const EVENTS_FROM_CALLS: usize = 2 * EVENTS_PER_RING;
const STATUS_PERIOD: Duration = Duration::from_millis(200);
const TICK: Duration = Duration::from_millis(10);
/// With nothing in progress there is nothing to place or to cancel in a hurry.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// A ring to another duty, with what it had no room for yet.
pub(super) struct Outlet<T> {
  sender: Sender<T>,
  backlog: VecDeque<T>,
}

impl<T> Outlet<T> {
  pub(super) fn new(sender: Sender<T>) -> Self {
    Self {
      backlog: VecDeque::new(),
      sender,
    }
  }

  fn put(&mut self, value: T) {
    self.backlog.push_back(value);
    self.flush();
  }

  fn flush(&mut self) {
    while let Some(value) = self.backlog.pop_front() {
      if let Err(value) = self.sender.push(value) {
        self.backlog.push_front(value);
        return;
      }
    }
  }
}

/// What the decide duty starts with.
pub(super) struct DecideLoop {
  pub(super) machine: Machine,
  pub(super) started: Instant,
  /// What endpoints answered, and callers' requests: a caller may ask because of an answer.
  pub(super) calls: CauseFirst<Event>,
  pub(super) inputs: Vec<Receiver<Event>>,
  pub(super) to_egress: Outlet<EgressInput>,
  pub(super) to_ingress: Outlet<(RequestId, RequestOutcome)>,
  pub(super) to_peers: Outlet<PeersInput>,
  pub(super) to_platform: Outlet<StoreInput>,
  pub(super) observer: Observer,
  pub(super) status: Arc<ArcSwap<Status>>,
}

impl DecideLoop {
  /// Runs the decide duty until the process ends.
  pub(super) fn run(mut self) {
    let mut ticked = Instant::now();
    let mut shown = Instant::now();
    loop {
      let worked = self.drain();
      let tick = self.tick();
      if ticked.elapsed() >= tick {
        ticked = Instant::now();
        self.handle(Event::Tick);
        self.flush();
      }
      if shown.elapsed() >= STATUS_PERIOD {
        shown = Instant::now();
        self.show();
      }
      if !worked {
        thread::park_timeout(tick.saturating_sub(ticked.elapsed()));
      }
    }
  }

  fn tick(&self) -> Duration {
    if self.machine.in_progress() > 0 || self.machine.open_commands() > 0 {
      TICK
    } else {
      IDLE_TICK
    }
  }

  /// Takes a few events from each ring in turn, so that none starves another.
  fn drain(&mut self) -> bool {
    let mut worked = false;
    for _ in 0..EVENTS_FROM_CALLS {
      let Some(event) = self.calls.pop() else {
        break;
      };
      worked = true;
      self.handle(event);
    }
    for index in 0..self.inputs.len() {
      for _ in 0..EVENTS_PER_RING {
        let Some(event) = self.inputs[index].pop() else {
          break;
        };
        worked = true;
        self.handle(event);
      }
    }
    worked
  }

  fn handle(&mut self, event: Event) {
    let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
    for action in self.machine.handle(now_ms, event) {
      self.hand_out(action);
    }
  }

  fn hand_out(&mut self, action: Action) {
    match action {
      Action::Record(note) => self.observer.note(note),
      Action::Send(to, message) => self.to_peers.put(PeersInput::Send(to, message)),
      Action::Claim(request, organisation, key) => {
        let input = StoreInput::Claim(request, organisation, key);
        self.to_platform.put(input);
      }
      Action::ReleaseClaim(request, organisation, key) => {
        let input = StoreInput::Release(request, organisation, key);
        self.to_platform.put(input);
      }
      Action::Complete(request, ending) => {
        self.to_ingress.put((request, ending));
        self.to_egress.put(EgressInput::Order(action));
      }
      order => self.to_egress.put(EgressInput::Order(order)),
    }
  }

  fn flush(&mut self) {
    self.to_egress.flush();
    self.to_ingress.flush();
    self.to_peers.flush();
    self.to_platform.flush();
  }

  fn show(&mut self) {
    let status = Arc::new(self.machine.status());
    self.observer.tell(Observation::Status(status.clone()));
    self.status.store(status);
  }
}
