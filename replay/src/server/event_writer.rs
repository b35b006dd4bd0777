//! Writes the events of a stream to its connection.

use {
  super::{
    answer::{Answer, Framing, LAST_CHUNK, chunks},
    channel::Channel,
  },
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  std::io,
};

/// One in so many events waits for the next.
const JOINED_EVENTS: u32 = 10;

/// Writes the events of a stream to its connection: in chunks, or up to the end of the connection. One that its engine breaks off ends
/// inside an event; the end of the engine's process may fall between two.
#[derive(Debug)]
pub(super) struct EventWriter {
  framing: Framing,
  /// Bytes that go before the events as they are.
  raw: Vec<u8>,
  /// Events that are not written yet.
  events: Vec<u8>,
  has_begun: bool,
}

impl EventWriter {
  pub(super) fn new(answer: &Answer) -> Self {
    Self {
      events: Vec::new(),
      framing: answer.framing,
      has_begun: false,
      raw: answer.head(),
    }
  }

  /// Puts bytes that are no answer before the answer, or in the place of the next chunk.
  pub(super) fn push_noise(&mut self, mut noise: Vec<u8>) {
    match self.has_begun {
      true => self.raw.append(&mut noise),
      false => {
        noise.append(&mut self.raw);
        self.raw = noise;
      }
    }
  }

  /// Writes an event, at times with the next.
  pub(super) async fn push(
    &mut self,
    event: &[u8],
    channel: &Channel,
    random: &mut ChaCha8Rng,
  ) -> io::Result<()> {
    self.events.extend_from_slice(event);
    if self.has_begun && random.random_range(0..JOINED_EVENTS) == 0 {
      return Ok(());
    }
    let events = std::mem::take(&mut self.events);
    self.write(&events, channel, random).await
  }

  /// Writes what is left, and the end of the framing.
  pub(super) async fn finish(
    &mut self,
    behind: &[u8],
    channel: &Channel,
    random: &mut ChaCha8Rng,
  ) -> io::Result<()> {
    let events = std::mem::take(&mut self.events);
    if random.random_range(0..2_u32) == 0 {
      self.write(&events, channel, random).await?;
    } else {
      let mut framed = self.framed(&events, random);
      self.raw.append(&mut framed);
    }
    if self.framing == Framing::Chunks {
      self.raw.extend_from_slice(LAST_CHUNK);
    }
    self.raw.extend_from_slice(behind);
    self.write(&[], channel, random).await
  }

  /// Writes what is left, and the beginning of an event.
  pub(super) async fn break_off(
    &mut self,
    event: &[u8],
    channel: &Channel,
    random: &mut ChaCha8Rng,
  ) -> io::Result<()> {
    let before = std::mem::take(&mut self.events);
    let mut framed = self.framed(&before, random);
    self.raw.append(&mut framed);
    let framed = self.framed(event, random);
    let length = random.random_range(1..framed.len());
    self.raw.extend_from_slice(&framed[..length]);
    self.write(&[], channel, random).await
  }

  fn framed(&self, events: &[u8], random: &mut ChaCha8Rng) -> Vec<u8> {
    match self.framing {
      Framing::Chunks => chunks(events, random),
      Framing::Connection | Framing::Length => events.to_vec(),
    }
  }

  async fn write(
    &mut self,
    events: &[u8],
    channel: &Channel,
    random: &mut ChaCha8Rng,
  ) -> io::Result<()> {
    let mut bytes = std::mem::take(&mut self.raw);
    bytes.extend(self.framed(events, random));
    self.has_begun = true;
    channel.write_split(&bytes, random).await
  }
}
