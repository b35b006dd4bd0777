//! The kinds of requests.

use {serde::Deserialize, std::sync::Arc};

/// A distribution of sizes or times.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Distribution {
  /// The mean.
  pub mean: f64,
  /// The standard deviation of the logarithm.
  #[serde(default)]
  pub spread: f64,
  /// Share of the values that are larger, by the factor `tail_x`.
  #[serde(default)]
  pub tail: f64,
  /// That factor.
  #[serde(default)]
  pub tail_x: f64,
  /// The largest value.
  #[serde(default)]
  pub max: Option<f64>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum RequestKind {
  /// May run more than once.
  Safe,
  /// Runs at most once.
  Unsafe,
  /// Answered by a series of events.
  Stream,
}

/// A part of prompts that requests share.
#[derive(Clone, Debug, Deserialize)]
pub struct Chain {
  /// Tokens of the part.
  pub tokens: Distribution,
  /// Number of different parts.
  pub things: u64,
}

/// The streams of a kind of request.
#[derive(Clone, Debug, Deserialize)]
pub struct StreamShape {
  /// Events of a stream.
  pub pieces: Distribution,
  /// Bytes of an event.
  pub piece_bytes: Distribution,
  /// Longest pause between events that keeps an answer in time, in milliseconds.
  pub gap_aim_ms: f64,
  /// Whether a stream may be resumed.
  #[serde(default)]
  pub resume: bool,
  /// Tokens of the prompt.
  pub prompt_tokens: Distribution,
  /// The parts at the beginning of a prompt that requests share.
  #[serde(default)]
  pub chain: Vec<Chain>,
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize)]
pub struct RequestClass {
  /// Its name.
  pub name: Arc<str>,
  /// Its service.
  pub service: Arc<str>,
  /// What may be repeated.
  pub kind: RequestKind,
  /// The HTTP method.
  pub method: Arc<str>,
  /// The objective: time to the answer, or to the first event.
  pub aim_ms: f64,
  /// Time that a client waits.
  pub deadline_ms: f64,
  /// Time-out of its route.
  pub timeout_ms: f64,
  /// Rank; 0 is highest.
  #[serde(default)]
  pub priority: u8,
  /// Further tries of a client.
  #[serde(default)]
  pub retries: u32,
  /// Servers that a try may be sent to.
  pub attempts: u32,
  /// Share of answers that are errors of the server.
  #[serde(default)]
  pub error_share: f64,
  /// Time that a server works on it, in milliseconds.
  #[serde(default)]
  pub work_ms: Option<Distribution>,
  /// Bytes of its body.
  #[serde(default)]
  pub req_bytes: Option<Distribution>,
  /// Bytes of its answer.
  #[serde(default)]
  pub resp_bytes: Option<Distribution>,
  /// Its streams.
  #[serde(default)]
  pub stream: Option<StreamShape>,
}

impl RequestClass {
  /// Whether a stream of it may be resumed.
  pub fn may_resume(&self) -> bool {
    self.stream.as_ref().is_some_and(|stream| stream.resume)
  }
}
