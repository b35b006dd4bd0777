//! The contents of a request, which are the same in each of its tries.

use {
  crate::{
    routes::Routes,
    site::{Distribution, RequestClass, Site, StreamShape},
  },
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  std::{f64::consts::TAU, sync::Arc},
};

/// Prompts share one of this many first parts, of this size.
const SHARED_PARTS: u32 = 500;
const SHARED_PART_TOKENS: u64 = 200;
/// Spreads the ids of shared parts.
const SHARED_ID_FACTOR: u32 = 0x9e37_79b1;
/// Share of the bodies that are sent in chunks.
const CHUNKED_CHANCE: f64 = 0.3;
const CHUNK_BYTES: usize = 1_000;
/// Spread of the estimates of the output.
const HINT_SPREAD: f64 = 0.5;
/// Largest body.
const MAX_BODY_BYTES: f64 = 1e7;

/// The contents of a request.
#[derive(Clone, Debug)]
pub(super) struct DrawnRequest {
  method: Arc<str>,
  host: Arc<str>,
  path: String,
  /// Headers of a stream's prompt, each with its line end.
  prompt_headers: String,
  body: Vec<u8>,
  is_chunked: bool,
}

/// What differs from try to try.
#[derive(Clone, Copy, Debug)]
pub(super) struct TryHeaders<'a> {
  pub(super) id: &'a str,
  pub(super) left_ms: u64,
  pub(super) last_event_id: Option<u64>,
  pub(super) resumes: Option<&'a str>,
}

impl DrawnRequest {
  /// Draws a request of a kind. `None` if there is no route for it.
  pub(super) fn draw(
    site: &Site,
    class: &RequestClass,
    routes: &Routes,
    random: &mut ChaCha8Rng,
  ) -> Option<Self> {
    let place = routes.get(&class.name)?;
    let body_bytes = class
      .req_bytes
      .map_or(0.0, |bytes| draw(&bytes, random).min(MAX_BODY_BYTES));
    let prompt_headers = class.stream.as_ref().map(|stream| {
      let service = site.service(&class.service);
      let engine = service.and_then(|service| service.llm.as_ref());
      prompt_headers(stream, engine.map_or(1, |engine| engine.stride), random)
    });
    Some(Self {
      body: vec![
        b'a' + random.random_range(0..26);
        usize::try_from(whole(body_bytes)).unwrap_or_default()
      ],
      host: place.host.clone(),
      is_chunked: random.random_bool(CHUNKED_CHANCE),
      method: class.method.clone(),
      path: format!("{}{:x}", place.path_prefix, random.random_range(0..256)),
      prompt_headers: prompt_headers.unwrap_or_default(),
    })
  }

  /// The bytes of a try.
  pub(super) fn bytes(&self, of_try: TryHeaders<'_>) -> Vec<u8> {
    let Self {
      method,
      host,
      path,
      prompt_headers,
      ..
    } = self;
    let TryHeaders { id, left_ms, .. } = of_try;
    let resumption = resumption_headers(of_try);
    let head = format!(
      "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n{prompt_headers}X-Deadline-Ms: {left_ms}\r\n{resumption}"
    );
    if self.body.is_empty() && &*self.method == "GET" {
      return (head + "\r\n").into_bytes();
    }
    if !self.is_chunked {
      let length = self.body.len();
      let head = format!("{head}Content-Length: {length}\r\n\r\n");
      return [head.as_bytes(), &self.body].concat();
    }
    let mut bytes = (head + "Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    for chunk in self.body.chunks(CHUNK_BYTES) {
      bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
      bytes.extend_from_slice(chunk);
      bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
  }
}

fn resumption_headers(of_try: TryHeaders<'_>) -> String {
  let last = of_try.last_event_id;
  let last = last.map(|last| format!("Last-Event-Id: {last}\r\n"));
  let resumes = of_try.resumes;
  let resumes = resumes.map(|resumes| format!("Resumes: {resumes}\r\n"));
  last.unwrap_or_default() + &resumes.unwrap_or_default()
}

fn prompt_headers(stream: &StreamShape, stride: u64, random: &mut ChaCha8Rng) -> String {
  let tokens = whole(draw(&stream.prompt_tokens, random)).max(1);
  let pieces = draw(&stream.pieces, random).round().max(1.0);
  let most_out = whole(pieces) * stride;
  let hint = whole(scaled(pieces * as_f64(stride), HINT_SPREAD, random)).max(1);
  let shared = random.random_range(0..SHARED_PARTS);
  let own: u32 = random.random();
  let shared_tokens = SHARED_PART_TOKENS.min(tokens / 2);
  let shared_part = format!(
    "{:08x}:{shared_tokens},",
    shared.wrapping_mul(SHARED_ID_FACTOR)
  );
  let first = if shared_tokens > 0 { &*shared_part } else { "" };
  let prefix = format!("{first}{own:08x}:{}", tokens - shared_tokens);
  format!(
    "X-Model: m\r\nX-Token-Counts: {tokens},{most_out}\r\nX-Prompt-Prefix: {prefix}\r\nX-Length-Hint: {hint}\r\n"
  )
}

/// Draws a value of a distribution.
fn draw(of: &Distribution, random: &mut ChaCha8Rng) -> f64 {
  // The mean of the logarithm that gives this mean.
  let median = of.mean * (-of.spread * of.spread / 2.0).exp();
  let value = scaled(median, of.spread, random);
  value.min(of.max.unwrap_or(f64::INFINITY))
}

/// A value times a factor whose logarithm is normal.
fn scaled(median: f64, spread: f64, random: &mut ChaCha8Rng) -> f64 {
  let (radius, angle): (f64, f64) = (random.random(), random.random());
  let normal = (-2.0 * (1.0 - radius).ln()).sqrt() * (TAU * angle).cos();
  median * (spread * normal).exp()
}

#[expect(
  clippy::cast_possible_truncation,
  clippy::cast_sign_loss,
  reason = "sizes are small and not negative"
)]
fn whole(value: f64) -> u64 {
  value.round() as u64
}

fn as_f64(value: u64) -> f64 {
  u32::try_from(value).map_or(f64::MAX, f64::from)
}
