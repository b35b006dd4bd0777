//! The configurations that the operator writes.

use {
  super::{
    endpoint_state::SEATS, exports::EXPORT_TTL, request_check::MOST_ATTEMPTS,
    request_kind::RequestKind,
  },
  serde_json::{Value, json},
};

/// The host of all routes.
pub(crate) const HOST: &str = "lectures.example";
/// How many versions' routes a configuration has: a box is asked for the newest of them.
const KEPT_VERSIONS: u64 = 12;

/// A version of the configuration: each has a route of its own by which it is known.
pub(crate) fn document(version: u64) -> Value {
  let oldest = version.saturating_sub(KEPT_VERSIONS - 1).max(1);
  let mut routes = vec![
    route(RequestKind::Repeatable.path(), "safe", "portal", 2),
    route(RequestKind::Unrepeatable.path(), "unsafe", "portal", 1),
    route(RequestKind::Stream.path(), "stream", "llm", 1),
    route(
      RequestKind::ResumableStream.path(),
      "stream",
      "llm",
      MOST_ATTEMPTS,
    ),
  ];
  routes.extend((oldest..=version).map(|kept| route(&version_path(kept), "safe", "portal", 2)));
  json!({
    "version": version,
    "routes": routes,
    "services": [
      {"name": "portal", "healthPath": "/health", "maxConnections": 400},
      {"name": "llm", "healthPath": "/health", "maxConnections": 400, "engine": {
        "slots": SEATS, "kvTokens": 60_000, "handleTtlS": EXPORT_TTL.as_secs_f64(), "holdMs": 2_000.0}},
    ],
    "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
      "idleTimeoutMs": 15_000},
  })
}

fn route(path: &str, kind: &str, service: &str, attempts: usize) -> Value {
  json!({
    "name": path, "host": HOST, "pathPrefix": path, "kind": kind, "timeoutMs": 4_000, "targetLatencyMs": 900,
    "priority": 1, "service": service, "maxAttempts": attempts,
    "resumable": path == RequestKind::ResumableStream.path(),
  })
}

/// The path of the route by which a version is known.
pub(crate) fn version_path(version: u64) -> String {
  format!("/v{version}/")
}
