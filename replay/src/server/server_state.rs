//! What the connections of a server share.

use {
  super::{
    admission::Admission,
    answer::Answer,
    channel::Gate,
    condition_cell::ConditionCell,
    engine::Engine,
    request::Request,
    server_spec::{ServerSpec, StartNaming},
    server_world::ServerWorld,
  },
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  serde_json::Value,
  std::{
    future::Future,
    sync::{
      Arc, Mutex, PoisonError,
      atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
  },
  tokio::task::JoinSet,
};

/// One in so many answers is the last of its connection.
const CLOSING_ANSWERS: u32 = 50;

/// What the connections of a server share.
pub(super) struct ServerState {
  pub(super) spec: ServerSpec,
  pub(super) world: ServerWorld,
  pub(super) conditions: Arc<ConditionCell>,
  pub(super) gate: Arc<Gate>,
  pub(super) admission: Arc<Admission>,
  /// `None` for a plain service.
  pub(super) engine: Option<Engine>,
  /// Time after which an idle connection is closed, in whole seconds.
  pub(super) idle_s: u64,
  is_draining: AtomicBool,
  connections: AtomicUsize,
  draws: AtomicU64,
  tasks: Mutex<JoinSet<()>>,
}

impl ServerState {
  pub(super) fn new(spec: ServerSpec, world: ServerWorld) -> Arc<Self> {
    let conditions = Arc::<ConditionCell>::default();
    let service = &spec.service;
    let tokens = service
      .llm
      .as_ref()
      .map_or(u64::MAX, |model| model.kv_tokens);
    let engine = match (&service.llm, spec.stage) {
      (Some(model), Some(stage)) => Some(Engine::new(model.clone(), stage, spec.speed)),
      _ => None,
    };
    let mut random = ChaCha8Rng::seed_from_u64(spec.seed);
    Arc::new(Self {
      admission: Arc::new(Admission::new(service.slots, service.queue, tokens)),
      conditions,
      connections: AtomicUsize::new(0),
      draws: AtomicU64::new(0),
      engine,
      gate: Arc::default(),
      idle_s: random.random_range(4..=15),
      is_draining: AtomicBool::new(false),
      spec,
      tasks: Mutex::default(),
      world,
    })
  }

  /// Runs a task until the server is killed.
  pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
    let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
    // Takes out those that have ended.
    while tasks.try_join_next().is_some() {}
    if self.gate.is_open() {
      tasks.spawn(task);
    }
  }

  /// Ends all tasks, which closes their sockets.
  pub(super) fn kill(&self) {
    if !self.gate.close() {
      return;
    }
    let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
    tasks.abort_all();
    let ServerSpec { address, id, .. } = &self.spec;
    self.world.exports.remove_owner(address.port(), id);
  }

  pub(super) fn drain(&self) {
    self.is_draining.store(true, Ordering::Relaxed);
  }

  pub(super) fn is_draining(&self) -> bool {
    self.is_draining.load(Ordering::Relaxed)
  }

  /// The draws of the next request or connection.
  pub(super) fn next_draws(&self) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(self.spec.seed);
    random.set_stream(self.draws.fetch_add(1, Ordering::Relaxed) + 1);
    random
  }

  /// Adds the moment of its start to what it says of itself, if it names that.
  pub(super) fn name_start(&self, of_itself: &mut Value) {
    if self.spec.starts == StartNaming::Everywhere {
      of_itself["born"] = self.spec.born_ms.into();
    }
  }

  /// Counts a new connection. `None` if there are too many.
  pub(super) fn count_connection(self: &Arc<Self>) -> Option<ConnectionPlace> {
    let place = ConnectionPlace(self.clone());
    let others = self.connections.fetch_add(1, Ordering::Relaxed);
    (others < self.spec.service.conn_cap).then_some(place)
  }

  /// An answer with the headers that stand in all answers.
  pub(super) fn answer(&self, status: u16, request: &Request, random: &mut ChaCha8Rng) -> Answer {
    let usage = self.admission.usage();
    let load = format!(
      "{},{},{}",
      usage.running, usage.queued, self.spec.service.slots
    );
    let mut answer = Answer::new(status).with("X-Server-Load", load);
    if !request.id().is_empty() {
      answer = answer.with("X-Request-Id", request.id());
    }
    let is_draining = self.is_draining();
    if is_draining && self.spec.says_leaving {
      answer = answer.with("Server-Leaving", "1");
    }
    answer.closes =
      is_draining || request.asks_to_close() || random.random_range(0..CLOSING_ANSWERS) == 0;
    match answer.closes {
      true => answer,
      false => answer.with("Keep-Alive", format!("timeout={}", self.idle_s)),
    }
  }

  /// The answer to a request that was run.
  pub(super) fn sealed(&self, status: u16, request: &Request, random: &mut ChaCha8Rng) -> Answer {
    let answer = self.answer(status, request, random);
    answer.with("X-Response-Seal", self.spec.id.as_ref())
  }

  /// The answer to a request that was not run.
  pub(super) fn not_run(&self, status: u16, request: &Request, random: &mut ChaCha8Rng) -> Answer {
    let answer = self.answer(status, request, random);
    answer.with("X-Not-Executed", "1")
  }
}

/// A connection that is counted.
pub(super) struct ConnectionPlace(Arc<ServerState>);

impl Drop for ConnectionPlace {
  fn drop(&mut self) {
    self.0.connections.fetch_sub(1, Ordering::Relaxed);
  }
}
