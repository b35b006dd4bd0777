//! The way of a caller's request, in order: `front` reads it and finds its route; `plain` or `stream` answers it. A stream
//! takes a `seat`, has its `prompt` read, and is sent (`stream_request`, `stream_send`); `event_source` passes the events on
//! and has another engine go on after a break.
//!
//! Imports `stages` and what lies below it. A request comes in at [`accept_callers`] and leaves as an `answer`.

mod answer;
mod caller_identity;
mod event_cutter;
mod event_source;
mod front;
mod plain;
mod prompt;
mod resume_seat;
mod seat;
mod stream;
mod stream_request;
mod stream_send;

pub use self::event_cutter::{EventCutter, WholeEvent};

pub(crate) use self::front::accept_callers;
