//! What one endpoint gets: a caller's request or a part of it, and the router's own calls for seats and kept prompts.
//!
//! Imports `places` and what lies below it. A [`RoutedRequest`] comes in with the endpoint that was chosen; an answer's
//! [`Head`] goes out.

mod engine_call;
mod notice;
mod part;
mod permit;
mod purpose;
mod request;
mod sending;

pub(crate) use self::{
  engine_call::{CallFailure, KeptExport, Reservation, call_engine},
  part::{Booking, Head, OutgoingPart, PartError, WholeAnswer, send_part},
  purpose::Purpose,
  request::RoutedRequest,
  sending::Sending,
};
