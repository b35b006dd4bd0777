//! How many bytes a box holds for callers and endpoints, and what may be added to them.
//!
//! Load pattern: callers and endpoints that read slowly, so that request bodies, buffered responses and streams accumulate until
//! the box runs out of memory. The bound is a share of the box's memory, and the verdicts have increasing shares of the bound:
//! streams are read ahead first to stop, then new requests are rejected, and the rest is for responses to requests that were
//! accepted before, which wait for room instead of being lost.

use std::collections::BTreeSet;

/// Bytes of a megabyte in the settings.
const MB: f64 = 1_000_000.0;
/// Fraction of the box's memory that may be held: the process takes up to 50 MB without these bytes, and the smallest box has 64.
const BOUND_SHARE: f64 = 0.2;
/// Fraction of the bound up to which streams are read ahead: they alone never cause a rejection.
const READ_AHEAD_SHARE: f64 = 0.5;
/// Fraction of the bound up to which requests are accepted: the rest has room for the longest response in the smallest box.
const ACCEPT_SHARE: f64 = 0.7;
/// Bytes up to which one stream is read ahead: most streams fit in as a whole, and hundreds of them in the smallest box.
const STREAM_BYTES: u64 = 64 * 1024;
/// Bytes of a response that never wait: to make such a short response wait costs more than it holds.
const SMALL_RESPONSE_BYTES: u64 = 4 * 1024;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeldKind {
  /// Bodies of requests, until the request is done.
  RequestBodies,
  /// Buffered responses, until they are written to the caller.
  Responses,
  /// Events of streams that were read before the caller's connection took them.
  StreamsAhead,
}

impl HeldKind {
  /// All kinds.
  pub const ALL: [Self; 3] = [Self::RequestBodies, Self::Responses, Self::StreamsAhead];

  /// The kind's name in metrics.
  pub fn name(self) -> &'static str {
    match self {
      Self::RequestBodies => "request_bodies",
      Self::Responses => "responses",
      Self::StreamsAhead => "streams_ahead",
    }
  }
}

/// Identifies a response that is being buffered; earlier responses have smaller tickets.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ResponseTicket(u64);

/// The bytes that a box holds, and their bound.
///
/// A response of a known length gets room for all of it before it is read, in order of arrival, so that responses that were
/// begun always complete. One of an unknown length gets room in steps. If several of them wait for each other's room, one at a
/// time may exceed the bound, by one response at most.
///
/// ```
/// use rillford::gateway::{HeldBytes, HeldKind};
/// let mut held = HeldBytes::new(Some(100.0));
/// assert_eq!(held.bound_bytes(), Some(20_000_000));
/// assert!(held.accepts_request(65_536));
/// held.add(HeldKind::Responses, 14_000_000);
/// assert!(!held.accepts_request(65_536));
/// held.remove(HeldKind::Responses, 14_000_000);
/// assert!(held.accepts_request(65_536));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HeldBytes {
  bound: Option<u64>,
  by_kind: [u64; HeldKind::ALL.len()],
  next_ticket: u64,
  /// The responses that wait to be begun.
  waiting: BTreeSet<ResponseTicket>,
  /// The response that may exceed the bound.
  over_bound: Option<ResponseTicket>,
}

impl HeldBytes {
  /// Nothing held yet, in a box with this much memory; without it there is no bound.
  pub fn new(box_mb: Option<f64>) -> Self {
    Self {
      bound: box_mb.map(|box_mb| (box_mb * MB * BOUND_SHARE) as u64),
      ..Self::default()
    }
  }

  /// The bound.
  pub fn bound_bytes(&self) -> Option<u64> {
    self.bound
  }

  /// Bytes held of one kind.
  pub fn held_bytes(&self, kind: HeldKind) -> u64 {
    self.by_kind[kind as usize]
  }

  /// Bytes held of all kinds.
  pub fn total_bytes(&self) -> u64 {
    self.by_kind.iter().sum()
  }

  /// Adds bytes that are held from now on.
  pub fn add(&mut self, kind: HeldKind, bytes: u64) {
    self.by_kind[kind as usize] += bytes;
  }

  /// Removes bytes that were written out or dropped.
  pub fn remove(&mut self, kind: HeldKind, bytes: u64) {
    let held = &mut self.by_kind[kind as usize];
    *held = held.saturating_sub(bytes);
  }

  /// Whether a request with a body of this length may be accepted.
  pub fn accepts_request(&self, body_bytes: u64) -> bool {
    self.fits(body_bytes, ACCEPT_SHARE)
  }

  /// Whether more of a stream may be read, of which `ahead_bytes` wait for the caller.
  pub fn may_read_ahead(&self, ahead_bytes: u64) -> bool {
    ahead_bytes < STREAM_BYTES && self.fits(0, READ_AHEAD_SHARE)
  }

  /// A ticket for a response that is about to be buffered.
  pub fn issue_ticket(&mut self) -> ResponseTicket {
    self.next_ticket += 1;
    ResponseTicket(self.next_ticket)
  }

  /// Adds the bytes of a response of which nothing is held yet, if there is room; otherwise it waits for its turn.
  pub fn begin_response(&mut self, ticket: ResponseTicket, bytes: u64) -> bool {
    let is_first = self.waiting.first().is_none_or(|first| ticket <= *first);
    if bytes > SMALL_RESPONSE_BYTES && !(is_first && self.fits(bytes, 1.0)) {
      self.waiting.insert(ticket);
      return false;
    }
    self.waiting.remove(&ticket);
    self.add(HeldKind::Responses, bytes);
    true
  }

  /// Adds further bytes of a response that is partly held, if there is room or it is the one that may exceed the bound.
  pub fn continue_response(&mut self, ticket: ResponseTicket, bytes: u64) -> bool {
    if !self.fits(bytes, 1.0) {
      let is_free = self.over_bound.is_none() && self.fits(0, 1.0);
      if self.over_bound != Some(ticket) && !is_free {
        return false;
      }
      self.over_bound = Some(ticket);
    }
    self.add(HeldKind::Responses, bytes);
    true
  }

  /// A response was read to its end, or its reading was given up.
  pub fn end_response(&mut self, ticket: ResponseTicket) {
    self.waiting.remove(&ticket);
    if self.over_bound == Some(ticket) {
      self.over_bound = None;
    }
  }

  /// The number of responses that wait to be begun.
  pub fn waiting_responses(&self) -> usize {
    self.waiting.len()
  }

  /// Whether this many more bytes stay within a share of the bound.
  fn fits(&self, bytes: u64, share: f64) -> bool {
    self
      .bound
      .is_none_or(|bound| self.total_bytes() + bytes <= (bound as f64 * share) as u64)
  }
}
