//! What one endpoint gets: a caller's request or a part of it, and the router's own calls for seats and kept prompts.
//!
//! Imports `permits` and what lies below it. A [`RoutedRequest`] comes in with the endpoint that was chosen; an answer's
//! [`Head`] goes out.

mod engine_call;
mod notice;
mod part;
mod purpose;
mod request;
mod sending;
mod sending_check;

pub(crate) use self::{
  engine_call::{CallFailure, KeptExport, Reservation, call_engine},
  part::{Booking, Head, OutgoingPart, PartError, WholeAnswer, send_part},
  purpose::Purpose,
  request::RoutedRequest,
  sending::Sending,
};
