//! The configurations that the operator writes.

use {
  super::{
    caller_key::organisations,
    cold_check::{COLD_MS, COLD_PER_S},
    exports::EXPORT_TTL,
    profile::Profile,
    request_kind::RequestKind,
  },
  serde_json::{Value, json},
};

/// Host name of all routes.
pub(crate) const HOST: &str = "lectures.example";
/// Number of recent versions that have a route: boxes are probed for the newest.
const VERSION_ROUTES: u64 = 12;

/// Configuration of a version with a number of routes that nobody uses. Each version has a route of its own, which shows whether a box has applied it.
pub(crate) fn document(version: u64, unused_routes: usize, profile: &Profile) -> Value {
  let oldest = version.saturating_sub(VERSION_ROUTES - 1).max(1);
  let mut routes = vec![
    route(profile, RequestKind::Retryable, "safe", "portal"),
    route(profile, RequestKind::NonRetryable, "unsafe", "portal"),
    route(profile, RequestKind::Stream, "stream", "llm"),
    route(profile, RequestKind::ResumableStream, "stream", "llm"),
  ];
  routes.extend((oldest..=version).map(|recent| {
    let mut route = route(profile, RequestKind::Retryable, "safe", "portal");
    route["name"] = json!(version_path(recent));
    route["pathPrefix"] = json!(version_path(recent));
    route["allowAnonymous"] = json!(true);
    route
  }));
  routes.extend((0..unused_routes).map(|number| {
    let mut route = route(profile, RequestKind::Retryable, "safe", "portal");
    route["name"] = json!(format!("unused-{number}"));
    route["pathPrefix"] = json!(format!("/unused/{number}/"));
    route
  }));
  let cold_ms = if profile.has_cold_starts { COLD_MS } else { 0 };
  let cold_start_s = cold_ms as f64 / 1_000.0;
  json!({
    "version": version,
    "routes": routes,
    "services": [
      {"name": "portal", "healthPath": "/health", "maxConnections": 400, "coldStartS": cold_start_s,
       "coldPerS": COLD_PER_S},
      {"name": "llm", "healthPath": "/health", "maxConnections": 400, "coldStartS": cold_start_s,
       "coldPerS": COLD_PER_S, "engine": {
        "slots": profile.slots, "kvTokens": 60_000, "handleTtlS": EXPORT_TTL.as_secs_f64(), "holdMs": 2_000.0}},
    ],
    "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
      "idleTimeoutMs": 15_000},
    "tenants": organisations(version),
  })
}

fn route(profile: &Profile, kind: RequestKind, route_type: &str, service: &str) -> Value {
  json!({
    "name": kind.path(), "host": HOST, "pathPrefix": kind.path(), "kind": route_type, "timeoutMs": profile.deadline_ms,
    "targetLatencyMs": 900, "priority": 1, "service": service, "maxAttempts": profile.max_attempts(kind),
    "resumable": kind == RequestKind::ResumableStream,
  })
}

/// Path of a version's own route.
pub(crate) fn version_path(version: u64) -> String {
  format!("/v{version}/")
}
