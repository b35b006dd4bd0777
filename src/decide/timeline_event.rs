//! Numbered events; docs/EVENTS.md is the catalogue.

use {
  serde::{Deserialize, Serialize},
  std::sync::Arc,
};

macro_rules! event_kinds {
  ($($(#[$meta:meta])* $name:ident = $number:literal, $text:literal;)*) => {
    /// The kinds of event.
    #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
    pub enum EventKind { $($(#[$meta])* #[doc = $text] $name,)* }

    impl EventKind {
      /// All kinds, by number.
      pub const ALL: &[Self] = &[$(Self::$name),*];

      /// The event's number.
      pub fn number(self) -> u16 {
        match self { $(Self::$name => $number),* }
      }

      /// What the event means.
      pub fn text(self) -> &'static str {
        match self { $(Self::$name => $text),* }
      }
    }
  };
}

event_kinds! {
  BoxStarted = 100, "box started";
  BoxReady = 101, "box has a configuration and takes requests";
  StopBegan = 102, "planned stop began";
  BoxStopped = 103, "box stopped";
  ClockJumped = 104, "own clock jumped; suspecting self first";
  RequestArrived = 200, "request arrived";
  RequestAnswered = 201, "request answered whole";
  RequestNotRun = 202, "request told not run";
  RequestUnknown = 203, "request told unknown";
  RequestAbandoned = 204, "caller left";
  PolicyFailed = 210, "policy failed; last good answer used";
  ClaimHeld = 220, "claim held";
  ClaimTaken = 221, "claim taken by another";
  ClaimUnavailable = 222, "claim could not be settled";
  ClaimReleased = 223, "claim released on proof of not run";
  SeatGranted = 300, "seat reserved";
  SeatRefused = 301, "seat refused";
  PrefillOrdered = 310, "prefill ordered";
  PrefillDone = 311, "prefill done";
  PrefillWasted = 312, "prefill result never used";
  TransferOrdered = 320, "transfer ordered";
  TransferDone = 321, "transfer done";
  DecodeOrdered = 330, "decode ordered";
  FirstChunk = 331, "first chunk came";
  DecodeResumed = 332, "decode resumed at an offset";
  ServiceCalled = 340, "plain service called";
  OrderFailed = 350, "order failed";
  RetryDenied = 351, "retry denied by the budget";
  CancelSent = 360, "cancel sent";
  CancelSettled = 361, "cancel acknowledged";
  OrphanSwept = 370, "attempt of a lost box cancelled by the engine's home";
  HoldLost = 371, "own hold could not be extended; attempt given up";
  EndpointLive = 400, "endpoint live";
  EndpointSuspect = 401, "endpoint silent; no new work";
  EndpointLeaving = 402, "endpoint leaving; no new work";
  EndpointReturned = 403, "endpoint back with a new incarnation";
  PeerLive = 410, "peer live";
  PeerLost = 411, "peer lost";
  ConfigurationApplied = 420, "configuration applied";
  ConfigurationRefused = 421, "configuration document refused";
  StewardTaken = 430, "steward lease held";
  StewardLost = 431, "steward lease lost";
  RoleOrdered = 432, "role change ordered";
  PlatformDown = 440, "platform's service does not answer";
  PlatformUp = 441, "platform's service answers again";
}

/// One event, before the time line stamps it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimelineEvent {
  /// Its kind.
  pub kind: EventKind,
  /// What it is about: a request, an attempt, an endpoint or a box.
  pub subject: Arc<str>,
  /// A short detail, possibly empty.
  pub detail: Arc<str>,
}

impl TimelineEvent {
  /// Makes an event.
  ///
  /// ```
  /// use rillford::decide::{TimelineEvent, EventKind};
  /// let event = TimelineEvent::new(EventKind::PeerLost, "north-2", "");
  /// assert_eq!(event.kind.number(), 411);
  /// ```
  pub fn new(kind: EventKind, subject: impl Into<Arc<str>>, detail: impl Into<Arc<str>>) -> Self {
    Self {
      detail: detail.into(),
      kind,
      subject: subject.into(),
    }
  }
}
