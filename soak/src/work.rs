//! What callers ask for, and what endpoints work on.

use http::{Method, Uri};

/// The part of a request that reaches the endpoint unchanged, and the service that it is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestContent {
  /// HTTP method.
  pub method: String,
  /// Path and query.
  pub path: String,
  /// Body.
  pub body: String,
  /// The service of the request's route, or of the endpoint that received it.
  pub service: String,
}

impl RequestContent {
  pub(crate) fn new(method: &Method, uri: &Uri, body: &[u8], service: &str) -> Self {
    let path = uri.path_and_query().map(ToString::to_string);
    Self {
      body: String::from_utf8_lossy(body).into_owned(),
      method: method.to_string(),
      path: path.unwrap_or_default(),
      service: service.into(),
    }
  }
}

/// A request that an endpoint ran, or whose prompt it read for another one. A request without an id counts too, although
/// endpoints reject it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Work {
  /// Start of the work.
  pub began_ms: u64,
  /// The request's id; empty without one.
  pub id: String,
  /// The endpoint's incarnation.
  pub incarnation: String,
  /// What the endpoint received.
  pub request: RequestContent,
}
