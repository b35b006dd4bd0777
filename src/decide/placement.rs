//! Choice of engines: by predicted time to the first token, or by a baseline algorithm.

use {
  super::{Context, Endpoint, ModelWork, PlacementMode, PoolKey, Role, SlotMode},
  crate::ids::Name,
  rand::RngExt,
};

/// Engines considered per role. The pools are sorted by load, so that the best engine is among the first.
const CANDIDATES: usize = 4;

/// The engines chosen for an attempt, with the predictions for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
  /// The prefill engine.
  pub prefill: Name,
  /// The decode engine.
  pub decode: Name,
  /// Predicted time until prefill is done.
  pub ready_in_ms: u64,
  /// Predicted time to the first token.
  pub first_token_in_ms: u64,
  /// Prompt tokens expected not to be in the prefix cache.
  pub uncached_tokens: u64,
  /// Expected size of the KV cache to transfer.
  pub kv_bytes: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementError {
  /// No live engine serves the model.
  NoEngine,
  /// All engines are full or in a backoff.
  NoSlot,
}

struct PrefillChoice {
  engine: Name,
  ready_in_ms: u64,
  uncached_tokens: u64,
}

impl Context {
  /// Chooses a prefill and a decode engine for a completion; engines at which it has failed are the last resort.
  pub(crate) fn place_completion(
    &mut self,
    work: &ModelWork,
    tried: &[Name],
  ) -> Result<Placement, PlacementError> {
    let prefill = self.choose_prefill(work, tried)?;
    let decode = self.choose_decode(work, tried)?;
    let engine = self.fleet.get(&decode).ok_or(PlacementError::NoEngine)?;
    let transfer_ms = engine.transfer_ms(work.prompt_tokens);
    Ok(Placement {
      decode,
      first_token_in_ms: prefill.ready_in_ms + transfer_ms + self.tuning().token_ms,
      kv_bytes: work.prompt_tokens * engine.spec.kv_bytes_per_token,
      prefill: prefill.engine,
      ready_in_ms: prefill.ready_in_ms,
      uncached_tokens: prefill.uncached_tokens,
    })
  }

  /// A decode engine, other than `full`, that has a free slot by its last report.
  pub(crate) fn free_decode_engine(&self, work: &ModelWork, full: &Name) -> Option<Name> {
    let role = Some(Role::Decode);
    let hall = self
      .fleet
      .serving_hall(&self.identity.hall, &work.model, role)?;
    let key = PoolKey {
      hall,
      role,
      subject: work.model.clone(),
    };
    self
      .fleet
      .pool(&key)
      .take(CANDIDATES)
      .find(|engine| {
        engine.spec.name != *full
          && engine.is_available(self.now_ms)
          && engine.used_slots() < engine.slots()
      })
      .map(|engine| engine.spec.name.clone())
  }

  /// Least predicted time to a first token, without regard to decode slots.
  pub(crate) fn min_first_token_ms(&mut self, work: &ModelWork) -> Option<u64> {
    let prefill = match self.choose_prefill(work, &[]) {
      Ok(prefill) => prefill,
      Err(PlacementError::NoSlot) => return Some(self.tuning().token_ms),
      Err(PlacementError::NoEngine) => return None,
    };
    Some(prefill.ready_in_ms + self.tuning().token_ms)
  }

  /// Chooses an instance of a plain service with a free slot.
  pub(crate) fn place_service_call(
    &mut self,
    service: &Name,
    tried: &[Name],
  ) -> Result<Name, PlacementError> {
    let hall = self
      .fleet
      .serving_hall(&self.identity.hall, service, None)
      .ok_or(PlacementError::NoEngine)?;
    let key = PoolKey {
      hall,
      role: None,
      subject: service.clone(),
    };
    let boxes = self.count_live_boxes(&key.hall);
    let mut untried = self
      .fleet
      .pool(&key)
      .filter(|endpoint| !tried.contains(&endpoint.spec.name))
      .take(CANDIDATES)
      .peekable();
    if untried.peek().is_none() {
      return Err(PlacementError::NoEngine);
    }
    let mode = SlotMode::LaggingLoad;
    untried
      .find(|endpoint| has_free_slot(endpoint, mode, self.now_ms, boxes))
      .map(|endpoint| endpoint.spec.name.clone())
      .ok_or(PlacementError::NoSlot)
  }

  fn choose_prefill(
    &mut self,
    work: &ModelWork,
    tried: &[Name],
  ) -> Result<PrefillChoice, PlacementError> {
    let hall = self
      .fleet
      .serving_hall(&self.identity.hall, &work.model, Some(Role::Prefill))
      .ok_or(PlacementError::NoEngine)?;
    let key = PoolKey {
      hall,
      role: Some(Role::Prefill),
      subject: work.model.clone(),
    };
    let candidates = match self.tuning().placement {
      PlacementMode::PredictedTime => self.prefill_candidates(&key, work),
      PlacementMode::RoundRobin => self.next_in_rotation(&key),
      PlacementMode::TwoChoices => self.two_at_random(&key),
    };
    candidates
      .into_iter()
      .filter_map(|name| self.predict_prefill(name, work))
      .min_by_key(|prefill| (tried.contains(&prefill.engine), prefill.ready_in_ms))
      .ok_or(PlacementError::NoSlot)
  }

  /// The least loaded engines, and those that probably have the prompt's prefix in their cache.
  fn prefill_candidates(&self, key: &PoolKey, work: &ModelWork) -> Vec<Name> {
    let mut names = self
      .fleet
      .pool(key)
      .filter(|engine| engine.is_available(self.now_ms))
      .take(CANDIDATES)
      .map(|engine| engine.spec.name.clone())
      .collect::<Vec<_>>();
    for engine in self.hints.engines(&work.prefix) {
      let usable = self.fleet.get(engine).is_some_and(|endpoint| {
        endpoint.is_live() && endpoint.role == Some(Role::Prefill) && endpoint.spec.hall == key.hall
      });
      if usable && !names.contains(engine) {
        names.push(engine.clone());
      }
    }
    names
  }

  fn predict_prefill(&self, name: Name, work: &ModelWork) -> Option<PrefillChoice> {
    let engine = self.fleet.get(&name)?;
    if !engine.is_available(self.now_ms) || engine.used_slots() >= engine.slots() {
      return None;
    }
    let cached = match self.tuning().placement {
      PlacementMode::PredictedTime => self.hints.expected_tokens(self.now_ms, &name, &work.prefix),
      PlacementMode::RoundRobin | PlacementMode::TwoChoices => 0,
    };
    let uncached_tokens = work.prompt_tokens.saturating_sub(cached).max(1);
    let queue_ms = engine.prefill_free_at_ms().saturating_sub(self.now_ms);
    Some(PrefillChoice {
      ready_in_ms: queue_ms + engine.prefill_ms(uncached_tokens),
      uncached_tokens,
      engine: name,
    })
  }

  fn choose_decode(&mut self, work: &ModelWork, tried: &[Name]) -> Result<Name, PlacementError> {
    let role = Some(Role::Decode);
    let hall = self
      .fleet
      .serving_hall(&self.identity.hall, &work.model, role)
      .ok_or(PlacementError::NoEngine)?;
    let key = PoolKey {
      hall,
      role,
      subject: work.model.clone(),
    };
    let candidates = match self.tuning().placement {
      PlacementMode::PredictedTime => None,
      PlacementMode::RoundRobin => Some(self.next_in_rotation(&key)),
      PlacementMode::TwoChoices => Some(self.two_at_random(&key)),
    };
    let boxes = self.count_live_boxes(&key.hall);
    let mode = self.tuning().slot_mode;
    let now_ms = self.now_ms;
    if !self.tuning().reserve_before_prefill {
      let any = candidates.map_or_else(
        || {
          self
            .fleet
            .pool(&key)
            .next()
            .map(|engine| engine.spec.name.clone())
        },
        |names| names.into_iter().next(),
      );
      return any.ok_or(PlacementError::NoEngine);
    }
    let free = match candidates {
      Some(names) => names
        .into_iter()
        .filter_map(|name| self.fleet.get(&name))
        .filter(|engine| has_free_slot(engine, mode, now_ms, boxes))
        .min_by_key(|engine| (tried.contains(&engine.spec.name), engine.load_key())),
      None => self
        .fleet
        .pool(&key)
        .filter(|engine| has_free_slot(engine, mode, now_ms, boxes))
        .take(CANDIDATES)
        .min_by_key(|engine| tried.contains(&engine.spec.name)),
    };
    free
      .map(|engine| engine.spec.name.clone())
      .ok_or(PlacementError::NoSlot)
  }

  fn count_live_boxes(&self, hall: &Name) -> u32 {
    let boxes = self.members.owner_candidates(hall, self.stopping).len();
    u32::try_from(boxes).unwrap_or(u32::MAX).max(1)
  }

  fn next_in_rotation(&mut self, key: &PoolKey) -> Vec<Name> {
    let mut names = self
      .fleet
      .pool(key)
      .map(|engine| engine.spec.name.clone())
      .collect::<Vec<_>>();
    names.sort();
    self.rotation = self.rotation.wrapping_add(1);
    let size = names.len();
    names
      .into_iter()
      .nth(self.rotation % size.max(1))
      .into_iter()
      .collect()
  }

  fn two_at_random(&mut self, key: &PoolKey) -> Vec<Name> {
    let size = self.fleet.pool_size(key);
    if size == 0 {
      return Vec::new();
    }
    let draws = [
      self.random.random_range(0..size),
      self.random.random_range(0..size),
    ];
    draws
      .into_iter()
      .filter_map(|draw| self.fleet.pool(key).nth(draw))
      .map(|engine| engine.spec.name.clone())
      .collect()
  }
}

fn has_free_slot(endpoint: &Endpoint, mode: SlotMode, now_ms: u64, boxes: u32) -> bool {
  if !endpoint.is_available(now_ms) {
    return false;
  }
  match mode {
    // The owner counts on slots that become free in time, so that a full engine may still grant one.
    SlotMode::OwnerGrants => true,
    SlotMode::LaggingLoad => endpoint.used_slots() < endpoint.slots(),
    SlotMode::FixedShares => endpoint.own_slots < (endpoint.slots() / boxes).max(1),
  }
}
