//! What a faulty endpoint does to its answers.

use {
  super::{
    early_ends::EarlyEnds, endpoint_kind::EndpointKind, engine_call::EngineCall, framing::Framing,
  },
  http::request::Parts,
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  std::fmt,
};

/// How much smaller the share of garbled answers is for calls before a stream.
const CALLS_DIVISOR: u8 = 4;

/// What a faulty endpoint that serves on does to an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Garble {
  /// Ends it in order before its last part.
  CutOff,
  /// Ends it in order within a part.
  CutWithin,
  /// Sends noise in place of the answer.
  NoiseInstead,
  /// Sends noise before the answer.
  NoiseBefore,
  /// Sends noise between two parts of the answer, outside of its framing.
  NoiseWithin,
  /// Sends noise as a part of the body.
  NoiseInBody,
  /// Sends noise behind the whole answer.
  NoiseBehind,
  /// Sends a second answer at once behind the whole answer.
  SecondAtOnce,
  /// Sends a second answer in the place of the next one; before the end of a connection that has none, after a pause.
  SecondLate,
  /// Sends an event twice.
  EventTwice,
  /// Leaves an event out.
  EventLeftOut,
}

impl Garble {
  /// All kinds.
  pub const ALL: [Self; 11] = [
    Self::CutOff,
    Self::CutWithin,
    Self::NoiseInstead,
    Self::NoiseBefore,
    Self::NoiseWithin,
    Self::NoiseInBody,
    Self::NoiseBehind,
    Self::SecondAtOnce,
    Self::SecondLate,
    Self::EventTwice,
    Self::EventLeftOut,
  ];
}

/// The call that an answer belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
  /// A reservation of a slot.
  Reservation,
  /// A load report.
  Report,
  /// A prompt that is read for another engine.
  Prefill,
  /// A stream.
  Stream,
  /// A plain request.
  Plain,
}

impl Call {
  /// Share of the answers to such calls that are garbled. Calls before a stream are spared, so that streams begin.
  pub(crate) fn garbled_percent(self, percent: u8) -> u8 {
    match self {
      Self::Stream | Self::Plain => percent,
      Self::Reservation | Self::Report | Self::Prefill => percent / CALLS_DIVISOR,
    }
  }

  /// The call that a request makes at an endpoint of a kind, if its answer may be garbled.
  pub(crate) fn of(head: &Parts, kind: EndpointKind) -> Option<Self> {
    match (EngineCall::of(kind, &head.method, head.uri.path()), kind) {
      (Some(EngineCall::Reservation), _) => Some(Self::Reservation),
      (Some(EngineCall::LoadReport), _) => Some(Self::Report),
      (Some(_), _) => None,
      (None, EndpointKind::Plain) => Some(Self::Plain),
      (None, EndpointKind::Prefill) => Some(Self::Prefill),
      (None, EndpointKind::Decode) => Some(Self::Stream),
    }
  }

  /// All kinds.
  pub const ALL: [Self; 5] = [
    Self::Reservation,
    Self::Report,
    Self::Prefill,
    Self::Stream,
    Self::Plain,
  ];
}

/// An answer that is garbled in one way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GarbledAnswer {
  /// The call.
  pub call: Call,
  /// How the end of the answer is marked.
  pub framing: Framing,
  /// What becomes of it.
  pub garble: Garble,
}

impl GarbledAnswer {
  /// Draws what becomes of an answer.
  pub fn draw(call: Call, framing: Framing, ends: EarlyEnds, random: &mut ChaCha8Rng) -> Self {
    // An engine does not know the length of a stream when it sends the head.
    let framing = match (call, framing) {
      (Call::Stream, Framing::Length) => Framing::Chunks,
      _ => framing,
    };
    let answers = Garble::ALL.map(|garble| Self {
      call,
      framing,
      garble,
    });
    let is_drawn = |it: &Self| it.is_playable() && it.is_of(ends);
    let drawn: Vec<Self> = answers.into_iter().filter(is_drawn).collect();
    drawn[random.random_range(0..drawn.len())]
  }

  /// Whether such an answer is drawn where engines that run on end streams early as given.
  fn is_of(self, ends: EarlyEnds) -> bool {
    match self.garble {
      Garble::CutOff if self.is_stream_without_framing() => ends == EarlyEnds::BetweenEvents,
      Garble::CutWithin => ends == EarlyEnds::WithinEvents,
      _ => true,
    }
  }

  /// Whether there is such an answer, and a rule for what a caller may get of it.
  pub fn is_playable(self) -> bool {
    match self.garble {
      Garble::NoiseInstead | Garble::NoiseBefore => !self.is_stream_with_length(),
      Garble::EventTwice | Garble::EventLeftOut => {
        self.call == Call::Stream && self.framing != Framing::Length
      }
      // In the other framings, the end of the connection shows the cut, wherever it is.
      Garble::CutWithin => self.is_stream_without_framing(),
      // In the other framings, this is the same as noise outside of the framing.
      Garble::NoiseInBody => self.framing == Framing::Chunks && self.call != Call::Plain,
      Garble::NoiseWithin => {
        !self.is_stream_with_length()
          && (self.call != Call::Plain || self.framing == Framing::Chunks)
      }
      Garble::CutOff | Garble::NoiseBehind | Garble::SecondAtOnce | Garble::SecondLate => {
        // The body of a plain answer is opaque.
        let is_opaque = self.call == Call::Plain && self.framing == Framing::ConnectionEnd;
        !self.is_stream_with_length() && !is_opaque
      }
    }
  }

  fn is_stream_with_length(self) -> bool {
    self.call == Call::Stream && self.framing == Framing::Length
  }

  fn is_stream_without_framing(self) -> bool {
    self.call == Call::Stream && self.framing == Framing::ConnectionEnd
  }

  /// Whether anyone can tell such an answer to a caller's request from a sound one.
  pub fn can_be_told(self, may_resume: bool) -> bool {
    let ends_as_usual = self.framing == Framing::ConnectionEnd && self.garble == Garble::CutOff;
    self.call != Call::Stream || !ends_as_usual || may_resume
  }
}

impl fmt::Display for GarbledAnswer {
  fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
    let Self {
      call,
      framing,
      garble,
    } = self;
    write!(formatter, "{call:?}/{framing:?}/{garble:?}")
  }
}
