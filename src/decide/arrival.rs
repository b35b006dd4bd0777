//! What `decide` is told of a request; the body itself goes from ingress to egress directly.

use crate::ids::{Name, RequestId};

/// The kind of work asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Work {
  /// A completion by a model, over the prefill and decode pools.
  Model(ModelWork),
  /// One call to a plain service.
  Service(ServiceWork),
}

/// What placement needs to know of a completion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelWork {
  /// The model asked for.
  pub model: Name,
  /// The prompt's length, estimated by ingress until an engine has said it.
  pub prompt_tokens: u64,
  /// The most tokens that the answer may have.
  pub max_tokens: u64,
  /// Hashes of the prompt's leading blocks, for cached-prefix hints.
  pub prefix: Vec<u64>,
}

/// What routing needs to know of a plain call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceWork {
  /// The service's name.
  pub service: Name,
  /// Whether HTTP allows the method to be sent again (GET, HEAD, PUT, DELETE, OPTIONS).
  pub idempotent: bool,
}

/// A request, as ingress hands it over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
  /// The request's number.
  pub request: RequestId,
  /// The organisation that the bearer key belongs to.
  pub organisation: Name,
  /// The kind of work.
  pub work: Work,
  /// The caller's own name for the kind of task (`summary`, `checkout`), for policy.
  pub task: Name,
  /// Whether the caller forbids a second run.
  pub not_repeatable: bool,
  /// The caller's `Idempotency-Key`, if it gave one.
  pub idempotency_key: Option<Name>,
  /// Time the caller gives for the first byte, counted from arrival.
  pub deadline_ms: Option<u64>,
}
