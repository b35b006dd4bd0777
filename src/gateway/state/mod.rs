//! The state of a running box, shared by all of its requests: configuration, endpoints, connections, retry budgets, counters.
//!
//! Imports `settings`, `connections`, `decisions` and `edge`.

mod change_log;
mod counters;
mod gateway;
mod held_memory;
mod log_throttle;
mod quarantine;
mod reachability;
mod unknown_headers;
mod unread_cause;
mod unresponsive_boxes;

pub use self::change_log::ChangeLog;

pub(crate) use self::{
  gateway::{Gateway, HeldLease, InFlight, Phase},
  held_memory::{HeldGuard, ResponseRoom},
  quarantine::{MarkOrigin, ProbeClaim, ProbeGrant},
  unread_cause::UnreadCause,
};
