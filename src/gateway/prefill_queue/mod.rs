//! Queue reservations (places) at prefill engines: a box reserves a place before it sends a prompt, so that prompts of different
//! boxes do not queue behind each other while engines are idle. One box per group of engines, its coordinator, grants the places of
//! all boxes; when it does not answer, prompts are sent without places.
//!
//! Imports the folders up to `stages`. The decisions are in `decisions`: `prefill_queue` for the coordinator, `prefill_group` for the
//! groups and their coordinators, `prefill_offer` for the choice among halls.

mod coordination;
mod messages;
mod metrics;
mod no_place;
mod offers;
mod place_guard;
mod reporting;
mod reservation;

pub(crate) use self::{
  coordination::expire_places,
  messages::{FINISH_PATH, PLACE_PATH, handle_finish, handle_place},
  metrics::prefill_metrics,
  no_place::NoPlace,
  reservation::{ReservedPlace, reserve_place},
};
