//! Resets of some of the connections of boxes.

use super::world::World;

/// Resets a share of the open connections of boxes: those of callers and those to servers, other boxes and the store.
pub(crate) fn reset_connections(world: &World, boxes: &[usize], share: f64, seed: u64) {
  let line = format!("boxes {boxes:?}: {share} of the connections are reset");
  world.recorder.note(line);
  for index in boxes {
    for (number, link) in (0..).zip(world.links_of_box(*index)) {
      link.reset_share(share, seed.wrapping_add(number));
    }
  }
}
