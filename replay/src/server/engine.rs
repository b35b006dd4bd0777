//! The state of an engine beside its slots and memory.

use {
  super::{
    super::site::EngineModel,
    batch::Batch,
    draw::real,
    prompt_cache::{PromptCache, PromptPart},
    server_spec::Stage,
  },
  serde_json::Value,
  std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
  },
  tokio::time::{Duration, sleep_until},
};

/// Interval of the reports that are kept.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the link of an engine.
const MAX_MOVE_WAIT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct StageState {
  stage: Stage,
  /// The stage that it changes to.
  next: Option<Stage>,
  orders: u64,
}

/// An order to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct StageOrder {
  pub(super) stage: Stage,
  /// Orders that it must have taken.
  pub(super) expected_orders: Option<u64>,
}

/// The state of an engine beside its slots and memory.
#[derive(Debug)]
pub(super) struct Engine {
  pub(super) model: EngineModel,
  pub(super) batch: Batch,
  speed: f64,
  stage: Mutex<StageState>,
  cache: Mutex<PromptCache>,
  /// When it has read all prompts that were begun.
  reads_until: Mutex<Instant>,
  /// When all moves of memory to it are done.
  moves_until: Mutex<Instant>,
  reports: Mutex<VecDeque<(Instant, Value)>>,
}

impl Engine {
  pub(super) fn new(model: EngineModel, stage: Stage, speed: f64) -> Self {
    let stage = StageState {
      next: None,
      orders: 0,
      stage,
    };
    let now = Instant::now();
    Self {
      batch: Batch::new(&model, speed),
      cache: Mutex::default(),
      model,
      moves_until: Mutex::new(now),
      reads_until: Mutex::new(now),
      reports: Mutex::default(),
      speed,
      stage: Mutex::new(stage),
    }
  }

  pub(super) fn stage(&self) -> Stage {
    lock(&self.stage).stage
  }

  /// Whether an order is under way.
  pub(super) fn is_switching(&self) -> bool {
    lock(&self.stage).next.is_some()
  }

  /// Orders that it has taken.
  pub(super) fn orders(&self) -> u64 {
    lock(&self.stage).orders
  }

  pub(super) fn cache(&self) -> MutexGuard<'_, PromptCache> {
    lock(&self.cache)
  }

  /// Takes an order. Returns the status of its answer; after 202, the stage is to be changed.
  pub(super) fn take_order(&self, order: StageOrder) -> u16 {
    let mut state = lock(&self.stage);
    let expected = order.expected_orders;
    if state.next.is_some() || expected.is_some_and(|expected| expected != state.orders) {
      return 409;
    }
    if state.stage == order.stage {
      return 200;
    }
    state.orders += 1;
    state.next = Some(order.stage);
    202
  }

  /// Reads tokens of a prompt, after all that were begun before, at a share of its pace.
  pub(super) async fn read_prompt(&self, tokens: u64, share: f64) {
    let pace = self.model.prefill_tokens_per_ms * self.speed * share;
    let duration = Duration::from_secs_f64(real(tokens) / pace / 1e3);
    let until = extend(&self.reads_until, duration);
    sleep_until(until.into()).await;
  }

  /// Stops reading for a while.
  pub(super) fn stall(&self, duration: Duration) {
    extend(&self.reads_until, duration);
  }

  /// Fetches the memory of tokens, after all moves that were begun before. Returns whether it was begun.
  pub(super) async fn fetch(&self, tokens: u64, factor: f64) -> bool {
    if lock(&self.moves_until).saturating_duration_since(Instant::now()) > MAX_MOVE_WAIT {
      return false;
    }
    let bits = real(tokens) * self.model.kv_bytes * 8.0;
    let duration = Duration::from_secs_f64(bits / (self.model.link_mbps * 1e6) * factor);
    let until = extend(&self.moves_until, duration);
    sleep_until(until.into()).await;
    true
  }

  /// Keeps the parts of a prompt, as far as running requests leave room.
  pub(super) fn keep(&self, prompt: &[PromptPart], used_tokens: u64) {
    let room = self.model.kv_tokens.saturating_sub(used_tokens);
    self.cache().keep(prompt, room);
  }

  /// Its report as it stood some time ago.
  pub(super) fn report(&self) -> Option<Value> {
    let reports = lock(&self.reports);
    let lag = Duration::from_secs_f64(self.model.report_lag_ms / 1e3);
    let until = Instant::now().checked_sub(lag)?;
    let known = reports.iter().rev().find(|(at, _)| *at <= until);
    let (_, report) = known.or(reports.front())?;
    Some(report.clone())
  }

  pub(super) fn keep_report(&self, report: Value) {
    let mut reports = lock(&self.reports);
    let now = Instant::now();
    let kept = Duration::from_secs_f64(self.model.report_lag_ms / 1e3) + REPORT_INTERVAL * 2;
    while reports
      .front()
      .is_some_and(|(at, _)| now.duration_since(*at) > kept)
    {
      reports.pop_front();
    }
    reports.push_back((now, report));
  }

  pub(super) fn end_switch(&self) {
    let mut state = lock(&self.stage);
    if let Some(next) = state.next.take() {
      state.stage = next;
    }
  }
}

/// Adds a duration to what is under way, and returns when it ends.
fn extend(until: &Mutex<Instant>, duration: Duration) -> Instant {
  let mut until = lock(until);
  *until = (*until).max(Instant::now()) + duration;
  *until
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
