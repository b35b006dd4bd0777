//! The numbered events of the timeline; docs/EVENTS.md lists them.

use {
  serde::{Deserialize, Serialize},
  std::sync::Arc,
};

macro_rules! event_kinds {
  ($($(#[$meta:meta])* $name:ident = $number:literal, $text:literal;)*) => {
    #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
    pub enum EventKind { $($(#[$meta])* #[doc = $text] $name,)* }

    impl EventKind {
      /// All kinds, sorted by number.
      pub const ALL: &[Self] = &[$(Self::$name),*];

      pub fn number(self) -> u16 {
        match self { $(Self::$name => $number),* }
      }

      /// Description of the event.
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
  ClockJumped = 104, "clock jumped; the box was probably paused";
  RequestArrived = 200, "request arrived";
  RequestAnswered = 201, "request answered in full";
  RequestNotRun = 202, "request reported as not run";
  RequestUnknown = 203, "request reported as unknown";
  RequestAbandoned = 204, "caller disconnected";
  PolicyFailed = 210, "policy failed; last valid result used";
  ClaimHeld = 220, "claim held";
  ClaimTaken = 221, "claim held by another request";
  ClaimUnavailable = 222, "claim could not be confirmed";
  ClaimReleased = 223, "claim released after proof that nothing ran";
  SeatGranted = 300, "slot reserved";
  SeatRefused = 301, "slot request rejected";
  PrefillOrdered = 310, "prefill command sent";
  PrefillDone = 311, "prefill done";
  PrefillWasted = 312, "prefill result not used";
  TransferOrdered = 320, "transfer command sent";
  TransferDone = 321, "transfer done";
  DecodeOrdered = 330, "decode command sent";
  FirstChunk = 331, "first chunk received";
  DecodeResumed = 332, "decode resumed at an offset";
  ServiceCalled = 340, "plain service called";
  OrderFailed = 350, "command failed";
  RetryDenied = 351, "retry denied by the retry budget";
  CancelSent = 360, "cancel sent";
  CancelSettled = 361, "cancel acknowledged";
  OrphanSwept = 370, "attempt of a lost box cancelled by the engine's owner";
  HoldLost = 371, "hold could not be extended; attempt aborted";
  EndpointLive = 400, "endpoint live";
  EndpointSuspect = 401, "endpoint not responding; no new work";
  EndpointLeaving = 402, "endpoint leaving; no new work";
  EndpointReturned = 403, "endpoint returned with a new incarnation";
  PeerLive = 410, "peer live";
  PeerLost = 411, "peer lost";
  ConfigurationApplied = 420, "configuration applied";
  ConfigurationRefused = 421, "configuration document rejected";
  StewardTaken = 430, "role leader lease acquired";
  StewardLost = 431, "role leader lease lost";
  RoleOrdered = 432, "role change command sent";
  PlatformDown = 440, "store unreachable";
  PlatformUp = 441, "store reachable again";
}

/// An event of the timeline, without its timestamp.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimelineEvent {
  pub kind: EventKind,
  /// Name of the request, attempt, endpoint, document or box.
  pub subject: Arc<str>,
  /// Further detail; may be empty.
  pub detail: Arc<str>,
}

impl TimelineEvent {
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
