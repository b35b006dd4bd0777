//! One box, the steward, gives engines their roles; its right to do so is a key under its lease.

use {
  crate::{
    decide::Role,
    gateway::{
      decisions::{RecentEngines, RolePlan, plan_roles, stable_engines, with_role},
      edge::{EndpointEntry, EngineReport, RoleChange, Store},
      stages::{Purpose, call_engine},
      state::{Gateway, Phase},
    },
    ids::Name,
    policy::PoolFacts,
  },
  std::{collections::HashMap, rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// Pause between looks at the engines.
const LOOK_PAUSE: Duration = Duration::from_millis(300);
/// Spread of the boxes' tries to become steward.
const TRY_SPREAD_MS: f64 = 250.0;
/// A new steward waits this much longer than orders of two boxes must be apart.
const GAP_MARGIN_MS: u64 = 300;
/// An order is sent this soon after the store has said that this box is steward, or not at all.
const ORDER_LIFE_MS: u64 = 300;
/// No order is given when the lease was renewed longer ago than this: it may be over.
const LEASE_FRESH_MS: u64 = 5_000;
/// An order may be carried out this much later: until then its engine counts as ordered.
const ORDER_PENDING_MS: u64 = 15_000;
/// An engine changes its role for seconds, so a want of prefill engines has to last this long: a crashed one
/// is back sooner.
const WANT_PATIENCE_MS: u64 = 10_000;

/// Keeps the engines' roles until the process ends.
pub(crate) async fn keep_roles<S: Store>(gateway: Rc<Gateway>, store: S) {
  let mut steward = RoleSteward {
    fence: None,
    gateway,
    pending: HashMap::new(),
    recent: RecentEngines::default(),
    since_ms: 0,
    store,
    wanting_since_ms: HashMap::new(),
  };
  loop {
    sleep(LOOK_PAUSE).await;
    if *steward.gateway.phase.borrow() == Phase::Serving && steward.gateway.is_current() {
      steward.look().await;
    }
  }
}

/// An order that an engine may still have to carry out.
#[derive(Clone, Copy, Debug)]
struct PendingOrder {
  /// The role that it takes.
  role: Role,
  /// When it was ordered, or found to need no order.
  since_ms: u64,
}

struct RoleSteward<S> {
  gateway: Rc<Gateway>,
  store: S,
  /// This box's fencing token while it is steward.
  fence: Option<u64>,
  /// When this box became steward.
  since_ms: u64,
  /// Orders that may not have been carried out yet: their engines count in the new role.
  pending: HashMap<Name, PendingOrder>,
  /// Engines that were here lately; noted whether this box is steward or not.
  recent: RecentEngines,
  /// Since when too few engines read prompts.
  wanting_since_ms: HashMap<Name, u64>,
}

impl<S: Store> RoleSteward<S> {
  /// One look at the engines: tries to become steward, or orders what is due.
  async fn look(&mut self) {
    self.note_engines();
    if self.fence.is_none() {
      self.try_to_become_steward().await;
      return;
    }
    let now_ms = self.gateway.now_ms();
    let gap_ms = self.gateway.settings.bounds.order_gap_ms + GAP_MARGIN_MS;
    if now_ms < self.since_ms + gap_ms {
      return;
    }
    self
      .pending
      .retain(|_, order| now_ms < order.since_ms + ORDER_PENDING_MS);
    for service in self.services() {
      if let Some(surplus) = self.surplus_of(&service, now_ms) {
        self.order(surplus).await;
      }
    }
  }

  fn note_engines(&mut self) {
    let entries = self.current_entries();
    self.recent.record(&entries, self.gateway.now_ms());
  }

  fn current_entries(&self) -> Vec<EndpointEntry> {
    let now_ms = self.gateway.now_ms();
    self.gateway.book.borrow().current_entries(now_ms)
  }

  async fn try_to_become_steward(&mut self) {
    if self.gateway.has_steward.get() || self.services().is_empty() {
      return;
    }
    let name = &self.gateway.settings.identity.name;
    if !self.gateway.boxes.borrow().is_leader_candidate(name) {
      return;
    }
    let spread_ms = (self.gateway.draw() * TRY_SPREAD_MS) as u64;
    sleep(Duration::from_millis(spread_ms)).await;
    let Some(held) = self.gateway.lease.get() else {
      return;
    };
    if self.gateway.has_steward.get() {
      return;
    }
    self.gateway.counters.store_calls.inc();
    let name = self.gateway.settings.identity.name.clone();
    match self.store.try_become_role_leader(&name, held.lease).await {
      Ok(Some(fence)) => {
        log::info!("E420 steward of the engines' roles: fence {fence}");
        self.fence = Some(fence);
        self.since_ms = self.gateway.now_ms();
        self.gateway.has_steward.set(true);
      }
      Ok(None) => self.gateway.has_steward.set(true),
      Err(error) => log::info!("E421 not steward: {error}"),
    }
  }

  /// The services whose endpoints are engines with roles.
  fn services(&self) -> Vec<Name> {
    let mut services: Vec<Name> = self
      .gateway
      .book
      .borrow()
      .entries()
      .filter(|entry| entry.role.is_some())
      .map(|entry| entry.service.clone())
      .collect();
    services.sort();
    services.dedup();
    services
  }

  /// The engines of a service that are to be ordered into another role now.
  fn surplus_of(&mut self, service: &Name, now_ms: u64) -> Option<RolePlan> {
    let engines = self.engines(service);
    let share = self.prefill_share(service, &engines);
    let missing = self.missing(service);
    let Some(mut surplus) = plan_roles(&engines, &missing, share) else {
      self.wanting_since_ms.remove(service);
      return None;
    };
    let reading = with_role(&engines, Role::Prefill).count();
    if !self.is_due(service, &surplus, reading, now_ms) {
      return None;
    }
    surplus
      .engines
      .retain(|engine| !self.pending.contains_key(&engine.id));
    if surplus.engines.is_empty() {
      return None;
    }
    log::info!(
      "E425 roles of {service}: {reading} of {} engines read, {} more were here lately, a share of {share} is to: {} become {:?}",
      engines.len(),
      missing.len(),
      surplus.engines.len(),
      surplus.role
    );
    Some(surplus)
  }

  /// The engines of a service that were here lately.
  fn missing(&self, service: &Name) -> Vec<EndpointEntry> {
    if !self.gateway.settings.mechanisms.recent_engines {
      return Vec::new();
    }
    self.recent.missing(service)
  }

  /// The engines of a service that stay, each in the role that it has or is about to take.
  fn engines(&self, service: &Name) -> Vec<EndpointEntry> {
    let entries = self.current_entries();
    stable_engines(&entries)
      .filter(|entry| entry.service == *service)
      .map(|entry| {
        let order = self.pending.get(&entry.id);
        EndpointEntry {
          role: order.map_or(entry.role, |order| Some(order.role)),
          ..entry.clone()
        }
      })
      .collect()
  }

  /// Whether a surplus is to be ordered away now: one of decode engines only when at least half of the wanted
  /// prefill engines are missing, and have been for long.
  fn is_due(&mut self, service: &Name, surplus: &RolePlan, reading: usize, now_ms: u64) -> bool {
    if surplus.role == Role::Decode {
      self.wanting_since_ms.remove(service);
      return true;
    }
    let wanted = reading + surplus.engines.len();
    if reading * 2 > wanted {
      self.wanting_since_ms.remove(service);
      return false;
    }
    let since_ms = *self
      .wanting_since_ms
      .entry(service.clone())
      .or_insert(now_ms);
    now_ms >= since_ms + WANT_PATIENCE_MS
  }

  /// The share of a service's engines that is to read prompts: the policy's, or the settings'.
  fn prefill_share(&self, service: &Name, engines: &[EndpointEntry]) -> f64 {
    let pool = self.pool_facts(service, engines);
    let share = self.gateway.policy.prefill_share(&pool);
    share.unwrap_or(self.gateway.settings.engines.prefill_share)
  }

  /// What a policy is told of a service's engines. The load is this box's own, taken as usual for all boxes.
  fn pool_facts(&self, service: &Name, engines: &[EndpointEntry]) -> PoolFacts {
    let boxes = self.gateway.boxes.borrow().len().max(1) as u64;
    let book = self.gateway.book.borrow();
    let load = |role| {
      with_role(engines, role)
        .map(|engine| book.local_load(&engine.id))
        .fold((0, 0), |sum, load| (sum.0 + load.0, sum.1 + load.1))
    };
    let (_, queue_tokens) = load(Role::Prefill);
    let (seats_taken, _) = load(Role::Decode);
    let seats: u64 = with_role(engines, Role::Decode)
      .map(|engine| u64::from(engine.slots))
      .sum();
    PoolFacts {
      decode_engines: with_role(engines, Role::Decode).count() as u64,
      model: service.clone(),
      prefill_engines: with_role(engines, Role::Prefill).count() as u64,
      queue_tokens: queue_tokens * boxes,
      seats_used: (seats_taken * boxes) as f64 / seats.max(1) as f64,
    }
  }

  /// Orders engines into their role, each with the store's fresh word that this box is steward.
  async fn order(&mut self, surplus: RolePlan) {
    for engine in surplus.engines {
      let Some(report) = self.report(&engine).await else {
        continue;
      };
      if report.command_in_progress || report.role == Some(surplus.role) {
        self.note_order(&engine, surplus.role);
        continue;
      }
      let Some(fence) = self.confirmed_fence().await else {
        return;
      };
      let change = RoleChange {
        endpoint_id: engine.id.clone(),
        fence,
        holder: self.gateway.settings.identity.name.clone(),
        commands_accepted: report.commands_accepted,
        role: surplus.role,
      };
      self.send(&engine, &change).await;
    }
  }

  /// What an engine says of its orders; nothing when it does not say.
  async fn report(&self, engine: &EndpointEntry) -> Option<EngineReport> {
    let answer = call_engine(
      &self.gateway,
      engine,
      self.gateway.codec.report_call(),
      Purpose::Call,
    )
    .await;
    let report = answer.map_err(|error| error.to_string()).and_then(|body| {
      self
        .gateway
        .codec
        .report(&body)
        .map_err(|error| error.to_string())
    });
    report
      .inspect_err(|error| log::info!("E424 role not ordered: {}: {error}", engine.id))
      .ok()
  }

  /// The fencing token, if the store says now that this box is steward.
  async fn confirmed_fence(&mut self) -> Option<u64> {
    let asked_ms = self.gateway.now_ms();
    self.gateway.counters.store_calls.inc();
    let steward = self.store.role_leader().await;
    let name = &self.gateway.settings.identity.name;
    match steward {
      Ok(Some(steward)) if steward.holder == *name && Some(steward.fence) == self.fence => {
        let answered_ms = self.gateway.now_ms();
        let fresh = self
          .gateway
          .lease
          .get()
          .is_some_and(|held| answered_ms < held.renewed_ms + LEASE_FRESH_MS);
        (fresh && answered_ms < asked_ms + ORDER_LIFE_MS).then_some(steward.fence)
      }
      Ok(other) => {
        log::info!("E422 no longer steward: {other:?}");
        self.fence = None;
        self.gateway.has_steward.set(other.is_some());
        None
      }
      Err(error) => {
        log::info!("E421 not known to be steward: {error}");
        None
      }
    }
  }

  /// Counts an engine in the role that it has been ordered to take.
  fn note_order(&mut self, engine: &EndpointEntry, role: Role) {
    let order = PendingOrder {
      role,
      since_ms: self.gateway.now_ms(),
    };
    self.pending.insert(engine.id.clone(), order);
  }

  async fn send(&mut self, engine: &EndpointEntry, change: &RoleChange) {
    let RoleChange { role, fence, .. } = change;
    self.note_order(engine, *role);
    let call = self.gateway.codec.role_change_call(change);
    match call_engine(&self.gateway, engine, call, Purpose::Call).await {
      Ok(_) => log::info!(
        "E423 role ordered: {} becomes {role:?}, fence {fence}",
        engine.id
      ),
      Err(error) => log::info!(
        "E424 role not ordered: {} {role:?}, fence {fence}: {error}",
        engine.id
      ),
    }
  }
}
