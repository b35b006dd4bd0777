//! A request on a connection of a server, and what is sent for it.

use {
  super::{
    super::site::RequestClass,
    admission::{Admitted, Refusal},
    answer::{Answer, Framing},
    answer_fault::{AnswerFault, NoisePlace, noise},
    channel::Channel,
    condition_cell::GreyKind,
    draw::sample,
    engine::Engine,
    exports::Export,
    request::Request,
    server_state::ServerState,
  },
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  serde_json::json,
  std::{future::pending, io, sync::Arc, time::Instant},
  tokio::time::{Duration, sleep, timeout_at},
};

/// Path of the health checks.
pub(super) const HEALTH_PATH: &str = "/health";
/// Time of the work on a request of an unknown kind.
const DEFAULT_WORK_MS: f64 = 5.0;
/// Body of an answer to a request of an unknown kind.
const DEFAULT_BODY_BYTES: f64 = 64.0;
/// Time after which a failing server answers.
const FAILURE_DELAY: Duration = Duration::from_millis(10);
/// Length of the body that a hanging answer names.
const HANGING_BODY_BYTES: usize = 64;

/// What becomes of the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Next {
  /// It serves further requests.
  KeepAlive,
  /// It is closed.
  Close,
  /// It is reset.
  Reset,
}

/// What was sent for a request.
#[derive(Clone, Debug)]
pub(super) struct Sent {
  pub(super) next: Next,
  /// Bytes to be sent in the place of the next answer.
  pub(super) late: Vec<u8>,
}

impl Sent {
  pub(super) fn then(next: Next) -> Self {
    Self {
      late: Vec::new(),
      next,
    }
  }

  /// After an answer that says whether the connection is closed.
  pub(super) fn after(answer: &Answer) -> Self {
    match answer.closes || answer.framing == Framing::Connection {
      true => Self::then(Next::Close),
      false => Self::then(Next::KeepAlive),
    }
  }
}

/// A request on a connection of a server.
pub(super) struct Exchange<'a> {
  pub(super) channel: &'a Channel,
  pub(super) server: &'a Arc<ServerState>,
  pub(super) request: &'a Request,
  pub(super) random: ChaCha8Rng,
  /// How many times as long its work takes.
  pub(super) slowness: f64,
}

impl Exchange<'_> {
  /// Answers that the request was not run.
  pub(super) async fn refuse(mut self, status: u16) -> io::Result<Sent> {
    let answer = self.server.not_run(status, self.request, &mut self.random);
    self.send(answer, false).await
  }

  /// Sends a whole answer, or what becomes of it.
  pub(super) async fn send(mut self, mut answer: Answer, was_run: bool) -> io::Result<Sent> {
    let fault = AnswerFault::draw(&self.server.conditions, was_run, &mut self.random);
    if fault == Some(AnswerFault::Unframed) {
      answer.framing = Framing::Connection;
      answer.closes = self.random.random_range(0..2_u32) == 0;
    }
    let head = answer.head();
    let body = answer.framed_body(&mut self.random);
    let sent = Sent::after(&answer);
    match fault {
      None | Some(AnswerFault::Unframed) => self.write(&[head, body].concat()).await?,
      Some(AnswerFault::Lost { resets }) => return Ok(Sent::then(end(resets))),
      Some(AnswerFault::BrokenOff { resets }) => {
        let bytes = [head, body].concat();
        let length = self.random.random_range(1..bytes.len());
        self.write(&bytes[..length]).await?;
        return Ok(Sent::then(end(resets)));
      }
      Some(AnswerFault::Spoilt(place)) => {
        let noise = noise(&mut self.random);
        match place {
          NoisePlace::Instead => {
            self.write(&noise).await?;
            return Ok(Sent::then(Next::Close));
          }
          NoisePlace::Before => self.write(&[noise, head, body].concat()).await?,
          NoisePlace::Within => {
            self.write(&[head, noise, body].concat()).await?;
            return Ok(Sent::then(Next::Close));
          }
          NoisePlace::Behind => self.write(&[head, body, noise].concat()).await?,
        }
      }
      Some(AnswerFault::Extra) => {
        let second = self.second_answer(b"again");
        self.write(&[head, body, second].concat()).await?;
      }
      Some(AnswerFault::Late) => {
        self.write(&[head, body].concat()).await?;
        let late = self.second_answer(b"again");
        return Ok(Sent { late, ..sent });
      }
    }
    Ok(sent)
  }

  /// Another whole answer to the request.
  pub(super) fn second_answer(&mut self, body: &[u8]) -> Vec<u8> {
    let mut answer = self.server.sealed(200, self.request, &mut self.random);
    answer.body = body.to_vec();
    [answer.head(), answer.body].concat()
  }

  pub(super) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
    self.channel.write_split(bytes, &mut self.random).await
  }

  /// Takes a slot and memory.
  pub(super) async fn admit(&self, tokens: u64) -> Result<Admitted, Refusal> {
    let hold = self.request.header("x-hold");
    let deadline = self.request.deadline();
    self.server.admission.admit(tokens, hold, deadline).await
  }

  /// Works on the request for a while. Returns whether that was done before its time was over.
  async fn work(&self, duration_ms: f64) -> bool {
    let duration = Duration::from_secs_f64(duration_ms * self.slowness / 1e3);
    match self.request.deadline() {
      None => {
        sleep(duration).await;
        true
      }
      Some(deadline) => timeout_at(deadline.into(), sleep(duration)).await.is_ok(),
    }
  }

  pub(super) async fn answer_health(mut self) -> io::Result<Sent> {
    let Ok(_admitted) = self.admit(0).await else {
      return self.refuse(503).await;
    };
    let status = if self.server.is_draining() { 503 } else { 200 };
    let answer = self.server.answer(status, self.request, &mut self.random);
    let answer = answer.with("X-Instance-Id", self.server.spec.id.as_ref());
    let sent = Sent::after(&answer);
    self.write(&answer.head()).await?;
    Ok(sent)
  }

  pub(super) async fn fail(mut self, grey: GreyKind) -> io::Result<Sent> {
    sleep(FAILURE_DELAY).await;
    match grey {
      GreyKind::Shed => self.refuse(503).await,
      GreyKind::Busy => self.refuse(429).await,
      GreyKind::Reset => Ok(Sent::then(Next::Reset)),
      GreyKind::Mute => {
        let _admitted = self.admit(0).await;
        pending().await
      }
      GreyKind::Errors | GreyKind::Slow(_) => {
        let answer = self.server.sealed(500, self.request, &mut self.random);
        self.send(answer, true).await
      }
      GreyKind::Hang => {
        let _admitted = self.admit(0).await;
        let mut answer = self.server.sealed(500, self.request, &mut self.random);
        answer.body = vec![b'.'; HANGING_BODY_BYTES];
        let bytes = [answer.head(), b"failed: ".to_vec()].concat();
        self.write(&bytes).await?;
        pending().await
      }
    }
  }

  pub(super) async fn run_plain(mut self, class: Option<&RequestClass>) -> io::Result<Sent> {
    let Ok(_admitted) = self.admit(0).await else {
      return self.refuse(503).await;
    };
    let work = class.and_then(|class| class.work_ms);
    let work_ms = work.map_or(DEFAULT_WORK_MS, |work| sample(&work, &mut self.random));
    if !self.work(work_ms / self.server.spec.speed).await {
      let answer = self.server.sealed(504, self.request, &mut self.random);
      return self.send(answer, true).await;
    }
    let error_share = class.map_or(0.0, |class| class.error_share);
    let status = match self.random.random_range(0.0..1.0) < error_share {
      true => 500,
      false => 200,
    };
    let sizes = class.and_then(|class| class.resp_bytes);
    let bytes = sizes.map_or(DEFAULT_BODY_BYTES, |sizes| sample(&sizes, &mut self.random));
    let text = format!("{} by {}", self.request.id(), self.server.spec.id);
    let answer = self.server.sealed(status, self.request, &mut self.random);
    let answer = answer.with_drawn_body(&text, bytes, &mut self.random);
    self.send(answer, true).await
  }

  /// Reads the prompt and keeps it for another engine.
  pub(super) async fn read_prompt(mut self, engine: &Engine) -> io::Result<Sent> {
    let prompt = self.request.prompt();
    let tokens = self.prompt_tokens();
    let Ok(_admitted) = self.admit(tokens).await else {
      return self.refuse(503).await;
    };
    let missing = tokens.saturating_sub(engine.cache().kept_tokens(&prompt));
    let reading = engine.read_prompt(missing, 1.0 / self.slowness);
    if !before(self.request.deadline(), reading).await {
      let answer = self.server.sealed(504, self.request, &mut self.random);
      return self.send(answer, true).await;
    }
    engine.keep(&prompt, self.server.admission.usage().tokens);
    let handle = format!("{:012x}", self.random.random_range(0..1_u64 << 48));
    let spec = &self.server.spec;
    let export = Export {
      conditions: self.server.conditions.clone(),
      owner: spec.id.clone(),
      tokens,
      until: Instant::now() + Duration::from_secs_f64(engine.model.handle_s),
      zone: spec.zone.clone(),
    };
    let exports = &self.server.world.exports;
    exports.insert(spec.address.port(), &handle, export);
    let answer = self.server.answer(200, self.request, &mut self.random);
    let body = json!({"promptHandle": handle, "tokens": tokens, "version": 1});
    self.send(answer.with_json(&body), true).await
  }

  /// Tokens of the request's prompt.
  pub(super) fn prompt_tokens(&self) -> u64 {
    let counts = self.request.token_counts();
    let of_parts = || self.request.prompt().iter().map(|part| part.1).sum();
    counts.map_or_else(of_parts, |(prompt, _)| prompt)
  }
}

/// Waits for some work. Returns whether it was done before the time was over.
pub(super) async fn before(deadline: Option<Instant>, work: impl Future<Output = ()>) -> bool {
  match deadline {
    None => {
      work.await;
      true
    }
    Some(deadline) => timeout_at(deadline.into(), work).await.is_ok(),
  }
}

/// How a connection ends with an answer that is not whole.
pub(super) fn end(resets: bool) -> Next {
  match resets {
    true => Next::Reset,
    false => Next::Close,
  }
}
