//! What becomes of a request, by the server and by the request.

use {
  super::{
    super::site::RequestClass,
    condition_cell::GreyKind,
    engine::Engine,
    engine_calls::answer_call,
    exchange::{Exchange, HEALTH_PATH, Sent},
    server_spec::Stage,
    stream_run::run_stream,
  },
  std::io,
};

impl Exchange<'_> {
  /// Answers the request. Fails if the connection is broken.
  pub(super) async fn run(mut self) -> io::Result<Sent> {
    let Self {
      request, server, ..
    } = self;
    let expected = request.header("x-expect-instance");
    if expected.is_some_and(|expected| expected != &*server.spec.id) {
      let answer = server.not_run(421, request, &mut self.random);
      let answer = answer.with("X-Instance-Id", server.spec.id.as_ref());
      return self.send(answer, false).await;
    }
    if request.path() == HEALTH_PATH && request.method == "GET" {
      return self.answer_health().await;
    }
    if let Some(engine) = &server.engine
      && let Some(answer) = answer_call(server, engine, request, &mut self.random).await
    {
      return self.send(answer, false).await;
    }
    if request.id().is_empty() {
      return self.refuse(400).await;
    }
    self.slowness = server.conditions.work_factor();
    if let Some(grey) = server.conditions.draw_grey(&mut self.random) {
      match grey {
        GreyKind::Slow(factor) => self.slowness *= factor,
        _ => return self.fail(grey).await,
      }
    }
    let class = server.world.classes.find(request.host(), request.path());
    let class = class.as_deref();
    match &server.engine {
      None => self.run_plain(class).await,
      Some(engine) => self.run_engine(engine, class).await,
    }
  }

  async fn run_engine(self, engine: &Engine, class: Option<&RequestClass>) -> io::Result<Sent> {
    let is_prefill = self.request.header("x-serving-stage") == Some("prefill");
    let version: Option<u64> = self.request.parsed("x-expect-version");
    if version.is_some_and(|version| version != 1) {
      return self.refuse(421).await;
    }
    if engine.is_switching() {
      return self.refuse(503).await;
    }
    match (is_prefill, engine.stage()) {
      (true, Stage::Prefill) => self.read_prompt(engine).await,
      (false, Stage::Decode) => run_stream(self, engine, class).await,
      _ => self.refuse(421).await,
    }
  }
}
