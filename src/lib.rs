//! A router for separate prefill and decode pools.
//!
//! There are two kinds of box. `rillford gateway` is the [`gateway`] module. In `rillford serve`, a request passes through
//! ingress, [`decide`] and [`egress`], with [`peers`], [`store`] and [`observe`] beside them: a module and a thread each,
//! connected by bounded rings.

mod admin;
mod bearer_key;
mod bounded_body;
mod causal_merge;
mod chunk;
mod error;
mod http_client;
mod ingress;
mod listener;
mod retry_after;
mod run;
mod serve;
mod subcommand;
mod wait_until;

pub mod configuration;
pub mod decide;
pub mod egress;
pub mod endpoint_api;
pub mod gateway;
pub mod ids;
pub mod observe;
pub mod peers;
pub mod policy;
pub mod ring;
pub mod settings;
pub mod store;

pub use self::{
  admin::{ConfigurationBody, HistoryBody, ProblemBody, Revision},
  causal_merge::CausalMerge,
  error::{Error, Result},
  http_client::{CallError, HttpClient},
  retry_after::{InvalidRetryAfter, retry_after_ms},
  run::{RunGateway, run},
  wait_until::wait_until,
};
