//! Places at endpoints that name a limit for all boxes together: a request is sent there only with one.
//!
//! Imports the folders up to `state`. What is decided stands in `decisions`: `limit_book` for what endpoints name, `place_account`
//! for the box that counts, `place_ledger` for the others, `endpoint_order` for which box that is.

mod figures;
mod messages;
mod taking;
mod telling;
mod told_cold_span;
mod told_limit;

pub(crate) use self::{
  figures::place_figures,
  messages::{PLACES_PATH, answer_places},
  taking::{Place, PlaceCaller, give_place_back, take_place},
  telling::{LIMITS_PATH, answer_limit, tell_limit},
};
