//! The decide thread: reads events from its rings, runs the state machine, and dispatches the actions.

use {
  crate::{
    CausalMerge,
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
/// The call events come from two rings.
const CALL_EVENTS: usize = 2 * EVENTS_PER_RING;
const STATUS_PERIOD: Duration = Duration::from_millis(200);
const TICK_PERIOD: Duration = Duration::from_millis(10);
/// The tick period while no request is in progress and no command is open.
const IDLE_TICK_PERIOD: Duration = Duration::from_millis(50);

/// The sending end of a ring to another worker, with an unbounded backlog for values that do not fit yet.
pub(super) struct BufferedSender<T> {
  sender: Sender<T>,
  backlog: VecDeque<T>,
}

impl<T> BufferedSender<T> {
  pub(super) fn new(sender: Sender<T>) -> Self {
    Self {
      backlog: VecDeque::new(),
      sender,
    }
  }

  fn send(&mut self, value: T) {
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

/// The decide thread: its state machine and channels.
pub(super) struct DecideLoop {
  pub(super) machine: Machine,
  pub(super) started: Instant,
  /// Endpoint reports and callers' requests. A caller may send a request because of an earlier response, so reports that
  /// precede a request are handled before it.
  pub(super) calls: CausalMerge<Event>,
  pub(super) inputs: Vec<Receiver<Event>>,
  pub(super) to_egress: BufferedSender<EgressInput>,
  pub(super) to_ingress: BufferedSender<(RequestId, RequestOutcome)>,
  pub(super) to_peers: BufferedSender<PeersInput>,
  pub(super) to_platform: BufferedSender<StoreInput>,
  pub(super) observer: Observer,
  pub(super) status: Arc<ArcSwap<Status>>,
}

impl DecideLoop {
  /// Runs until the process exits.
  pub(super) fn run(mut self) {
    let mut last_tick = Instant::now();
    let mut last_published = Instant::now();
    loop {
      let is_busy = self.process_events();
      let tick_period = self.tick_period();
      if last_tick.elapsed() >= tick_period {
        last_tick = Instant::now();
        self.handle(Event::Tick);
        self.flush();
      }
      if last_published.elapsed() >= STATUS_PERIOD {
        last_published = Instant::now();
        self.publish_status();
      }
      if !is_busy {
        thread::park_timeout(tick_period.saturating_sub(last_tick.elapsed()));
      }
    }
  }

  fn tick_period(&self) -> Duration {
    if self.machine.in_progress() > 0 || self.machine.open_commands() > 0 {
      TICK_PERIOD
    } else {
      IDLE_TICK_PERIOD
    }
  }

  /// Handles a bounded number of events from each ring, so that none starves another. Returns whether there were any.
  fn process_events(&mut self) -> bool {
    let mut is_busy = false;
    for _ in 0..CALL_EVENTS {
      let Some(event) = self.calls.pop() else {
        break;
      };
      is_busy = true;
      self.handle(event);
    }
    for index in 0..self.inputs.len() {
      for _ in 0..EVENTS_PER_RING {
        let Some(event) = self.inputs[index].pop() else {
          break;
        };
        is_busy = true;
        self.handle(event);
      }
    }
    is_busy
  }

  fn handle(&mut self, event: Event) {
    let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
    for action in self.machine.handle(now_ms, event) {
      self.dispatch(action);
    }
  }

  fn dispatch(&mut self, action: Action) {
    match action {
      Action::Record(note) => self.observer.record(note),
      Action::Send(to, message) => self.to_peers.send(PeersInput::Send(to, message)),
      Action::Claim(request, organisation, key) => {
        let input = StoreInput::Claim(request, organisation, key);
        self.to_platform.send(input);
      }
      Action::ReleaseClaim(request, organisation, key) => {
        let input = StoreInput::Release(request, organisation, key);
        self.to_platform.send(input);
      }
      Action::Complete(request, outcome) => {
        self.to_ingress.send((request, outcome));
        self.to_egress.send(EgressInput::Command(action));
      }
      command => self.to_egress.send(EgressInput::Command(command)),
    }
  }

  fn flush(&mut self) {
    self.to_egress.flush();
    self.to_ingress.flush();
    self.to_peers.flush();
    self.to_platform.flush();
  }

  fn publish_status(&mut self) {
    let status = Arc::new(self.machine.status());
    self.observer.send(Observation::Status(status.clone()));
    self.status.store(status);
  }
}
