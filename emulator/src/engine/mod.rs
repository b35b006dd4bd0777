//! A stand-in for a model engine. It holds memory until it is told to let go: a caller's closed
//! connection alone frees nothing, so that a router that forgets is found out.

mod answer_text;
mod faults;
mod routes;
mod state;

pub(crate) use self::answer_text::unix_us;

pub use self::{
  answer_text::{answer_text, token_text},
  faults::EngineFaults,
  state::{EngineOptions, EngineStandIn, EngineTally},
};
