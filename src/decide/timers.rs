//! Periodic tasks: heartbeats, polls, extension of holds, cancellation of orphans, repeated cancels, role switches.

use {
  super::{
    Action, Candidate, EndpointEvent, EndpointKind, EventKind, Heartbeat, Hold, HoldCommand,
    Machine, PeerMessage, Role, RoleCommand, RoleSwitchLimits, context::command_key,
    next_role_switch,
  },
  crate::{ids::Name, policy::PoolStats},
  std::collections::{BTreeMap, BTreeSet},
};

/// Up to this many load reports go with every heartbeat; more only with full ones.
const MAX_LOADS_PER_HEARTBEAT: usize = 8;
/// Every nth heartbeat is a full one, with all load reports and also to other halls.
const FULL_HEARTBEAT_INTERVAL: u64 = 4;
const HOLD_CHECK_PERIOD_MS: u64 = 50;
const SILENCE_CHECK_PERIOD_MS: u64 = 100;
const ROLE_PERIOD_MS: u64 = 2_000;
const ORPHAN_CHECK_PERIOD_MS: u64 = 2_000;

/// The last run of each periodic task, this box's lease as role leader, and its holds.
#[derive(Debug, Default)]
pub(crate) struct Timers {
  heartbeat_ms: u64,
  heartbeats_sent: u64,
  /// The endpoints that this box owned at the last poll.
  owned_endpoints: Vec<Name>,
  poll_ms: u64,
  silence_check_ms: u64,
  orphan_check_ms: u64,
  holds_ms: u64,
  roles_ms: u64,
  lease_until_ms: u64,
  fence: u64,
  /// When the last extension of holds was sent, by engine.
  extensions_sent_ms: BTreeMap<Name, u64>,
}

impl Timers {
  pub(crate) fn hold_lease(&mut self, until_ms: u64, fence: u64) {
    self.lease_until_ms = until_ms;
    self.fence = fence;
  }

  pub(crate) fn drop_lease(&mut self) {
    self.lease_until_ms = 0;
  }

  pub(crate) fn holds_lease(&self, now_ms: u64) -> bool {
    now_ms < self.lease_until_ms
  }

  /// Makes the next tick send a heartbeat.
  pub(crate) fn send_heartbeat_soon(&mut self) {
    self.heartbeat_ms = 0;
  }
}

/// Whether a task with this period is due; if so, records it as run.
fn is_due(last_ms: &mut u64, now_ms: u64, period_ms: u64) -> bool {
  if *last_ms > 0 && now_ms < *last_ms + period_ms {
    return false;
  }
  *last_ms = now_ms.max(1);
  true
}

impl Machine {
  pub(super) fn tick(&mut self) {
    let now_ms = self.context.now_ms;
    self.expire_requests();
    self.send_cancels();
    if is_due(
      &mut self.timers.silence_check_ms,
      now_ms,
      SILENCE_CHECK_PERIOD_MS,
    ) {
      self.expire_silent();
    }
    if is_due(
      &mut self.timers.poll_ms,
      now_ms,
      self.context.tuning().poll_ms,
    ) {
      self.poll_loads();
    }
    if is_due(
      &mut self.timers.heartbeat_ms,
      now_ms,
      self.context.tuning().heartbeat_ms,
    ) {
      self.send_heartbeats();
    }
    if is_due(
      &mut self.timers.orphan_check_ms,
      now_ms,
      ORPHAN_CHECK_PERIOD_MS,
    ) {
      self.list_attempts();
    }
    if is_due(&mut self.timers.holds_ms, now_ms, HOLD_CHECK_PERIOD_MS) {
      self.abort_expiring_holds();
      self.extend_holds();
    }
    if self.timers.holds_lease(now_ms) && is_due(&mut self.timers.roles_ms, now_ms, ROLE_PERIOD_MS)
    {
      self.switch_roles();
    }
  }

  fn send_cancels(&mut self) {
    for key in self.context.open_commands.due(self.context.now_ms) {
      self.context.emit(Action::Cancel(key.attempt, key.endpoint));
    }
  }

  fn expire_silent(&mut self) {
    let now_ms = self.context.now_ms;
    let silence_ms = self.context.tuning().endpoint_silence_ms;
    let silent = self
      .context
      .fleet
      .iter()
      .filter(|endpoint| {
        endpoint.is_live() && now_ms.saturating_sub(endpoint.last_contact_ms) > silence_ms
      })
      .map(|endpoint| endpoint.spec.name.clone())
      .collect::<Vec<_>>();
    for name in silent {
      self
        .context
        .fleet
        .apply_event(&name, &EndpointEvent::Silent);
      self.record_endpoint_state(&name);
    }
    let lost = self
      .context
      .members
      .expire(now_ms, self.context.tuning().peer_silence_ms);
    for peer in lost {
      self.context.clear_owners();
      for table in self.context.slot_tables.values_mut() {
        table.remove_box(&peer.entry.name, peer.incarnation);
      }
      self
        .context
        .record(EventKind::PeerLost, peer.entry.name, "");
    }
  }

  /// The endpoints that this box owns.
  fn find_owned_endpoints(&mut self) -> Vec<Name> {
    let hall = self.context.identity.hall.clone();
    let names = self
      .context
      .fleet
      .iter()
      .filter(|endpoint| endpoint.spec.hall == hall)
      .map(|endpoint| endpoint.spec.name.clone())
      .collect::<Vec<_>>();
    names
      .into_iter()
      .filter(|name| self.context.is_owner(name))
      .collect()
  }

  fn poll_loads(&mut self) {
    let owned = self.find_owned_endpoints();
    let names = owned.iter().cloned().collect::<BTreeSet<_>>();
    self
      .context
      .slot_tables
      .retain(|engine, _| names.contains(engine));
    for endpoint in &owned {
      self.context.emit(Action::PollLoad(endpoint.clone()));
    }
    self.timers.owned_endpoints = owned;
  }

  /// Load reports go with each heartbeat while they are few, else with full ones only. Other halls get only full
  /// heartbeats, from large halls without load reports, so that a box's traffic does not grow with the fleet.
  fn send_heartbeats(&mut self) {
    let now_ms = self.context.now_ms;
    self.timers.heartbeats_sent += 1;
    let is_full_heartbeat = self
      .timers
      .heartbeats_sent
      .is_multiple_of(FULL_HEARTBEAT_INTERVAL);
    let reported =
      if is_full_heartbeat || self.timers.owned_endpoints.len() <= MAX_LOADS_PER_HEARTBEAT {
        self.timers.owned_endpoints.clone()
      } else {
        Vec::new()
      };
    let loads = reported
      .iter()
      .filter_map(|name| self.context.fleet.get(name))
      .filter(|endpoint| endpoint.is_live() || endpoint.is_leaving())
      .map(|endpoint| endpoint.relayed_report(now_ms))
      .collect::<Vec<_>>();
    let heartbeat = Heartbeat {
      configuration_digest: self.context.configuration.digest(),
      incarnation: self.context.identity.incarnation,
      latest_revision: self.context.configuration.latest_revision(),
      leaving: self.context.stopping,
      leaving_endpoints: self.context.fleet.leaving_endpoints(),
      loads,
    };
    for peer in self.context.members.hall_neighbours() {
      let message = PeerMessage::Heartbeat(heartbeat.clone());
      self.context.emit(Action::Send(peer, message));
    }
    if !is_full_heartbeat {
      return;
    }
    let mut heartbeat = heartbeat;
    if !self.context.members.is_full_mesh() {
      heartbeat.loads.clear();
    }
    for peer in self.context.members.other_hall_neighbours() {
      let message = PeerMessage::Heartbeat(heartbeat.clone());
      self.context.emit(Action::Send(peer, message));
    }
  }

  fn list_attempts(&mut self) {
    for name in self.timers.owned_endpoints.clone() {
      let is_engine = self
        .context
        .fleet
        .get(&name)
        .is_some_and(|endpoint| matches!(endpoint.spec.kind, EndpointKind::Engine { .. }));
      if is_engine {
        self.context.emit(Action::ListAttempts(name));
      }
    }
  }

  /// Sends the extensions of holds that are due, and repeats those that are not acknowledged.
  fn extend_holds(&mut self) {
    let now_ms = self.context.now_ms;
    let first_holds = self.context.open_commands.first_holds();
    self
      .timers
      .extensions_sent_ms
      .retain(|engine, _| first_holds.contains_key(engine));
    for (engine, hold) in first_holds {
      let sent_ms = self.timers.extensions_sent_ms.get(&engine).copied();
      let repeat_due_ms = sent_ms.map_or(0, |sent_ms| sent_ms + hold.repeat_interval_ms());
      if now_ms >= hold.extension_due_ms().max(repeat_due_ms) {
        self.send_hold_extension(engine);
      }
    }
  }

  fn send_hold_extension(&mut self, engine: Name) {
    let now_ms = self.context.now_ms;
    self
      .timers
      .extensions_sent_ms
      .insert(engine.clone(), now_ms);
    self.context.emit(Action::ExtendHolds(HoldCommand {
      attempts: self.context.open_commands.held_at(&engine),
      engine,
      hold_ms: self.context.tuning().hold_ms,
      sent_ms: now_ms,
    }));
  }

  /// Aborts attempts whose holds could not be extended, before the engines may free them.
  pub(super) fn abort_expiring_holds(&mut self) {
    let now_ms = self.context.now_ms;
    for key in self.context.open_commands.abort_expiring(now_ms) {
      self
        .context
        .record(EventKind::HoldLost, &key.attempt, &key.endpoint);
      self
        .context
        .emit(Action::AbortStream(key.attempt, key.endpoint));
    }
  }

  pub(super) fn record_hold_extension(&mut self, command: &HoldCommand) {
    let extended = Hold {
      duration_ms: command.hold_ms,
      start_ms: command.sent_ms,
    };
    for attempt in &command.attempts {
      let key = command_key(attempt, &command.engine);
      self.context.open_commands.extend(&key, extended);
    }
  }

  /// As role leader of the hall: switches the role of at most one engine of each model.
  fn switch_roles(&mut self) {
    let Some(policy) = self.context.configuration.policy.clone() else {
      return;
    };
    let models = self.served_models();
    let pools = models
      .iter()
      .map(|model| self.pool_stats(model))
      .collect::<Vec<_>>();
    let splits = match policy.shift(self.clock(), &pools) {
      Ok(splits) => splits,
      Err(error) => {
        self.context.record(EventKind::PolicyFailed, "shift", error);
        return;
      }
    };
    let limits = RoleSwitchLimits {
      dead_band: self.context.tuning().role_dead_band,
      min_dwell_ms: self.context.tuning().role_min_dwell_ms,
    };
    for split in splits {
      let candidates = self.candidates(&split.model);
      let Some(switch) = next_role_switch(&candidates, &split, limits) else {
        continue;
      };
      self.context.record(
        EventKind::RoleOrdered,
        &switch.engine,
        format!("{:?}", switch.role),
      );
      self.context.emit(Action::SetRole(RoleCommand {
        engine: switch.engine,
        fence: self.timers.fence,
        role: switch.role,
        valid_until_ms: self.timers.lease_until_ms,
      }));
    }
  }

  fn served_models(&self) -> Vec<Name> {
    let mut models = BTreeSet::new();
    for endpoint in self.context.fleet.iter() {
      if let EndpointKind::Engine { models: served, .. } = &endpoint.spec.kind
        && endpoint.spec.hall == self.context.identity.hall
      {
        models.extend(served.iter().cloned());
      }
    }
    models.into_iter().collect()
  }

  fn pool_stats(&self, model: &Name) -> PoolStats {
    let now_ms = self.context.now_ms;
    let mut stats = PoolStats {
      decode_engines: 0,
      model: model.clone(),
      prefill_engines: 0,
      queue_tokens: 0,
      slots_used: 0.0,
    };
    let mut used = 0;
    let mut slots = 0;
    for engine in self.engines_of(model) {
      if engine.role == Some(Role::Prefill) {
        stats.prefill_engines += 1;
        let queue_ms = engine.prefill_free_at_ms().saturating_sub(now_ms);
        stats.queue_tokens += queue_ms * engine.spec.prefill_tokens_per_s / 1_000;
      } else {
        stats.decode_engines += 1;
        used += engine.used_slots();
        slots += engine.slots();
      }
    }
    stats.slots_used = f64::from(used) / f64::from(slots.max(1));
    stats
  }

  fn candidates(&self, model: &Name) -> Vec<Candidate> {
    let now_ms = self.context.now_ms;
    self
      .engines_of(model)
      .filter_map(|engine| {
        Some(Candidate {
          engine: engine.spec.name.clone(),
          role: engine.role?,
          dwell_ms: now_ms.saturating_sub(engine.role_since_ms),
          used_slots: engine.used_slots(),
        })
      })
      .collect()
  }
}
