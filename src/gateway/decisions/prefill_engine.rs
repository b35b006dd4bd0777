//! What a coordinator knows of one prefill engine: its places, its speed and its slowdown. Free of I/O.

use super::endpoint_incarnation::EndpointIncarnation;
use super::prefill_place::{EngineQueue, PlaceId, ReportedEngineLoad};

/// Backoff after a loss, doubled with each further loss in a row, as for other endpoints.
const MIN_BACKOFF_MS: u64 = 700;
/// Longest backoff after losses: a crashed engine restarts within seconds.
const MAX_BACKOFF_MS: u64 = 4_000;
/// Time over which a reported slowdown decays: the usual duration of one.
const SLOWDOWN_VALIDITY_MS: f64 = 600.0;
/// Bounds of the slowdown factor: a figure outside is an error, or an engine that is no better than a lost one.
const SLOWDOWN_RANGE: (f64, f64) = (0.25, 10.0);
/// Weight of the newest sample in the time per token once there are several: a change of speed shows after some ten prompts.
const NEWEST_WEIGHT: f64 = 0.15;
/// A place that is overdue is expected to take this share of its time so far in addition.
const OVERDUE_SHARE: f64 = 0.2;
/// Time after the expected end at which a place expires: longer than a usual slowdown prolongs it.
const EXPIRY_MARGIN_MS: u64 = 1_000;
/// Places at an engine: with more, the last would wait for seconds, longer than the target of any route.
const MAX_PLACES: usize = 64;

/// A place that is granted and not finished.
#[derive(Clone, Debug)]
pub(super) struct GrantedPlace {
  pub(super) id: PlaceId,
  pub(super) tokens: u64,
  pub(super) granted_ms: u64,
  pub(super) expires_at_ms: u64,
}

/// The state of one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefillEngine {
  /// In the order in which they were granted.
  places: Vec<GrantedPlace>,
  /// Since when the engine works on the first place.
  head_since_ms: u64,
  /// Moving average of the time per unit of work, without slowdown.
  ms_per_unit: Option<f64>,
  samples: u32,
  /// A slowdown factor and when it was reported.
  slowdown: Option<(f64, u64)>,
  /// Until when work of boxes without places is expected to last.
  other_work_until_ms: u64,
  consecutive_losses: u32,
  backoff_until_ms: u64,
  pub(super) last_listed_ms: u64,
}

/// The assumptions on engines that are shared by those of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharedModel {
  /// Time per unit of an engine that has no samples.
  pub(super) ms_per_unit: f64,
  /// The fixed cost of a prompt, in tokens.
  pub(super) overhead_tokens: f64,
}

/// When an engine is expected to work on a new place.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
  pub(super) start_in_ms: f64,
  pub(super) end_in_ms: f64,
}

impl PrefillEngine {
  pub(super) fn is_empty(&self) -> bool {
    self.places.is_empty()
  }

  pub(super) fn is_full(&self) -> bool {
    self.places.len() >= MAX_PLACES
  }

  /// Whether it is avoided after a loss; half-open afterwards, it gets one prompt at a time.
  pub(super) fn is_avoided(&self, now_ms: u64) -> bool {
    now_ms < self.backoff_until_ms || (self.consecutive_losses > 0 && !self.places.is_empty())
  }

  pub(super) fn ms_per_unit(&self, model: SharedModel) -> f64 {
    self.ms_per_unit.unwrap_or(model.ms_per_unit)
  }

  pub(super) fn measured_ms_per_unit(&self) -> Option<f64> {
    self.ms_per_unit
  }

  pub(super) fn tokens(&self) -> u64 {
    self.tokens_before(self.places.len())
  }

  pub(super) fn tokens_before(&self, index: usize) -> u64 {
    self.places[..index].iter().map(|place| place.tokens).sum()
  }

  pub(super) fn count(&self) -> u32 {
    u32::try_from(self.places.len()).unwrap_or(u32::MAX)
  }

  pub(super) fn place(&self, id: PlaceId) -> Option<&GrantedPlace> {
    self.places.iter().find(|place| place.id == id)
  }

  /// The current slowdown factor; a reported one decays with its age.
  fn slowdown(&self, now_ms: u64) -> f64 {
    let Some((factor, at_ms)) = self.slowdown else {
      return 1.0;
    };
    let age_ms = now_ms.saturating_sub(at_ms) as f64;
    1.0 + (factor - 1.0) * (1.0 - age_ms / SLOWDOWN_VALIDITY_MS).max(0.0)
  }

  fn work_ms(&self, tokens: u64, model: SharedModel) -> f64 {
    (tokens as f64 + model.overhead_tokens) * self.ms_per_unit(model)
  }

  /// Time until the engine has finished the places before an index.
  fn queued_before(&self, index: usize, model: SharedModel, now_ms: u64) -> f64 {
    let slowdown = self.slowdown(now_ms);
    let mut queued_ms = self.other_work_until_ms.saturating_sub(now_ms) as f64;
    for (position, place) in self.places[..index].iter().enumerate() {
      let work_ms = self.work_ms(place.tokens, model) * slowdown;
      queued_ms += if position == 0 {
        let since_ms = now_ms.saturating_sub(self.head_since_ms) as f64;
        (work_ms - since_ms).max(since_ms * OVERDUE_SHARE)
      } else {
        work_ms
      };
    }
    queued_ms
  }

  /// When a place after the first `index` ones is expected to be worked on.
  pub(super) fn forecast(
    &self,
    index: usize,
    tokens: u64,
    model: SharedModel,
    now_ms: u64,
  ) -> Forecast {
    let start_in_ms = self.queued_before(index, model, now_ms);
    let work_ms = self.work_ms(tokens, model) * self.slowdown(now_ms);
    Forecast {
      start_in_ms,
      end_in_ms: start_in_ms + work_ms,
    }
  }

  pub(super) fn position(&self, id: PlaceId) -> Option<usize> {
    self.places.iter().position(|place| place.id == id)
  }

  pub(super) fn add(&mut self, id: PlaceId, tokens: u64, end_in_ms: f64, now_ms: u64) {
    if self.places.is_empty() {
      self.head_since_ms = now_ms;
    }
    self.places.push(GrantedPlace {
      expires_at_ms: now_ms + end_in_ms.ceil() as u64 + EXPIRY_MARGIN_MS,
      granted_ms: now_ms,
      id,
      tokens,
    });
  }

  fn remove(&mut self, index: usize, now_ms: u64) -> GrantedPlace {
    if index == 0 {
      self.head_since_ms = now_ms;
    }
    self.places.remove(index)
  }

  /// Removes a place that the engine finished; returns the tokens and the duration of the work without slowdown.
  pub(super) fn complete(
    &mut self,
    id: PlaceId,
    took_ms: u64,
    load: Option<ReportedEngineLoad>,
    model: SharedModel,
    now_ms: u64,
  ) -> Option<(u64, f64)> {
    let index = self.position(id)?;
    let others = self.count();
    let since_ms = self.head_since_ms;
    let place = self.remove(index, now_ms);
    self.consecutive_losses = 0;
    self.backoff_until_ms = 0;
    let worked_ms = now_ms.saturating_sub(since_ms.max(place.granted_ms));
    let before = self.slowdown(now_ms);
    if let Some(load) = load {
      self.record_load(load, others, place.tokens, model, now_ms);
    }
    if index > 0 {
      return None;
    }
    let slowdown = (before + self.slowdown(now_ms)) / 2.0;
    let work_ms = worked_ms.min(took_ms).max(1) as f64 / slowdown;
    self.learn(work_ms / (place.tokens as f64 + model.overhead_tokens));
    Some((place.tokens, work_ms))
  }

  fn learn(&mut self, ms_per_unit: f64) {
    self.samples = self.samples.saturating_add(1);
    let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.samples));
    let before = self.ms_per_unit.unwrap_or(ms_per_unit);
    self.ms_per_unit = Some(before + weight * (ms_per_unit - before));
  }

  fn record_load(
    &mut self,
    load: ReportedEngineLoad,
    known: u32,
    tokens: u64,
    model: SharedModel,
    now_ms: u64,
  ) {
    if let Some(percent) = load.slowdown_percent {
      let factor = (f64::from(percent) / 100.0).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
      self.slowdown = Some((factor, now_ms));
    }
    let reported = load.running.saturating_add(load.waiting);
    let others = f64::from(reported.saturating_sub(known).min(MAX_PLACES as u32));
    self.other_work_until_ms = now_ms + (others * self.work_ms(tokens, model)) as u64;
  }

  /// Removes a place without learning from it.
  pub(super) fn release(&mut self, id: PlaceId, now_ms: u64) -> bool {
    let index = self.position(id);
    index.map(|index| self.remove(index, now_ms)).is_some()
  }

  /// Removes a place whose work was lost, and avoids the engine for a while.
  pub(super) fn lose(&mut self, id: PlaceId, now_ms: u64) {
    if !self.release(id, now_ms) || now_ms < self.backoff_until_ms {
      return;
    }
    let doubled = MIN_BACKOFF_MS << self.consecutive_losses.min(4);
    self.consecutive_losses += 1;
    self.backoff_until_ms = now_ms + doubled.min(MAX_BACKOFF_MS);
  }

  /// Removes expired places; returns their ids.
  pub(super) fn expire(&mut self, now_ms: u64) -> Vec<PlaceId> {
    let mut expired = Vec::new();
    while let Some(index) = self
      .places
      .iter()
      .position(|place| now_ms >= place.expires_at_ms)
    {
      expired.push(self.remove(index, now_ms).id);
    }
    expired
  }

  pub(super) fn queue(
    &self,
    engine: EndpointIncarnation,
    model: SharedModel,
    now_ms: u64,
  ) -> EngineQueue {
    let oldest_ms = self.places.iter().map(|place| place.granted_ms).min();
    EngineQueue {
      engine,
      places: self.count(),
      oldest_ms: oldest_ms.map_or(0, |oldest_ms| now_ms.saturating_sub(oldest_ms)),
      queued_ms: self.queued_before(self.places.len(), model, now_ms) as u64,
    }
  }
}
