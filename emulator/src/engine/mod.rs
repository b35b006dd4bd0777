//! A stand-in for a model engine. An attempt keeps its slot and memory until it finishes, expires or is cancelled: a closed
//! connection frees nothing, so that tests detect a router that leaks attempts.

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
