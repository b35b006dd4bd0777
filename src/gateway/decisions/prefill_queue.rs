//! The queue reservations (places) at a group of prefill engines, as its coordinator grants them. Free of I/O.
//!
//! Load pattern: many boxes each send one prompt per second to engines of uneven speed. Each box alone knows a fraction of an
//! engine's queue, so that prompts queue behind others while other engines are idle. The coordinator knows all places, and
//! grants the one that is expected to end first.
//!
//! All state is soft. A coordinator that starts with none learns speeds from reports; places whose reports are lost expire.

use {
  super::{
    endpoint_incarnation::EndpointIncarnation,
    prefill_engine::{Forecast, PrefillEngine},
    prefill_overhead::PrefillOverhead,
    prefill_place::{EngineQueue, Place, PlaceId, PlaceOutcome, PlaceRequest},
    prefill_speed::PrefillModel,
  },
  std::collections::{HashMap, HashSet, VecDeque},
};

/// Time per token before the first report: of the order of current engines. All engines are then taken for equal.
const FIRST_MS_PER_UNIT: f64 = 0.02;
/// An engine that is not listed for this time is forgotten.
const MAX_UNLISTED_MS: u64 = 60_000;
/// Ids of reports that may have overtaken their requests. Requests are delayed at most by a freeze of a few seconds, and
/// a group gets some hundred of them per second.
const MAX_FINISHED: usize = 2_048;

/// The places at the engines of a group.
///
/// ```
/// use rillford::gateway::{EndpointIncarnation, PlaceId, PlaceOutcome, PlaceRequest, PrefillQueue};
/// let engines = [EndpointIncarnation::of("e-1", Some(1)), EndpointIncarnation::of("e-2", Some(1))];
/// let request = |sequence| PlaceRequest {
///   id: PlaceId { box_incarnation: 1, sequence },
///   prompt_tokens: 5_200,
///   target_left_ms: 900,
///   excluded: &[],
/// };
/// let mut queue = PrefillQueue::default();
/// let first = queue.place(&engines, request(1), 0).unwrap();
/// let second = queue.place(&engines, request(2), 0).unwrap();
/// assert_ne!(first.engine, second.engine);
/// queue.finish(PlaceId { box_incarnation: 1, sequence: 1 }, PlaceOutcome::Unused, 5);
/// assert_eq!(queue.place(&engines, request(3), 5).unwrap().engine, first.engine);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefillQueue {
  engines: HashMap<EndpointIncarnation, PrefillEngine>,
  /// The engine of each place.
  places: HashMap<PlaceId, EndpointIncarnation>,
  /// Places that are finished or were reported before they were requested, the latest at the back.
  finished: HashSet<PlaceId>,
  finished_order: VecDeque<PlaceId>,
  overhead: PrefillOverhead,
}

impl PrefillQueue {
  /// Grants the place that is expected to end first; `None` when all candidates are excluded, avoided or full, or when the
  /// place was already reported as finished. A repeated request gets the place that it has.
  pub fn place(
    &mut self,
    candidates: &[EndpointIncarnation],
    request: PlaceRequest,
    now_ms: u64,
  ) -> Option<Place> {
    self.expire(now_ms);
    if self.finished.contains(&request.id) {
      return None;
    }
    let model = self.model();
    if let Some(incarnation) = self.places.get(&request.id) {
      let engine = self.engines.get(incarnation)?;
      let (index, tokens) = engine.find(request.id)?;
      let forecast = engine.forecast(index, tokens, model, now_ms);
      return Some(place_at(*incarnation, engine, index, forecast));
    }
    for candidate in candidates {
      let engine = self.engines.entry(*candidate).or_default();
      engine.mark_listed(now_ms);
    }
    let available = candidates
      .iter()
      .filter(|candidate| !request.excluded.contains(candidate))
      .filter_map(|candidate| Some((*candidate, self.engines.get(candidate)?)))
      .filter(|(_, engine)| engine.accepts(now_ms));
    let forecasts = available.map(|(candidate, engine)| {
      let forecast = engine.forecast(engine.len(), request.prompt_tokens, model, now_ms);
      (candidate, forecast)
    });
    let (incarnation, forecast) = forecasts.min_by(|one, other| {
      let by_end = one.1.end_in_ms.total_cmp(&other.1.end_in_ms);
      by_end.then(one.0.cmp(&other.0))
    })?;
    let engine = self.engines.get_mut(&incarnation)?;
    let place = place_at(incarnation, engine, engine.len(), forecast);
    engine.add(
      request.id,
      request.prompt_tokens,
      forecast.end_in_ms,
      now_ms,
    );
    self.places.insert(request.id, incarnation);
    Some(place)
  }

  /// Records what became of a place. The report of an unknown place is kept for a while: it may have overtaken the request.
  pub fn finish(&mut self, id: PlaceId, outcome: PlaceOutcome, now_ms: u64) {
    let model = self.model();
    self.remember_finished(id);
    let Some(engine) = self.places.remove(&id) else {
      return;
    };
    let Some(engine) = self.engines.get_mut(&engine) else {
      return;
    };
    match outcome {
      PlaceOutcome::Completed { took_ms, load } => {
        if let Some(sample) = engine.complete(id, took_ms, load, model, now_ms) {
          self.overhead.record(sample.tokens, sample.units);
        }
      }
      PlaceOutcome::Lost => engine.lose(id, now_ms),
      PlaceOutcome::Unused => engine.release(id, false, now_ms),
      PlaceOutcome::Cancelled => engine.release(id, true, now_ms),
    }
  }

  /// Removes places whose reports are overdue, and engines that are no longer listed; returns the number of places.
  pub fn expire(&mut self, now_ms: u64) -> u32 {
    let mut expired = 0;
    for engine in self.engines.values_mut() {
      for id in engine.expire(now_ms) {
        self.places.remove(&id);
        expired += 1;
      }
    }
    self
      .engines
      .retain(|_, engine| !engine.is_forgotten(MAX_UNLISTED_MS, now_ms));
    expired
  }

  /// The queues of all engines, ordered by engine.
  pub fn engines(&self, now_ms: u64) -> Vec<EngineQueue> {
    let model = self.model();
    let queues = self.engines.iter();
    let mut queues: Vec<_> = queues
      .map(|(incarnation, engine)| engine.queue(*incarnation, model, now_ms))
      .collect();
    queues.sort_by_key(|queue| queue.engine);
    queues
  }

  fn remember_finished(&mut self, id: PlaceId) {
    if !self.finished.insert(id) {
      return;
    }
    self.finished_order.push_back(id);
    if self.finished_order.len() > MAX_FINISHED
      && let Some(oldest) = self.finished_order.pop_front()
    {
      self.finished.remove(&oldest);
    }
  }

  fn model(&self) -> PrefillModel {
    let measured = self.engines.values();
    let measured: Vec<f64> = measured
      .filter_map(|engine| engine.speed().measured())
      .collect();
    let ms_per_unit = if measured.is_empty() {
      FIRST_MS_PER_UNIT
    } else {
      measured.iter().sum::<f64>() / measured.len() as f64
    };
    PrefillModel {
      ms_per_unit,
      overhead_units: self.overhead.units(),
    }
  }
}

fn place_at(
  incarnation: EndpointIncarnation,
  engine: &PrefillEngine,
  index: usize,
  forecast: Forecast,
) -> Place {
  let (ahead, tokens_ahead) = engine.ahead(index);
  Place {
    ahead,
    end_in_ms: forecast.end_in_ms as u64,
    engine: incarnation,
    start_in_ms: forecast.start_in_ms as u64,
    tokens_ahead,
  }
}
