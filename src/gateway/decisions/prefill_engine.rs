//! What a coordinator knows of one prefill engine: its places, its speed and its slowdown. Free of I/O.

use super::{
  endpoint_incarnation::EndpointIncarnation,
  prefill_place::{EngineQueue, PlaceId, ReportedEngineLoad},
  prefill_speed::{PrefillModel, PrefillSpeed},
};

/// First backoff after a loss, doubled with each further loss in a row, as for all endpoints.
const MIN_BACKOFF_MS: u64 = 700;
/// Longest backoff after losses: a crashed engine restarts within seconds.
const MAX_BACKOFF_MS: u64 = 4_000;
/// An overdue prompt is expected to take this share of its time so far in addition.
const OVERDUE_SHARE: f64 = 0.3;
/// Time after the expected end at which a place expires. It exceeds the time after which a box gives up a prefill, so that
/// the loss is reported before, and by which a usual slowdown prolongs one.
const EXPIRY_MARGIN_MS: u64 = 1_500;
/// Places at an engine: with more, the last would wait for longer than the latency target of any route.
const MAX_PLACES: usize = 64;
/// Longest work of boxes without places that is assumed: it is past any latency target, and the next report shows the rest.
const MAX_OTHER_WORK_MS: f64 = 2_000.0;
/// A report that arrives later than this after the prompt's end says nothing on the current state of the engine, and the box
/// may have sent the prompt late.
const MAX_REPORT_DELAY_MS: u64 = 100;

/// A place that is granted and not finished.
#[derive(Clone, Debug)]
struct GrantedPlace {
  id: PlaceId,
  tokens: u64,
  granted_ms: u64,
  expires_at_ms: u64,
}

/// The state of one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefillEngine {
  /// In the order in which they were granted, in which the engine works on them.
  places: Vec<GrantedPlace>,
  /// Since when the engine works on the first place.
  head_since_ms: u64,
  /// Whether a place was finished before the first one: the time of the first one's start is unknown.
  is_head_passed: bool,
  speed: PrefillSpeed,
  /// Until when work of boxes without places is expected to last.
  other_work_until_ms: u64,
  consecutive_losses: u32,
  backoff_until_ms: u64,
  /// The latest time at which a prompt was finished.
  completed_ms: Option<u64>,
  last_listed_ms: u64,
}

/// When an engine is expected to work on a place, relative to now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
  pub(super) start_in_ms: f64,
  pub(super) end_in_ms: f64,
}

/// A finished prompt that tells the speed of its engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillSample {
  pub(super) tokens: u64,
  /// Duration in units of work of its engine.
  pub(super) units: f64,
}

impl PrefillEngine {
  pub(super) fn speed(&self) -> &PrefillSpeed {
    &self.speed
  }

  pub(super) fn mark_listed(&mut self, now_ms: u64) {
    self.last_listed_ms = now_ms;
  }

  /// Whether it has no places and was not listed for a time.
  pub(super) fn is_forgotten(&self, max_unlisted_ms: u64, now_ms: u64) -> bool {
    self.places.is_empty() && now_ms >= self.last_listed_ms + max_unlisted_ms
  }

  /// Whether it accepts a place: not while it is avoided after a loss, and one at a time until it finishes a prompt.
  pub(super) fn accepts(&self, now_ms: u64) -> bool {
    let is_half_open = self.consecutive_losses > 0;
    now_ms >= self.backoff_until_ms
      && (!is_half_open || self.places.is_empty())
      && self.places.len() < MAX_PLACES
  }

  /// Places ahead of an index, and their tokens.
  pub(super) fn ahead(&self, index: usize) -> (u32, u64) {
    let ahead = &self.places[..index];
    let count = u32::try_from(ahead.len()).unwrap_or(u32::MAX);
    (count, ahead.iter().map(|place| place.tokens).sum())
  }

  pub(super) fn len(&self) -> usize {
    self.places.len()
  }

  /// The index and the tokens of a place.
  pub(super) fn find(&self, id: PlaceId) -> Option<(usize, u64)> {
    let index = self.places.iter().position(|place| place.id == id)?;
    Some((index, self.places[index].tokens))
  }

  /// Time until the engine has finished the places before an index.
  fn queued_before_ms(&self, index: usize, model: PrefillModel, now_ms: u64) -> f64 {
    let other_ms = self.other_work_until_ms.saturating_sub(now_ms) as f64;
    let places = self.places[..index].iter().enumerate();
    let places_ms = places.map(|(position, place)| {
      let work_ms = self.speed.work_ms(place.tokens, model, now_ms);
      if position > 0 {
        return work_ms;
      }
      let since_ms = now_ms.saturating_sub(self.head_since_ms) as f64;
      (work_ms - since_ms).max(since_ms * OVERDUE_SHARE)
    });
    other_ms + places_ms.sum::<f64>()
  }

  /// When a place at an index is expected to be worked on.
  pub(super) fn forecast(
    &self,
    index: usize,
    tokens: u64,
    model: PrefillModel,
    now_ms: u64,
  ) -> Forecast {
    let start_in_ms = self.queued_before_ms(index, model, now_ms);
    Forecast {
      start_in_ms,
      end_in_ms: start_in_ms + self.speed.work_ms(tokens, model, now_ms),
    }
  }

  /// Appends a place that is expected to end after a time.
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

  /// Removes a place; the engine works on the next one since a time, or since it was granted.
  fn remove(&mut self, index: usize, next_since_ms: u64) -> GrantedPlace {
    let place = self.places.remove(index);
    if index > 0 {
      return place;
    }
    self.is_head_passed = false;
    let granted_ms = self.places.first().map_or(0, |next| next.granted_ms);
    self.head_since_ms = next_since_ms.max(granted_ms);
    place
  }

  /// Removes a place whose prompt the engine finished; returns what it tells on the engine's speed.
  pub(super) fn complete(
    &mut self,
    id: PlaceId,
    took_ms: u64,
    load: Option<ReportedEngineLoad>,
    model: PrefillModel,
    now_ms: u64,
  ) -> Option<PrefillSample> {
    let (index, tokens) = self.find(id)?;
    let known = u32::try_from(self.places.len()).unwrap_or(u32::MAX);
    let (since_ms, is_head_passed) = (self.head_since_ms, self.is_head_passed);
    let granted_ms = self.places[index].granted_ms;
    // The box's measurement, since reports may be sent in batches.
    let ended_ms = now_ms.min(granted_ms.saturating_add(took_ms));
    self.remove(index, ended_ms);
    self.is_head_passed |= index > 0;
    self.completed_ms = Some(now_ms);
    self.consecutive_losses = 0;
    self.backoff_until_ms = 0;
    if now_ms - ended_ms > MAX_REPORT_DELAY_MS {
      return None;
    }
    let has_slowdown = load.is_some_and(|load| load.slowdown_percent.is_some());
    if let Some(load) = load {
      self.record_load(load, known, tokens, model, now_ms);
    }
    if index > 0 || is_head_passed {
      return None;
    }
    let work_ms = ended_ms.saturating_sub(since_ms).max(1) as f64;
    let units = self
      .speed
      .learn(tokens, work_ms, has_slowdown, model, now_ms);
    Some(PrefillSample { tokens, units })
  }

  fn record_load(
    &mut self,
    load: ReportedEngineLoad,
    known: u32,
    tokens: u64,
    model: PrefillModel,
    now_ms: u64,
  ) {
    if let Some(percent) = load.slowdown_percent {
      self.speed.record_slowdown(percent, now_ms);
    }
    // The finished prompt is part of both numbers.
    let others = load
      .running
      .saturating_add(load.waiting)
      .saturating_sub(known);
    let others = f64::from(others.min(MAX_PLACES as u32));
    let other_ms = others * self.speed.work_ms(tokens, model, now_ms);
    self.other_work_until_ms = now_ms + other_ms.min(MAX_OTHER_WORK_MS) as u64;
  }

  /// Removes a place whose prompt the engine does not work on any more, or never did.
  pub(super) fn release(&mut self, id: PlaceId, was_sent: bool, now_ms: u64) {
    if let Some((index, _)) = self.find(id) {
      let next_since_ms = if was_sent { now_ms } else { self.head_since_ms };
      self.remove(index, next_since_ms);
    }
  }

  /// Removes a place whose prompt was lost, and avoids the engine for a while. If it finished another prompt meanwhile, the
  /// fault is on the path from that box.
  pub(super) fn lose(&mut self, id: PlaceId, now_ms: u64) {
    let Some((index, _)) = self.find(id) else {
      return;
    };
    let place = self.remove(index, now_ms);
    let has_completed = self
      .completed_ms
      .is_some_and(|completed_ms| completed_ms > place.granted_ms);
    if has_completed || now_ms < self.backoff_until_ms {
      return;
    }
    // Four doublings exceed the maximum.
    let doubled = MIN_BACKOFF_MS << self.consecutive_losses.min(4);
    self.consecutive_losses += 1;
    self.backoff_until_ms = now_ms + doubled.min(MAX_BACKOFF_MS);
  }

  /// Removes the places whose reports are overdue; returns their ids.
  pub(super) fn expire(&mut self, now_ms: u64) -> Vec<PlaceId> {
    let is_expired = |place: &GrantedPlace| now_ms >= place.expires_at_ms;
    let mut expired = Vec::new();
    while let Some(index) = self.places.iter().position(is_expired) {
      expired.push(self.remove(index, self.head_since_ms).id);
    }
    expired
  }

  pub(super) fn queue(
    &self,
    engine: EndpointIncarnation,
    model: PrefillModel,
    now_ms: u64,
  ) -> EngineQueue {
    let oldest_ms = self.places.iter().map(|place| place.granted_ms).min();
    EngineQueue {
      engine,
      oldest_ms: oldest_ms.map_or(0, |oldest_ms| now_ms.saturating_sub(oldest_ms)),
      places: self.ahead(self.places.len()).0,
      queued_ms: self.queued_before_ms(self.places.len(), model, now_ms) as u64,
    }
  }
}
