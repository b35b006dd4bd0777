//! A request as `decide` gets it. The body goes from ingress to egress directly.

use crate::ids::{Name, RequestId};

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Work {
  /// A completion by a model, on engines of the prefill and decode pools.
  Model(ModelWork),
  Service(ServiceWork),
}

/// The attributes of a completion that placement uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelWork {
  pub model: Name,
  /// Length of the prompt; estimated by ingress until an engine has reported it.
  pub prompt_tokens: u64,
  pub max_tokens: u64,
  /// Hashes of the prompt's leading blocks, for [`PrefixHints`](super::PrefixHints).
  pub prefix: Vec<u64>,
}

/// The attributes of a call to a plain service that routing uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceWork {
  pub service: Name,
  /// Whether the HTTP method is idempotent (GET, HEAD, PUT, DELETE, OPTIONS).
  pub idempotent: bool,
}

/// A request that ingress has accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
  pub request: RequestId,
  /// The organisation of the bearer key.
  pub organisation: Name,
  pub work: Work,
  /// The caller's label for the kind of task, such as `summary`; an input of the policy program.
  pub task: Name,
  /// Whether the caller forbids running the request more than once.
  pub not_repeatable: bool,
  /// The caller's `Idempotency-Key`.
  pub idempotency_key: Option<Name>,
  /// The caller's deadline for the first byte, from arrival.
  pub deadline_ms: Option<u64>,
}
