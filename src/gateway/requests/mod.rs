//! Serves callers' requests. `frontend` accepts a request, `routing` finds its route, and `serving` has it served, by `unary` or `stream`, or by another box
//! (`forwarding`) when this one can't reach the endpoints; `forwarded` is the other box's side. A stream reserves
//! a batch `slot`, has its prompt prefilled (`prefill`), and is sent (`stream_request`, `stream_send`); `event_relay` forwards
//! the events and resumes an interrupted stream at another engine.
//!
//! Imports `stages` and what it imports. Requests enter at [`accept_callers`].

mod authentication;
mod end_check;
mod event_block;
mod event_order;
mod event_relay;
mod event_splitter;
mod forwarded;
mod forwarding;
mod forwarding_headers;
mod frontend;
mod prefill;
mod read_ahead;
mod relayed_body;
mod response;
mod resume_slot;
mod return_time;
mod routing;
mod send_charge;
mod serving;
mod slot;
mod stream;
mod stream_request;
mod stream_send;
mod stream_version;
mod takeover;
mod unary;

pub use self::event_splitter::{EventSplitter, SseEvent};

pub(crate) use self::{
  forwarded::serve_forwarded, forwarding_headers::FORWARD_PATH, frontend::accept_callers,
  response::ResponseBody,
};
