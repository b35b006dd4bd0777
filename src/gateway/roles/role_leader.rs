//! One box, the role leader, assigns the engines' roles. It is elected by a key in the store under its lease.

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
    policy::PoolStats,
  },
  std::{collections::HashMap, rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// Interval between evaluations of the engines' roles.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(300);
/// Spread of the boxes' attempts to become leader.
const ELECTION_SPREAD_MS: f64 = 250.0;
/// Added to the required gap between commands of two leaders.
const GAP_MARGIN_MS: u64 = 300;
/// A command is sent within this time of the store's confirmation that this box is leader, or not at all.
const CONFIRMATION_TTL_MS: u64 = 300;
/// No command is sent when the lease was last renewed longer ago than this: it may have expired.
const LEASE_FRESH_MS: u64 = 5_000;
/// An engine may take this long to execute a command, and counts in its new role meanwhile.
const COMMAND_PENDING_MS: u64 = 15_000;
/// How long prefill engines must be lacking before a decode engine is reassigned. A role change takes seconds, and a crashed engine
/// is back sooner than this.
const SHORTAGE_TIMEOUT_MS: u64 = 10_000;

/// Assigns the engines' roles while this box is leader, until the process exits.
pub(crate) async fn manage_roles<S: Store>(gateway: Rc<Gateway>, store: S) {
  let mut leader = RoleLeader {
    fence: None,
    gateway,
    pending: HashMap::new(),
    recent: RecentEngines::default(),
    shortage_since_ms: HashMap::new(),
    since_ms: 0,
    store,
  };
  loop {
    sleep(EVALUATION_INTERVAL).await;
    if *leader.gateway.phase.borrow() == Phase::Serving && leader.gateway.is_current() {
      leader.evaluate().await;
    }
  }
}

/// A command that an engine may still have to execute.
#[derive(Clone, Copy, Debug)]
struct PendingCommand {
  /// The engine's new role.
  role: Role,
  /// When the command was sent, or found to be unnecessary.
  since_ms: u64,
}

struct RoleLeader<S> {
  gateway: Rc<Gateway>,
  store: S,
  /// This box's fencing token while it is leader.
  fence: Option<u64>,
  /// When this box became leader.
  since_ms: u64,
  /// Commands that may not have been executed yet: their engines count in the new role.
  pending: HashMap<Name, PendingCommand>,
  /// Engines that were present recently; recorded whether this box is leader or not.
  recent: RecentEngines,
  /// Since when each service has had too few prefill engines.
  shortage_since_ms: HashMap<Name, u64>,
}

impl<S: Store> RoleLeader<S> {
  /// One evaluation: attempts to become leader, or sends the commands that are due.
  async fn evaluate(&mut self) {
    self.record_engines();
    if self.fence.is_none() {
      self.try_to_become_leader().await;
      return;
    }
    let now_ms = self.gateway.now_ms();
    let gap_ms = self.gateway.settings.bounds.order_gap_ms + GAP_MARGIN_MS;
    if now_ms < self.since_ms + gap_ms {
      return;
    }
    self
      .pending
      .retain(|_, command| now_ms < command.since_ms + COMMAND_PENDING_MS);
    for service in self.services() {
      if let Some(plan) = self.plan_for(&service, now_ms) {
        self.reassign(plan).await;
      }
    }
  }

  fn record_engines(&mut self) {
    let entries = self.current_entries();
    self.recent.record(&entries, self.gateway.now_ms());
  }

  fn current_entries(&self) -> Vec<EndpointEntry> {
    let now_ms = self.gateway.now_ms();
    self.gateway.endpoints.borrow().current_entries(now_ms)
  }

  async fn try_to_become_leader(&mut self) {
    if self.gateway.has_leader.get() || self.services().is_empty() {
      return;
    }
    let name = &self.gateway.settings.identity.name;
    if !self.gateway.boxes.borrow().is_leader_candidate(name) {
      return;
    }
    let spread_ms = (self.gateway.draw() * ELECTION_SPREAD_MS) as u64;
    sleep(Duration::from_millis(spread_ms)).await;
    let Some(held) = self.gateway.lease.get() else {
      return;
    };
    if self.gateway.has_leader.get() {
      return;
    }
    self.gateway.counters.store_calls.inc();
    let name = self.gateway.settings.identity.name.clone();
    match self.store.try_become_role_leader(&name, held.lease).await {
      Ok(Some(fence)) => {
        log::info!("E420 elected role leader: fence {fence}");
        self.fence = Some(fence);
        self.since_ms = self.gateway.now_ms();
        self.gateway.has_leader.set(true);
      }
      Ok(None) => self.gateway.has_leader.set(true),
      Err(error) => log::info!("E421 not elected role leader: {error}"),
    }
  }

  /// The services whose endpoints are engines with roles.
  fn services(&self) -> Vec<Name> {
    let mut services: Vec<Name> = self
      .gateway
      .endpoints
      .borrow()
      .entries()
      .filter(|entry| entry.role.is_some() && self.gateway.has_engines(&entry.service))
      .map(|entry| entry.service.clone())
      .collect();
    services.sort();
    services.dedup();
    services
  }

  /// The engines of a service that have to change their role now.
  fn plan_for(&mut self, service: &Name, now_ms: u64) -> Option<RolePlan> {
    let engines = self.engines(service);
    let share = self.prefill_share(service, &engines);
    let missing = self.missing(service);
    let Some(mut plan) = plan_roles(&engines, &missing, share) else {
      self.shortage_since_ms.remove(service);
      return None;
    };
    let prefill = with_role(&engines, Role::Prefill).count();
    if !self.is_due(service, &plan, prefill, now_ms) {
      return None;
    }
    plan
      .engines
      .retain(|engine| !self.pending.contains_key(&engine.id));
    if plan.engines.is_empty() {
      return None;
    }
    log::info!(
      "E425 roles of {service}: {prefill} of {} engines prefill, {} more were present recently, target share {share}: {} become {:?}",
      engines.len(),
      missing.len(),
      plan.engines.len(),
      plan.role
    );
    Some(plan)
  }

  /// The engines of a service that were present recently and now are not.
  fn missing(&self, service: &Name) -> Vec<EndpointEntry> {
    if !self.gateway.settings.mechanisms.recent_engines {
      return Vec::new();
    }
    self.recent.missing(service)
  }

  /// The engines of a service that are not leaving, each in its role or in the one that it was commanded to take.
  fn engines(&self, service: &Name) -> Vec<EndpointEntry> {
    let entries = self.current_entries();
    stable_engines(&entries)
      .filter(|entry| entry.service == *service)
      .map(|entry| {
        let command = self.pending.get(&entry.id);
        EndpointEntry {
          role: command.map_or(entry.role, |command| Some(command.role)),
          ..entry.clone()
        }
      })
      .collect()
  }

  /// Whether surplus engines change their role now: decode engines only when at least half of the target number of prefill engines
  /// has been lacking for `SHORTAGE_TIMEOUT_MS`.
  fn is_due(&mut self, service: &Name, plan: &RolePlan, prefill: usize, now_ms: u64) -> bool {
    if plan.role == Role::Decode {
      self.shortage_since_ms.remove(service);
      return true;
    }
    let target = prefill + plan.engines.len();
    if prefill * 2 > target {
      self.shortage_since_ms.remove(service);
      return false;
    }
    let since_ms = *self
      .shortage_since_ms
      .entry(service.clone())
      .or_insert(now_ms);
    now_ms >= since_ms + SHORTAGE_TIMEOUT_MS
  }

  /// The target share of a service's engines in the prefill role: the policy's, or that of the settings.
  fn prefill_share(&self, service: &Name, engines: &[EndpointEntry]) -> f64 {
    let pool = self.pool_stats(service, engines);
    let share = self.gateway.policy.prefill_share(&pool);
    share.unwrap_or(self.gateway.settings.engines.prefill_share)
  }

  /// The input of a policy for a service. The load is extrapolated from this box's own to all boxes.
  fn pool_stats(&self, service: &Name, engines: &[EndpointEntry]) -> PoolStats {
    let boxes = self.gateway.boxes.borrow().len().max(1) as u64;
    let endpoints = self.gateway.endpoints.borrow();
    let load = |role| {
      with_role(engines, role)
        .map(|engine| endpoints.local_load(&engine.id))
        .fold((0, 0), |sum, load| (sum.0 + load.0, sum.1 + load.1))
    };
    let (_, queue_tokens) = load(Role::Prefill);
    let (slots_taken, _) = load(Role::Decode);
    let slots: u64 = with_role(engines, Role::Decode)
      .map(|engine| u64::from(engine.slots))
      .sum();
    PoolStats {
      decode_engines: with_role(engines, Role::Decode).count() as u64,
      model: service.clone(),
      prefill_engines: with_role(engines, Role::Prefill).count() as u64,
      queue_tokens: queue_tokens * boxes,
      slots_used: (slots_taken * boxes) as f64 / slots.max(1) as f64,
    }
  }

  /// Commands engines into a role, each after the store has confirmed that this box is still leader.
  async fn reassign(&mut self, plan: RolePlan) {
    for engine in plan.engines {
      let Some(report) = self.report(&engine).await else {
        continue;
      };
      if report.command_in_progress || report.role == Some(plan.role) {
        self.record_command(&engine, plan.role);
        continue;
      }
      let Some(fence) = self.confirmed_fence().await else {
        return;
      };
      let change = RoleChange {
        fence,
        holder: self.gateway.settings.identity.name.clone(),
        commands_accepted: report.commands_accepted,
        role: plan.role,
      };
      self.send(&engine, &change).await;
    }
  }

  /// An engine's report on its role and commands; `None` when it can't be read.
  async fn report(&self, engine: &EndpointEntry) -> Option<EngineReport> {
    let response = call_engine(
      &self.gateway,
      engine,
      self.gateway.codec.report_call(),
      Purpose::Report,
    )
    .await;
    let report = response
      .map_err(|error| error.to_string())
      .and_then(|body| {
        self
          .gateway
          .codec
          .report(&body)
          .map_err(|error| error.to_string())
      });
    report
      .inspect_err(|error| log::info!("E424 role not assigned: {}: {error}", engine.id))
      .ok()
  }

  /// The fencing token, if the store confirms that this box is leader and its lease is fresh.
  async fn confirmed_fence(&mut self) -> Option<u64> {
    let requested_ms = self.gateway.now_ms();
    self.gateway.counters.store_calls.inc();
    let leader = self.store.role_leader().await;
    let name = &self.gateway.settings.identity.name;
    match leader {
      Ok(Some(leader)) if leader.holder == *name && Some(leader.fence) == self.fence => {
        let confirmed_ms = self.gateway.now_ms();
        let is_fresh = self
          .gateway
          .lease
          .get()
          .is_some_and(|held| confirmed_ms < held.renewed_ms + LEASE_FRESH_MS);
        (is_fresh && confirmed_ms < requested_ms + CONFIRMATION_TTL_MS).then_some(leader.fence)
      }
      Ok(other) => {
        log::info!("E422 no longer role leader: {other:?}");
        self.fence = None;
        self.gateway.has_leader.set(other.is_some());
        None
      }
      Err(error) => {
        log::info!("E421 role leadership not confirmed: {error}");
        None
      }
    }
  }

  /// Counts an engine in the role that it was commanded to take.
  fn record_command(&mut self, engine: &EndpointEntry, role: Role) {
    let command = PendingCommand {
      role,
      since_ms: self.gateway.now_ms(),
    };
    self.pending.insert(engine.id.clone(), command);
  }

  async fn send(&mut self, engine: &EndpointEntry, change: &RoleChange) {
    let RoleChange { role, fence, .. } = change;
    self.record_command(engine, *role);
    let call = self.gateway.codec.role_change_call(change);
    match call_engine(&self.gateway, engine, call, Purpose::Call).await {
      Ok(_) => log::info!(
        "E423 role assigned: {} becomes {role:?}, fence {fence}",
        engine.id
      ),
      Err(error) => log::info!(
        "E424 role not assigned: {} {role:?}, fence {fence}: {error}",
        engine.id
      ),
    }
  }
}
