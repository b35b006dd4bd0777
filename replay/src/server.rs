//! Engines and plain services on raw sockets, whose faults are exact to the byte.

mod admission;
mod answer;
mod answer_fault;
mod batch;
mod channel;
mod class_lookup;
mod condition_cell;
mod connection;
mod dispatch;
mod draw;
mod engine;
mod engine_calls;
mod engine_tasks;
mod event_writer;
mod exchange;
mod exports;
mod prompt_cache;
mod request;
mod server_spec;
mod server_state;
mod server_world;
mod stream_run;

pub use self::{
  class_lookup::ClassLookup,
  condition_cell::{Condition, ConditionCell, ConditionGuard, GarbleKind, GreyKind},
  draw::{sample, stream_events},
  exports::Exports,
  server_spec::{ServerSpec, Stage, StartNaming},
  server_world::ServerWorld,
};

use {
  self::{connection::serve, engine_tasks::keep_reports, server_state::ServerState},
  serde_json::{Value, json},
  std::sync::Arc,
  tokio::{
    net::TcpListener,
    time::{Duration, sleep},
  },
};

/// Interval of the checks whether a server that leaves is idle, and pause after a failed accept.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An engine or a plain service. It is killed when it is dropped.
pub struct Server(Arc<ServerState>);

impl Server {
  /// Starts a server. Must be called within a runtime.
  pub fn start(spec: ServerSpec, listener: TcpListener, world: &ServerWorld) -> Arc<Self> {
    let state = ServerState::new(spec, world.clone());
    state.spawn(accept(state.clone(), listener));
    if state.engine.is_some() {
      state.spawn(keep_reports(state.clone()));
    }
    Arc::new(Self(state))
  }

  /// Ends it as the kernel ends a process that is killed: no further byte is sent; its listener is closed, and its connections are closed,
  /// those with unread bytes by a reset. What was written before is delivered.
  pub fn kill(&self) {
    self.0.kill();
  }

  /// Begins to leave: says so in its entry and closes connections after their answers, but goes on serving.
  pub fn drain(&self) {
    self.0.drain();
  }

  /// Ends it as soon as it is idle.
  pub async fn stop(&self) {
    while self.running() > 0 {
      sleep(CHECK_INTERVAL).await;
    }
    self.kill();
  }

  /// What it is.
  pub fn spec(&self) -> &ServerSpec {
    &self.0.spec
  }

  /// Whether it was not killed.
  pub fn is_up(&self) -> bool {
    self.0.gate.is_open()
  }

  /// Whether it leaves.
  pub fn is_draining(&self) -> bool {
    self.0.is_draining()
  }

  /// The key of its entry in the store.
  pub fn key(&self) -> String {
    format!("servers/{}", self.0.spec.id)
  }

  /// Its entry in the store.
  pub fn entry(&self) -> Value {
    let ServerSpec {
      address,
      service,
      version,
      zone,
      ..
    } = &self.0.spec;
    let mut entry = json!({
      "service": service.name,
      "address": address.to_string(),
      "zone": zone,
      "version": version,
      "slots": service.slots,
      "state": if self.is_draining() { "draining" } else { "ready" },
      "coldRemainingMs": 0,
      "callSeq": 0,
    });
    if let Some(engine) = &self.0.engine {
      entry["stage"] = engine.stage().name().into();
      entry["models"] = json!([{"name": "m", "version": 1, "adapters": []}]);
      entry["callSeq"] = engine.orders().into();
    }
    self.0.name_start(&mut entry);
    entry
  }

  /// Its faults.
  pub fn conditions(&self) -> &Arc<ConditionCell> {
    &self.0.conditions
  }

  /// Number of requests that it works on.
  pub fn running(&self) -> usize {
    self.0.admission.usage().running
  }
}

impl Drop for Server {
  fn drop(&mut self) {
    self.kill();
  }
}

async fn accept(server: Arc<ServerState>, listener: TcpListener) {
  loop {
    server.conditions.wait_until_heard().await;
    match listener.accept().await {
      Ok((socket, _)) => server.spawn(serve(server.clone(), socket)),
      Err(error) => {
        let id = &server.spec.id;
        let recorder = &server.world.recorder;
        recorder.note(format!("server {id} can't accept: {error}"));
        sleep(CHECK_INTERVAL).await;
      }
    }
  }
}
