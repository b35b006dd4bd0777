//! The egress filter: orders become calls to endpoints, and their streams go to ingress.

mod answer_reader;
mod calls;
mod desk;
mod endpoint_client;
mod errand;
mod joiner;
mod office;
mod pace;
mod streams;

pub(crate) use self::{
  calls::end_to_end,
  desk::{EgressInput, EgressSetup, run},
};

pub use self::joiner::{Joiner, Piece};
