//! The bytes of a garbled answer.

use {
  super::{
    connection::Connection,
    early_ends::EarlyEnds,
    framing::Framing,
    garble::{Call, Garble, GarbledAnswer},
    recorder::Recorder,
    reply::{ReplyBody, full_body},
    stray_response::{NOISE, second_response},
  },
  bytes::Bytes,
  futures_util::stream,
  http::{
    Response, Version,
    header::{CONTENT_LENGTH, HeaderValue},
  },
  http_body_util::{BodyExt, StreamBody},
  hyper::body::{Body, Frame},
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  std::{collections::VecDeque, io, time::Duration},
  tokio::time::sleep,
};

/// Time in which the server sends what it has.
const FLUSH_PERIOD: Duration = Duration::from_millis(5);
/// Pause before a late second answer on a connection that has no next one.
const LATE_PERIOD: Duration = Duration::from_millis(150);

/// What is drawn for the answer to a request.
pub(crate) struct DrawnGarble {
  /// Number of sound parts before it happens: events of a stream, and halves of any other body.
  pub(crate) after_parts: u64,
  pub(crate) answer: GarbledAnswer,
  /// The request.
  pub(crate) id: String,
}

impl DrawnGarble {
  /// Draws what becomes of an answer with a number of parts.
  pub(crate) fn draw(
    id: &str,
    parts: u64,
    call: Call,
    framing: Framing,
    ends: EarlyEnds,
    random: &mut ChaCha8Rng,
  ) -> Self {
    let after_parts = random.random_range(1..parts);
    let answer = GarbledAnswer::draw(call, framing, ends, random);
    let after_parts = match answer.garble {
      // Without its last event, a stream would be cut off.
      Garble::EventLeftOut => after_parts.min(parts - 2),
      _ => after_parts,
    };
    Self {
      after_parts,
      answer,
      id: id.into(),
    }
  }

  /// Garbles a response.
  pub(crate) fn send(
    self,
    recorder: &Recorder,
    response: Response<ReplyBody>,
    connection: &Connection,
  ) -> Response<ReplyBody> {
    recorder.record_garbled(&self.id, self.answer);
    self.answer.send(response, self.after_parts, connection)
  }
}

impl GarbledAnswer {
  /// Garbles a response after a number of its parts.
  pub(crate) fn send(
    self,
    mut response: Response<ReplyBody>,
    after_parts: u64,
    connection: &Connection,
  ) -> Response<ReplyBody> {
    let second = second_response(&response);
    match self.garble {
      Garble::NoiseInstead => {
        connection.send_instead(NOISE.to_vec());
        response = response.map(|_| full_body(""));
      }
      Garble::NoiseBefore => connection.send_before(NOISE.to_vec()),
      _ => {}
    }
    self.apply_framing(&mut response);
    response.map(|body| {
      let garbled = GarbledBody {
        answer: self,
        after_parts,
        body,
        connection: connection.clone(),
        last: Bytes::new(),
        number: 0,
        parts: VecDeque::new(),
        second,
        state: State::Sound,
      };
      garbled.into_body()
    })
  }

  /// Replaces the framing of a response.
  fn apply_framing(self, response: &mut Response<ReplyBody>) {
    let length = response.body().size_hint().exact();
    *response.version_mut() = match self.framing {
      Framing::Chunks | Framing::Length => Version::HTTP_11,
      Framing::ConnectionEnd => Version::HTTP_10,
    };
    if let (Framing::Length, Some(length)) = (self.framing, length) {
      let value = HeaderValue::from(length);
      response.headers_mut().insert(CONTENT_LENGTH, value);
    }
  }
}

/// How much of the garbling is done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
  /// The parts are sent as they are, up to the one where it happens.
  Sound,
  /// The rest of the parts is sent as it is.
  Garbled,
  /// Nothing more is sent.
  Over,
}

/// A body that is garbled after some of its parts.
struct GarbledBody {
  answer: GarbledAnswer,
  after_parts: u64,
  body: ReplyBody,
  connection: Connection,
  /// The last part that was sent.
  last: Bytes,
  /// Number of parts that were taken.
  number: u64,
  /// Parts that were taken from the body.
  parts: VecDeque<Bytes>,
  second: Vec<u8>,
  state: State,
}

impl GarbledBody {
  fn into_body(self) -> ReplyBody {
    let parts = stream::unfold(self, |mut body| async move {
      let item = body.take_next().await?;
      Some((item.map(Frame::data), body))
    });
    StreamBody::new(parts).boxed_unsync()
  }

  async fn take_next(&mut self) -> Option<io::Result<Bytes>> {
    if self.state == State::Over {
      return None;
    }
    if self.state == State::Sound && self.number == self.after_parts {
      self.state = State::Garbled;
      match self.answer.garble {
        Garble::CutOff => return self.cut_off().await,
        Garble::CutWithin => return self.cut_within().await,
        Garble::EventTwice => return Some(Ok(self.last.clone())),
        Garble::EventLeftOut => {
          self.take_part().await;
        }
        Garble::NoiseInBody => return Some(Ok(Bytes::from_static(NOISE))),
        Garble::NoiseWithin if self.is_unframed() => return Some(Ok(Bytes::from_static(NOISE))),
        Garble::NoiseWithin => {
          sleep(FLUSH_PERIOD).await;
          self.connection.send_before(NOISE.to_vec());
        }
        _ => {}
      }
    }
    match self.take_part().await {
      Some(Ok(part)) => {
        self.last = part.clone();
        Some(Ok(part))
      }
      Some(Err(error)) => {
        self.state = State::Over;
        Some(Err(error))
      }
      None => self.end().await,
    }
  }

  fn is_unframed(&self) -> bool {
    self.answer.framing == Framing::ConnectionEnd
  }

  /// Ends the answer in order; an error closes a connection whose framing would go on.
  async fn cut_off(&mut self) -> Option<io::Result<Bytes>> {
    self.state = State::Over;
    sleep(FLUSH_PERIOD).await;
    if self.is_unframed() {
      return None;
    }
    Some(Err(io::Error::other("cut off")))
  }

  /// The first half of the next part, with which the answer ends.
  async fn cut_within(&mut self) -> Option<io::Result<Bytes>> {
    let part = self.take_part().await?;
    self.state = State::Over;
    Some(part.map(|part| part.slice(..part.len() / 2)))
  }

  /// The next event of a stream, or half of another body.
  async fn take_part(&mut self) -> Option<io::Result<Bytes>> {
    while self.parts.is_empty() {
      let data = match self.body.frame().await? {
        Ok(frame) => frame.into_data().unwrap_or_default(),
        Err(error) => return Some(Err(error)),
      };
      if self.answer.call == Call::Stream {
        self.parts.push_back(data);
      } else {
        let half = data.len() / 2;
        self.parts.extend([data.slice(..half), data.slice(half..)]);
      }
    }
    self.number += 1;
    self.parts.pop_front().map(Ok)
  }

  /// The whole answer was sent.
  async fn end(&mut self) -> Option<io::Result<Bytes>> {
    self.state = State::Over;
    if !self.is_unframed() {
      return None;
    }
    match self.answer.garble {
      Garble::NoiseBehind => Some(Ok(Bytes::from_static(NOISE))),
      Garble::SecondAtOnce => Some(Ok(std::mem::take(&mut self.second).into())),
      Garble::SecondLate => {
        sleep(LATE_PERIOD).await;
        Some(Ok(std::mem::take(&mut self.second).into()))
      }
      _ => None,
    }
  }
}

impl Drop for GarbledBody {
  fn drop(&mut self) {
    if self.is_unframed() {
      return;
    }
    // A server that knows the length does not ask for the end.
    let second = std::mem::take(&mut self.second);
    match self.answer.garble {
      Garble::NoiseBehind => self.connection.send_after(NOISE.to_vec()),
      Garble::SecondAtOnce => self.connection.send_after(second),
      Garble::SecondLate => self.connection.send_late(self.answer, second),
      _ => {}
    }
  }
}
