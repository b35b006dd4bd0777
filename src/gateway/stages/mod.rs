//! Sending to one endpoint: a caller's request or a stage of it, and the gateway's own calls for batch slots and cached prompts.
//!
//! Imports `permits` and what it imports. Takes a [`RoutedRequest`] and a chosen endpoint, and returns the response's
//! [`ResponseHead`].

mod answer_check;
mod call_request;
mod confirm_end;
mod displacement_check;
mod end_witness;
mod engine_call;
mod framing;
mod hold_stream;
mod incarnation_check;
mod notice;
mod open_connection;
mod other_answer;
mod outgoing_call;
mod purpose;
mod reachability_probe;
mod request;
mod response_body;
mod resumption;
mod send_call;
mod send_check;
mod send_mode;
mod stage;
mod stage_error;

pub(crate) use self::{
  confirm_end::{ConnectionEnd, EndProof, UnconfirmedEnd, confirm_end, confirm_end_again},
  displacement_check::check_displacements,
  end_witness::EndWitness,
  engine_call::{EngineCallError, ExportGuard, Reservation, call_engine},
  framing::Framing,
  hold_stream::{
    BEGIN_PATH, BeginMessage, HOLD_PATH, HoldMessage, confirm_hold, request_hold, watch_process,
  },
  notice::apply_forwarded_notice,
  open_connection::observe_endpoint,
  purpose::Purpose,
  reachability_probe::probe_unreachable,
  request::{RequestOrigin, RoutedRequest},
  response_body::BufferedBody,
  resumption::Resumption,
  send_mode::SendMode,
  stage::{BufferedResponse, LoadGuard, OutgoingStage, ResponseHead, send_stage},
  stage_error::StageError,
};
