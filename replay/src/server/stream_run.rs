//! The run of a stream at an engine.

use {
  super::{
    super::site::{Distribution, RequestClass},
    admission::Admitted,
    answer::{Answer, Framing},
    answer_fault::{AnswerFault, NoisePlace, noise},
    draw::{real, sample, stream_events, whole},
    engine::Engine,
    event_writer::EventWriter,
    exchange::{Exchange, Next, Sent, before, end},
  },
  judge::{RawRun, RawRunRecorder},
  rand::RngExt,
  std::io,
  tokio::time::{Duration, sleep},
};

/// Bytes of an event of an unknown kind.
const DEFAULT_EVENT_BYTES: f64 = 80.0;
/// Share of its own pace at which an engine reads prompts that nobody read before.
const OWN_READING_SHARE: f64 = 0.5;
/// How many times as long moves of memory between zones take.
const CROSS_ZONE_FACTOR: f64 = 2.0;

/// Runs a stream, or resumes it.
pub(super) async fn run_stream(
  exchange: Exchange<'_>,
  engine: &Engine,
  class: Option<&RequestClass>,
) -> io::Result<Sent> {
  let request = exchange.request;
  let first = request.parsed("last-event-id").unwrap_or(0_u64) + 1;
  let tokens = exchange.prompt_tokens() + (first - 1) * engine.model.stride;
  let Ok(admitted) = exchange.admit(tokens).await else {
    return exchange.refuse(503).await;
  };
  let mut has_memory = true;
  let preparation = async { has_memory = prepare(&exchange, engine, tokens).await };
  if !before(request.deadline(), preparation).await {
    return time_over(exchange).await;
  }
  if !has_memory {
    return exchange.refuse(503).await;
  }
  let used_tokens = exchange.server.admission.usage().tokens;
  engine.keep(&request.prompt(), used_tokens);
  let shape = class.and_then(|class| class.stream.as_ref());
  let run = StreamRun {
    admitted,
    engine,
    event_bytes: shape.map(|shape| shape.piece_bytes),
    first,
    last: last_event(&exchange, engine, class),
    number: exchange.server.world.next_run(),
    exchange,
  };
  run.run().await
}

/// Fetches or reads the prompt. Returns false if its memory can't be had.
async fn prepare(exchange: &Exchange<'_>, engine: &Engine, tokens: u64) -> bool {
  let kept = engine.cache().kept_tokens(&exchange.request.prompt());
  let missing = tokens.saturating_sub(kept);
  let share = OWN_READING_SHARE / exchange.slowness;
  let Some(source) = exchange.request.header("x-kv-source") else {
    engine.read_prompt(missing, share).await;
    return true;
  };
  let server = exchange.server;
  let export = source.split_once('/').and_then(|(address, handle)| {
    let port = address.rsplit(':').next()?.parse().ok()?;
    server.world.exports.take(port, handle)
  });
  let Some(export) = export else {
    return false;
  };
  let zones = match export.zone == server.spec.zone {
    true => 1.0,
    false => CROSS_ZONE_FACTOR,
  };
  let factor = zones * server.conditions.move_factor() * export.conditions.move_factor();
  let fetched = missing.min(export.tokens);
  if !engine.fetch(fetched, factor).await {
    return false;
  }
  engine.read_prompt(missing - fetched, share).await;
  true
}

/// Number of a stream's last event.
fn last_event(exchange: &Exchange<'_>, engine: &Engine, class: Option<&RequestClass>) -> u64 {
  let request = exchange.request;
  match request.token_counts() {
    Some((_, out)) => (out / engine.model.stride.max(1)).max(1),
    None => stream_events(class, request.stream()),
  }
}

async fn time_over(mut exchange: Exchange<'_>) -> io::Result<Sent> {
  let answer = exchange
    .server
    .sealed(504, exchange.request, &mut exchange.random);
  exchange.send(answer, true).await
}

/// The run of a stream at an engine.
struct StreamRun<'a> {
  exchange: Exchange<'a>,
  engine: &'a Engine,
  admitted: Admitted,
  event_bytes: Option<Distribution>,
  /// Its first event.
  first: u64,
  /// The last event of the stream.
  last: u64,
  /// Its number among all runs.
  number: u64,
}

impl StreamRun<'_> {
  async fn run(mut self) -> io::Result<Sent> {
    let recorder = self.record();
    let first_ms = self.engine.model.first_ms * self.exchange.slowness;
    let first_token = sleep(Duration::from_secs_f64(
      first_ms / self.exchange.server.spec.speed / 1e3,
    ));
    if !before(self.exchange.request.deadline(), first_token).await {
      return time_over(self.exchange).await;
    }
    let _place = self.engine.batch.join();
    let conditions = &self.exchange.server.conditions;
    let fault = AnswerFault::draw(conditions, true, &mut self.exchange.random);
    if let Some(fault) = fault {
      let recorder = &self.exchange.server.world.recorder;
      recorder.note(format!(
        "answer of run {} is faulty: {fault:?}",
        self.number
      ));
    }
    match fault {
      Some(AnswerFault::Lost { resets }) => self.run_unheard(&recorder, resets).await,
      Some(AnswerFault::Spoilt(NoisePlace::Instead)) => {
        let noise = noise(&mut self.exchange.random);
        self.exchange.write(&noise).await?;
        Ok(Sent::then(Next::Close))
      }
      fault => self.send(&recorder, fault).await,
    }
  }

  fn record(&self) -> RawRunRecorder {
    let Exchange {
      request, server, ..
    } = &self.exchange;
    let (id, version, number) = (&server.spec.id, &server.spec.version, self.number);
    let last_event_id: Option<u64> = request.parsed("last-event-id");
    server.world.recorder.note(format!(
      "engine {id} version {version} begins run {number} of {} after {last_event_id:?}",
      request.id()
    ));
    server.world.recorder.raw.begin_run(RawRun {
      incarnation: id.as_ref().into(),
      last_event_id,
      last_piece: self.last,
      pieces: Vec::new(),
      request: request.id().into(),
      version: version.as_ref().into(),
    })
  }

  /// Makes all events, and sends nothing.
  async fn run_unheard(mut self, recorder: &RawRunRecorder, resets: bool) -> io::Result<Sent> {
    let mut steps = self.engine.batch.steps().floor();
    for number in self.first..=self.last {
      steps += self.steps_of_event(number);
      if !self.wait_for(steps).await {
        break;
      }
      self.make(number, recorder);
    }
    Ok(Sent::then(end(resets)))
  }

  async fn send(
    mut self,
    recorder: &RawRunRecorder,
    fault: Option<AnswerFault>,
  ) -> io::Result<Sent> {
    let answer = self.answer(fault);
    let mut writer = EventWriter::new(&answer);
    if fault == Some(AnswerFault::Spoilt(NoisePlace::Before)) {
      writer.push_noise(noise(&mut self.exchange.random));
    }
    let count = self.last.saturating_sub(self.first) + 1;
    let strikes_at = self.first + self.exchange.random.random_range(0..count);
    let mut first_event = Vec::new();
    let mut steps = self.engine.batch.steps().floor();
    for number in self.first..=self.last {
      steps += self.steps_of_event(number);
      let is_in_time = self.wait_for(steps).await;
      let event = self.make(number, recorder);
      let random = &mut self.exchange.random;
      let channel = self.exchange.channel;
      if !is_in_time {
        writer.break_off(&event, channel, random).await?;
        return Ok(Sent::then(Next::Close));
      }
      match fault {
        Some(AnswerFault::BrokenOff { resets }) if number == strikes_at => {
          writer.break_off(&event, channel, random).await?;
          return Ok(Sent::then(end(resets)));
        }
        Some(AnswerFault::Spoilt(NoisePlace::Within)) if number == strikes_at => {
          writer.push_noise(noise(random));
        }
        _ => {}
      }
      writer.push(&event, channel, random).await?;
      if first_event.is_empty() {
        first_event = event;
      }
    }
    self.finish(writer, &answer, fault, &first_event).await
  }

  async fn finish(
    mut self,
    mut writer: EventWriter,
    answer: &Answer,
    fault: Option<AnswerFault>,
    first_event: &[u8],
  ) -> io::Result<Sent> {
    let behind = match fault {
      Some(AnswerFault::Extra) => self.exchange.second_answer(first_event),
      Some(AnswerFault::Spoilt(NoisePlace::Behind)) => noise(&mut self.exchange.random),
      _ => Vec::new(),
    };
    let channel = self.exchange.channel;
    let random = &mut self.exchange.random;
    writer.finish(&behind, channel, random).await?;
    let mut sent = Sent::after(answer);
    if fault == Some(AnswerFault::Late) {
      sent.late = self.exchange.second_answer(first_event);
    }
    Ok(sent)
  }

  fn answer(&mut self, fault: Option<AnswerFault>) -> Answer {
    let Exchange {
      random,
      request,
      server,
      ..
    } = &mut self.exchange;
    let mut answer = server.sealed(200, request, random);
    answer.framing = Framing::Chunks;
    if fault == Some(AnswerFault::Unframed) {
      answer.framing = Framing::Connection;
      answer.closes = random.random_range(0..2_u32) == 0;
    }
    answer.with("Content-Type", "text/event-stream")
  }

  /// Steps of the batch from the event before to this one.
  fn steps_of_event(&self, number: u64) -> f64 {
    match number == self.first {
      true => 1.0,
      false => real(self.engine.model.stride) * self.exchange.slowness,
    }
  }

  /// Waits for a step of the batch. Returns false if the time of the request is over before.
  async fn wait_for(&self, steps: f64) -> bool {
    let step = self.engine.batch.wait_for(steps);
    before(self.exchange.request.deadline(), step).await
  }

  /// Makes an event, and records it.
  fn make(&mut self, number: u64, recorder: &RawRunRecorder) -> Vec<u8> {
    let Exchange {
      random,
      request,
      server,
      ..
    } = &mut self.exchange;
    let sizes = self.event_bytes.as_ref();
    let bytes = sizes.map_or(DEFAULT_EVENT_BYTES, |sizes| sample(sizes, random));
    let bytes = usize::try_from(whole(bytes)).unwrap_or_default();
    let spec = &server.spec;
    let (id, version, run) = (&spec.id, &spec.version, self.number);
    let request_id = request.id();
    let mut text = format!("id: {number}\ndata: {id} {version} {run} {request_id} {number} ");
    while text.len() + 2 < bytes {
      text.push('.');
    }
    text.push_str("\n\n");
    recorder.record_piece(number, &text);
    self.admitted.grow(self.engine.model.stride);
    text.into()
  }
}
