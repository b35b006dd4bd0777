//! Serves callers' requests. `frontend` reads a request and finds its route; `unary` or `stream` serves it. A stream reserves
//! a batch `slot`, has its prompt prefilled (`prefill`), and is sent (`stream_request`, `stream_send`); `event_relay` forwards
//! the events and resumes an interrupted stream at another engine.
//!
//! Imports `stages` and what it imports. Requests enter at [`accept_callers`].

mod authentication;
mod event_relay;
mod event_splitter;
mod frontend;
mod prefill;
mod response;
mod resume_slot;
mod slot;
mod stream;
mod stream_request;
mod stream_send;
mod unary;

pub use self::event_splitter::{EventSplitter, SseEvent};

pub(crate) use self::frontend::accept_callers;
