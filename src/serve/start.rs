//! Starts a box: binds its sockets, then creates the rings, then a thread for each worker.

use {
  super::{
    decide_loop::{BufferedSender, DecideLoop},
    stop::{await_signal, stop},
  },
  crate::{
    CausalMerge, Error, Result,
    admin::{self, AdminSetup, AdminState},
    decide::{EventKind, Identity, Machine, Setup, Status, TimelineEvent},
    egress::{self, EgressSetup},
    ids::Name,
    ingress::{self, IngressSetup, IngressState, SharedPhase},
    listener::bind,
    observe::{
      HybridClock, MetricSink, Observation, Observer, Timeline, observe, set_up_logging, unix_ms,
    },
    peers::{self, PeersSetup},
    ring::{Receiver, Waker, ring},
    settings::{EndpointKindValue, Settings},
    store::{self, KeyValueClient, StoreSetup},
  },
  arc_swap::ArcSwap,
  std::{
    collections::{BTreeSet, HashMap},
    net::UdpSocket,
    sync::{Arc, Mutex, atomic::AtomicU64, mpsc},
    thread,
    time::{Duration, Instant},
  },
  tokio::sync::Notify,
};

const OBSERVATION_SLOTS: usize = 65_536;
const RING_SLOTS: usize = 4_096;

/// Runs a box until it receives a stop signal.
pub(crate) fn serve(settings: Settings) -> Result {
  set_up_logging(&settings.log)?;
  peers::check_keys(&settings.peers)?;
  let callers = bind("callers", settings.listen.callers)?;
  let administration = bind("administration", settings.listen.administration)?;
  let peer_socket = bind_peers(&settings)?;
  let metrics = MetricSink::open(settings.metrics.statsd)?;

  let started = Instant::now();
  let epoch_unix_ms = unix_ms();
  let identity = Identity {
    hall: settings.identity.hall.clone(),
    incarnation: epoch_unix_ms,
    name: settings.identity.name.clone(),
  };
  let phase = Arc::new(SharedPhase::default());
  let status = Arc::new(ArcSwap::from_pointee(Status::default()));
  let keys = Arc::new(ArcSwap::default());
  let timeline = Arc::new(Timeline::default());

  // The observe thread starts first, because all others send observations to it.
  let observations = start_with_ring("observe", OBSERVATION_SLOTS, {
    let timeline = timeline.clone();
    move |receiver| observe(receiver, &timeline, &metrics)
  })?;
  let clock = Arc::new(HybridClock::default());
  let observer = Observer::new(identity.name.clone(), clock, observations);

  // Each request has at most an arrival and a disconnect event.
  let arrival_slots = settings.limits.requests * 2 + RING_SLOTS;
  let decide = DecideThread::spawn()?;
  let (from_ingress, ingress_events) = ring(arrival_slots, decide.waker());
  let (from_egress, egress_events) = ring(RING_SLOTS, decide.waker());
  let (from_peers, peer_events) = ring(RING_SLOTS, decide.waker());
  let (from_platform, platform_events) = ring(RING_SLOTS, decide.waker());
  let (from_operators, operator_events) = ring(RING_SLOTS, decide.waker());

  let egress_notify = Arc::new(Notify::new());
  let egress_waker = Waker::Task(egress_notify.clone());
  let (to_egress_payloads, payloads) = ring(arrival_slots, egress_waker.clone());
  let (to_egress_commands, commands) = ring(RING_SLOTS, egress_waker);
  let ingress_notify = Arc::new(Notify::new());
  let (to_ingress, outcomes) = ring(RING_SLOTS, Waker::Task(ingress_notify.clone()));
  let peers_notify = Arc::new(Notify::new());
  let peers_waker = Waker::Task(peers_notify.clone());
  let (to_peers, peer_sends) = ring(RING_SLOTS, peers_waker.clone());
  let (to_peers_boxes, peer_boxes) = ring(RING_SLOTS, peers_waker);
  let platform_notify = Arc::new(Notify::new());
  let platform_waker = Waker::Task(platform_notify.clone());
  let (to_platform, platform_inputs) = ring(RING_SLOTS, platform_waker.clone());
  let (to_platform_documents, documents) = ring(RING_SLOTS, platform_waker);

  observer.record_event(
    EventKind::BoxStarted,
    &identity.name,
    env!("CARGO_PKG_VERSION"),
  );

  decide.run(DecideLoop {
    calls: CausalMerge::new(egress_events, ingress_events),
    inputs: vec![peer_events, platform_events, operator_events],
    machine: Machine::new(Setup {
      endpoints: settings
        .endpoints
        .iter()
        .map(|endpoint| endpoint.spec())
        .collect(),
      epoch_unix_ms,
      identity: identity.clone(),
      seed: epoch_unix_ms,
    }),
    observer: observer.clone(),
    started,
    status: status.clone(),
    to_egress: BufferedSender::new(to_egress_commands),
    to_ingress: BufferedSender::new(to_ingress),
    to_peers: BufferedSender::new(to_peers),
    to_platform: BufferedSender::new(to_platform),
  });

  start_runtime("egress", {
    let setup = EgressSetup {
      commands,
      endpoints: settings.endpoints.clone(),
      limits: settings.limits.clone(),
      notify: egress_notify,
      observer: observer.clone(),
      payloads,
      started: started.into(),
      targets: settings.targets.clone(),
      to_decide: from_egress,
    };
    move || egress::run(setup)
  })?;
  start_runtime("peers", {
    let setup = PeersSetup {
      inputs: vec![peer_sends, peer_boxes],
      keys: settings.peers.clone(),
      name: identity.name.clone(),
      notify: peers_notify,
      observer: observer.clone(),
      socket: peer_socket,
      to_decide: from_peers,
      to_platform: to_platform_documents.clone(),
    };
    move || peers::run(setup)
  })?;
  start_runtime("platform", {
    let setup = StoreSetup {
      documents,
      identity: settings.identity.clone(),
      inputs: platform_inputs,
      keys: keys.clone(),
      notify: platform_notify,
      observer: observer.clone(),
      phase: phase.clone(),
      settings: settings.platform.clone(),
      started: started.into(),
      status: status.clone(),
      to_decide: from_platform,
      to_peers: to_peers_boxes,
    };
    move || store::run(setup)
  })?;
  start_runtime("administration", {
    let counter = observer.clone();
    let on_call = Arc::new(move || counter.send(Observation::PlatformCall));
    let call_timeout = Duration::from_millis(settings.platform.call_ms);
    let state = AdminState {
      endpoints: settings
        .endpoints
        .iter()
        .map(|endpoint| endpoint.name.clone())
        .collect(),
      keys_sha256: settings.administration.keys_sha256.clone(),
      store: KeyValueClient::new(&settings.platform.key_value, call_timeout, on_call),
      status: status.clone(),
      timeline,
      to_decide: from_operators.clone(),
      to_platform: to_platform_documents,
    };
    let setup = AdminSetup {
      listener: administration,
      state,
    };
    move || admin::run(setup)
  })?;
  start_runtime("ingress", {
    let state = IngressState {
      keys,
      limits: settings.limits.clone(),
      models: models(&settings),
      next_request: AtomicU64::new(1),
      pending: Mutex::new(HashMap::new()),
      phase: phase.clone(),
      to_decide: from_ingress,
      to_egress: to_egress_payloads,
    };
    let setup = IngressSetup {
      listener: callers,
      notify: ingress_notify,
      outcomes,
      state: Arc::new(state),
    };
    move || ingress::run(setup)
  })?;

  let balancer_lag = Duration::from_millis(settings.limits.balancer_lag_ms);
  let runtime = build_runtime("signals")?;
  runtime.block_on(async {
    if let Err(error) = await_signal().await {
      log::error!("signal handlers not installed: {error}");
    }
    stop(&phase, &status, &from_operators, balancer_lag).await;
    observer.record(TimelineEvent::new(
      EventKind::BoxStopped,
      identity.name.clone(),
      "",
    ));
  });
  Ok(())
}

fn bind_peers(settings: &Settings) -> Result<UdpSocket> {
  let address = settings.listen.peers;
  UdpSocket::bind(address).map_err(|source| Error::Listen {
    address: address.to_string(),
    purpose: "peers",
    source,
  })
}

fn models(settings: &Settings) -> Vec<Name> {
  settings
    .endpoints
    .iter()
    .filter(|endpoint| endpoint.kind == EndpointKindValue::Engine)
    .flat_map(|endpoint| endpoint.models.iter().cloned())
    .collect::<BTreeSet<_>>()
    .into_iter()
    .collect()
}

fn build_runtime(name: &'static str) -> Result<tokio::runtime::Runtime> {
  tokio::runtime::Builder::new_current_thread()
    .enable_all()
    .build()
    .map_err(|source| Error::Thread { name, source })
}

/// Starts a thread with a single-threaded runtime of its own.
fn start_runtime<F, Fut>(name: &'static str, worker: F) -> Result
where
  F: FnOnce() -> Fut + Send + 'static,
  Fut: Future<Output = ()>,
{
  let runtime = build_runtime(name)?;
  start_thread(name, move || {
    runtime.block_on(worker());
  })
  .map(|_| ())
}

fn start_thread(
  name: &'static str,
  worker: impl FnOnce() + Send + 'static,
) -> Result<thread::JoinHandle<()>> {
  thread::Builder::new()
    .name(name.into())
    .spawn(worker)
    .map_err(|source| Error::Thread { name, source })
}

/// Starts a thread that reads from a ring. The thread exists before the ring, whose waker refers to it.
fn start_with_ring<T: Send + 'static>(
  name: &'static str,
  slots: usize,
  worker: impl FnOnce(Receiver<T>) + Send + 'static,
) -> Result<crate::ring::Sender<T>> {
  let (to_thread, from_starter) = mpsc::channel();
  let handle = start_thread(name, move || {
    if let Ok(receiver) = from_starter.recv() {
      worker(receiver);
    }
  })?;
  let (sender, receiver) = ring(slots, Waker::Thread(handle.thread().clone()));
  let _ = to_thread.send(receiver);
  Ok(sender)
}

/// The decide thread before its loop starts: the wakers of its rings refer to the thread.
struct DecideThread {
  to_thread: mpsc::Sender<DecideLoop>,
  thread: thread::Thread,
}

impl DecideThread {
  fn spawn() -> Result<Self> {
    let (to_thread, from_starter) = mpsc::channel::<DecideLoop>();
    let handle = start_thread("decide", move || {
      if let Ok(decide_loop) = from_starter.recv() {
        decide_loop.run();
      }
    })?;
    Ok(Self {
      to_thread,
      thread: handle.thread().clone(),
    })
  }

  fn waker(&self) -> Waker {
    Waker::Thread(self.thread.clone())
  }

  fn run(self, decide_loop: DecideLoop) {
    let _ = self.to_thread.send(decide_loop);
  }
}
