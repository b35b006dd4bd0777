//! The state of a running box, shared by all of its requests: configuration, endpoints, connections, retry budgets, counters.
//!
//! Imports `settings`, `connections`, `decisions` and `edge`.

mod change_log;
mod counters;
mod gateway;
mod held_memory;
mod log_budget;
mod log_throttle;
mod origin_state;
mod prefill_queues;
mod quarantine;
mod reachability;
mod service_returns;
mod shared_read;
mod unknown_headers;
mod unread_cause;
mod unresponsive_boxes;
mod unsupporting_boxes;
mod version_wait;

pub use self::change_log::ChangeLog;

pub(crate) use self::{
  gateway::{Gateway, HeldLease, InFlight, Phase},
  held_memory::{HeldGuard, ResponseRoom},
  prefill_queues::PlaceReport,
  quarantine::{MarkOrigin, ProbeClaim, ProbeGrant},
  unread_cause::UnreadCause,
};
