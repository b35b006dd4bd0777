//! A router for separate prefill and decode pools.
//!
//! A request's way: [`ingress`](crate) → [`decide`] → [`egress`], with peers, platform and observe at the
//! side. Each is a folder, a thread, and a filter between bounded rings.

mod admin;
mod bearer_key;
mod cause_first;
mod chunk;
mod error;
mod http_client;
mod ingress;
mod listener;
mod retry_after;
mod run;
mod serve;
mod subcommand;

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
  cause_first::CauseFirst,
  error::{Error, Result},
  http_client::{CallError, HttpClient},
  retry_after::{BadRetryAfter, retry_after_ms},
  run::{RunGateway, run},
};
