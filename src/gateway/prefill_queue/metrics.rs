//! Metrics of the queue reservations.

use {
  crate::gateway::{
    decisions::{EngineQueue, PrefillGroup},
    settings::Activation,
    state::Gateway,
  },
  crate::ids::Name,
  std::fmt::Write,
};

/// Engines that are exported: those with the longest queues. A coordinator has some groups of 16.
const MAX_ENGINES: usize = 64;

/// Queue reservations as text, one line each; nothing where they are switched off.
pub(crate) fn prefill_metrics(gateway: &Gateway) -> String {
  let mut text = String::new();
  if gateway.settings.prefill_queue.enabled == Activation::Never {
    return text;
  }
  let counters = &gateway.prefill_queues.counters;
  let totals = [
    ("reserved", &counters.reserved),
    ("unused", &counters.unused),
    ("granted", &counters.granted),
    ("not_granted", &counters.not_granted),
    ("expired", &counters.expired),
    ("asked_other_halls", &counters.asked_other_halls),
  ];
  for (name, counter) in totals {
    // Writing to a `String` cannot fail.
    let _ = writeln!(
      text,
      "rillford_prefill_places_{name}_total {}",
      counter.get()
    );
  }
  let mut reasons: Vec<(&str, u64)> = {
    let without = counters.without.borrow();
    without
      .iter()
      .map(|(reason, count)| (*reason, *count))
      .collect()
  };
  reasons.sort_unstable();
  for (reason, count) in reasons {
    let _ = writeln!(
      text,
      "rillford_prefill_without_place_total{{reason=\"{reason}\"}} {count}"
    );
  }
  for (engine, queue) in longest_queues(gateway) {
    let EngineQueue {
      oldest_ms,
      places,
      queued_ms,
      ..
    } = queue;
    let _ = writeln!(
      text,
      "rillford_prefill_places{{engine=\"{engine}\"}} {places}"
    );
    let _ = writeln!(
      text,
      "rillford_prefill_oldest_ms{{engine=\"{engine}\"}} {oldest_ms}"
    );
    let _ = writeln!(
      text,
      "rillford_prefill_queued_ms{{engine=\"{engine}\"}} {queued_ms}"
    );
  }
  text
}

/// The engines that this box coordinates, those with the longest queues first.
fn longest_queues(gateway: &Gateway) -> Vec<(Name, EngineQueue)> {
  let now_ms = gateway.now_ms();
  let directory = gateway.prefill_queues.directory.borrow();
  let coordinated = gateway.prefill_queues.coordinated.borrow();
  let named = |group: &PrefillGroup, queue: EngineQueue| {
    let id = directory.id(&group.service, queue.engine)?;
    Some((id.clone(), queue))
  };
  let mut queues: Vec<(Name, EngineQueue)> = coordinated
    .iter()
    .flat_map(|(group, queue)| {
      let engines = queue.engines(now_ms).into_iter();
      engines.filter_map(move |engine| named(group, engine))
    })
    .collect();
  queues.sort_by(|one, other| {
    let by_length = other.1.queued_ms.cmp(&one.1.queued_ms);
    by_length.then_with(|| one.0.cmp(&other.0))
  });
  queues.truncate(MAX_ENGINES);
  queues
}
