//! What a box decides, free of I/O: the choice among endpoints, seats and who goes first, the forecast behind a refusal,
//! repeats, roles, and which boxes read the store.
//!
//! Imports `edge` alone: a decision gets the time, what was seen and a random number, and answers with what to do.

mod box_list;
mod choice;
mod endpoint_book;
mod hall_reach;
mod kept_prompts;
mod known_endpoint;
mod recent_engines;
mod retry_after;
mod retry_pause;
mod retry_window;
mod role_plan;
mod seat_forecast;
mod seat_queue;

pub use self::{
  box_list::{BoxEntry, BoxList},
  choice::{Choice, PartEnd, Wanted},
  endpoint_book::EndpointBook,
  kept_prompts::KeptPrompts,
  recent_engines::{RecentEngines, staying_engines},
  retry_pause::retry_pause_ms,
  retry_window::{RetryAllowance, RetryWindow},
  role_plan::{Surplus, surplus},
  seat_forecast::SeatForecast,
  seat_queue::{SeatPlace, SeatQueue, SeatUrgency},
};

pub(crate) use self::{
  retry_after::{
    RETRY_AFTER_FULL_MS, RETRY_AFTER_LEAVING_MS, RETRY_AFTER_NO_CONFIGURATION_MS,
    RETRY_AFTER_NO_ENDPOINT_MS,
  },
  role_plan::with_role,
};
