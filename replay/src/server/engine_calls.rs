//! Calls to an engine that are no requests of callers.

use {
  super::{
    answer::Answer,
    engine::{Engine, StageOrder},
    engine_tasks::switch_stage,
    request::Request,
    server_spec::Stage,
    server_state::ServerState,
  },
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  serde_json::{Value, json},
  std::{future::pending, sync::Arc, time::Instant},
  tokio::time::{Duration, sleep},
};

/// Time that a list of the kept prompt parts takes from the engine's work.
const LIST_STALL: Duration = Duration::from_millis(5);
/// Longest wait for changes of the kept prompt parts.
const MAX_CHANGES_WAIT_MS: u64 = 1_000;
/// Interval of the checks for changes of the kept prompt parts.
const CHANGES_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of an order that gets no answer.
const LATE_ORDER_MS: std::ops::Range<u64> = 2_000..12_000;

/// Answers a call. `None` if it is a request of a caller.
pub(super) async fn answer_call(
  server: &Arc<ServerState>,
  engine: &Engine,
  request: &Request,
  random: &mut ChaCha8Rng,
) -> Option<Answer> {
  let path = request.path();
  let (status, body) = match (request.method.as_str(), path) {
    ("GET", "/report") => (200, engine.report().unwrap_or_else(|| json!({}))),
    ("POST", "/hold-take") => take_hold(server, engine, request, random),
    ("POST", "/order") => (take_order(server, engine, request, random).await, json!({})),
    ("GET", "/kv-list") => {
      engine.stall(LIST_STALL);
      (200, engine.cache().list())
    }
    ("GET", "/kv-events") => (200, wait_for_changes(engine, request).await),
    ("DELETE", _) => (release(server, path)?, json!({})),
    _ => return None,
  };
  let answer = server.answer(status, request, random);
  Some(answer.with_json(&body))
}

fn take_hold(
  server: &ServerState,
  engine: &Engine,
  request: &Request,
  random: &mut ChaCha8Rng,
) -> (u16, Value) {
  let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
  let tokens = body["tokens"].as_u64().unwrap_or_default();
  let ttl_ms = body["ttlMs"].as_f64().unwrap_or_default();
  let ttl = Duration::from_secs_f64(ttl_ms.clamp(0.0, engine.model.hold_ms) / 1e3);
  let hold = format!("{:012x}", random.random_range(0..1_u64 << 48));
  match !engine.is_switching() && server.admission.hold(&hold, tokens, ttl) {
    true => (200, json!({"hold": hold})),
    false => (503, json!({})),
  }
}

fn release(server: &ServerState, path: &str) -> Option<u16> {
  let mut parts = path.trim_start_matches('/').splitn(2, '/');
  let (kind, id) = (parts.next()?, parts.next()?);
  let was_there = match kind {
    "hold-drop" => server.admission.drop_hold(id),
    "kv-handle" => {
      let port = server.spec.address.port();
      server.world.exports.take(port, id).is_some()
    }
    // Prompts are kept as long as there is room, pinned or not.
    "kv-pin" => true,
    _ => return None,
  };
  Some(if was_there { 200 } else { 404 })
}

/// Takes an order, and returns the status of its answer.
async fn take_order(
  server: &Arc<ServerState>,
  engine: &Engine,
  request: &Request,
  random: &mut ChaCha8Rng,
) -> u16 {
  let Some(order) = parse_order(request) else {
    return 400;
  };
  if !server.conditions.draw_late_order(random) {
    return carry_out(server, engine, order);
  }
  let delay = Duration::from_millis(random.random_range(LATE_ORDER_MS));
  let late = server.clone();
  server.spawn(async move {
    sleep(delay).await;
    if let Some(engine) = &late.engine {
      carry_out(&late, engine, order);
    }
  });
  pending().await
}

fn carry_out(server: &Arc<ServerState>, engine: &Engine, order: StageOrder) -> u16 {
  let status = engine.take_order(order);
  if status == 202 {
    server.spawn(switch_stage(server.clone()));
  }
  status
}

fn parse_order(request: &Request) -> Option<StageOrder> {
  let body: Value = serde_json::from_slice(&request.body).ok()?;
  let is_complete = body["holder"].is_string() && body["fence"].is_number();
  if body["operation"] != "stage" || !is_complete {
    return None;
  }
  Some(StageOrder {
    expected_orders: body["prevRevision"].as_u64(),
    stage: Stage::parse(body["stage"].as_str()?)?,
  })
}

async fn wait_for_changes(engine: &Engine, request: &Request) -> Value {
  let since = request.query("since").unwrap_or_default();
  let wait_ms = request.parsed("wait-ms").unwrap_or(0_u64);
  let until = Instant::now() + Duration::from_millis(wait_ms.min(MAX_CHANGES_WAIT_MS));
  loop {
    if let Some(changes) = engine.cache().changes_after(since) {
      return changes;
    }
    if Instant::now() >= until {
      return engine.cache().no_changes();
    }
    sleep(CHANGES_CHECK_INTERVAL).await;
  }
}
