//! What an engine does beside its requests.

use {
  super::{
    admission::Usage,
    engine::{Engine, REPORT_INTERVAL},
    server_state::ServerState,
  },
  serde_json::{Value, json},
  std::sync::Arc,
  tokio::time::{Duration, sleep},
};

/// Interval of the checks whether all runs have come to their end.
const SWITCH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Keeps the reports of an engine for a while.
pub(super) async fn keep_reports(server: Arc<ServerState>) {
  while let Some(engine) = &server.engine {
    let report = current_report(&server, engine);
    engine.keep_report(report);
    sleep(REPORT_INTERVAL).await;
  }
}

/// Changes the stage of an engine, once all that runs has come to its end.
pub(super) async fn switch_stage(server: Arc<ServerState>) {
  let Some(engine) = &server.engine else {
    return;
  };
  while server.admission.usage().running > 0 {
    sleep(SWITCH_CHECK_INTERVAL).await;
  }
  sleep(Duration::from_secs_f64(engine.model.switch_s)).await;
  engine.end_switch();
}

fn current_report(server: &ServerState, engine: &Engine) -> Value {
  let Usage {
    held,
    queued,
    running,
    tokens,
  } = server.admission.usage();
  let mut report = json!({
    "stage": engine.stage().name(),
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "utilization": engine.is_switching(),
    "callSeq": engine.orders(),
    "queued": queued,
    "inFlight": running,
    "kvUsed": tokens,
    "kvTotal": engine.model.kv_tokens,
    "handles": server.world.exports.count(server.spec.address.port()),
    "pinned": 0,
    "held": held,
  });
  server.name_start(&mut report);
  report
}
