//! Late messages between boxes, and late answers of the store.

use {
  super::{site::Impairment, world::World},
  stand_ins::{FaultGuard, Lateness},
  std::time::Duration,
  tokio::time::sleep,
};

/// Shortest delay.
const LEAST_MS: u64 = 100;
/// Longest delay, unless the impairment has another one.
const MOST_MS: f64 = 600.0;

/// For a time, messages between these boxes and all others arrive late, and so does what the store sends to them. The variant
/// `boxes` or `store` leaves the other out.
pub(crate) async fn hold_late_links(
  world: &World,
  impairment: &Impairment,
  boxes: &[usize],
  for_s: f64,
) {
  let most_ms = impairment.x.unwrap_or(MOST_MS) as u64;
  let lateness = |is_back_only| Lateness {
    is_back_only,
    least_ms: LEAST_MS.min(most_ms),
    most_ms,
  };
  let has_boxes = impairment.has("boxes") || !impairment.has("store");
  let has_store = impairment.has("store") || !impairment.has("boxes");
  let mut guards: Vec<FaultGuard> = Vec::new();
  for index in boxes {
    if has_boxes {
      let links = world.links_to_boxes(*index);
      guards.extend(
        links
          .iter()
          .map(|link| link.begin_lateness(lateness(false))),
      );
    }
    if has_store {
      guards.push(world.store_links[*index].begin_lateness(lateness(true)));
    }
  }
  let line = format!("boxes {boxes:?}: messages are up to {most_ms} ms late");
  world.recorder.note(line);
  sleep(Duration::from_secs_f64(for_s)).await;
  drop(guards);
}
