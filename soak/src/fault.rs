//! The faults that a run injects from outside the boxes.

use super::hall::Hall;

/// A fault of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
  /// Adds latency.
  Delayed {
    /// Added latency in each direction.
    delay_ms: u64,
  },
  /// Drops all traffic without closing connections.
  Blocked,
  /// Blocks traffic towards the target.
  BlockedForward,
  /// Blocks traffic back from the target.
  BlockedBack,
  /// Resets all open connections; new ones work.
  Reset,
}

/// How a box is cut off from all endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointsCut {
  /// Open connections hang, and connection attempts get no answer.
  Hang,
  /// Open connections are reset, and connection attempts get no answer.
  Reset,
  /// Open connections live on, and connection attempts are refused.
  RefuseNew,
}

/// A fault of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
  /// Responds to all calls with 503.
  Down,
  /// Adds latency to all calls.
  Slow {
    /// Added latency.
    delay_ms: u64,
  },
  /// Applies writes and does not respond.
  DropsResponses,
  /// Compacts its history once, so that open watches must list again.
  CompactsHistory,
  /// Is down, and loses the endpoints' entries until they register again.
  LosesEntries,
  /// Expires all leases of the boxes at once.
  ExpiresLeases,
}

/// A fault of an endpoint that is up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointFault {
  /// Runs requests and responds with 500.
  Fails,
  /// Runs requests and closes the connection without a response.
  DropsResponses,
  /// Cuts responses in the middle.
  TruncatesResponses,
  /// Runs requests and never responds.
  Hangs,
  /// Reports that it is at capacity.
  Full,
  /// Responds with the id of another request.
  WrongRequestId,
  /// Rejects all requests with a retry-after delay.
  ShedsLoad,
  /// Starts its work late, so that much may change between prefill and decode.
  Slow,
}

/// The engines that fall silent together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilentEngines {
  /// One engine.
  One,
  /// All but a few engines.
  AllBut {
    /// Number of engines that go on.
    count: usize,
  },
  /// All engines.
  All,
}

impl SilentEngines {
  /// Number of silent engines of a number of engines.
  pub(crate) fn count(self, engines: usize) -> usize {
    match self {
      Self::One => 1,
      Self::AllBut { count } => engines.saturating_sub(count),
      Self::All => engines,
    }
  }
}

/// A fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
  /// A box's process is killed and restarted.
  BoxKilled {
    /// Index of the box.
    index: usize,
    /// Time until the restart.
    down_ms: u64,
  },
  /// The processes of all boxes are killed at once and restarted.
  AllBoxesKilled {
    /// Time until the restart.
    down_ms: u64,
  },
  /// All engines are replaced by engines of the other software version, in two groups. The entries of a group go before its
  /// engines end, so that after the second one only the new version is listed.
  Release {
    /// Interval between the entries of a group.
    gap_ms: u64,
  },
  /// A box receives the stop signal and is restarted after it exits.
  BoxStopped {
    /// Index of the box.
    index: usize,
  },
  /// A box's process is suspended.
  BoxPaused {
    /// Index of the box.
    index: usize,
    /// Duration.
    for_ms: u64,
  },
  /// A box receives the signal to reload its settings.
  BoxReloaded {
    /// Index of the box.
    index: usize,
  },
  /// A fault of the link between callers and a box.
  CallerLink {
    /// Index of the box.
    index: usize,
    /// The fault.
    fault: LinkFault,
    /// Duration.
    for_ms: u64,
  },
  /// A fault of the link between a box and the store.
  StoreLink {
    /// Index of the box.
    index: usize,
    /// The fault.
    fault: LinkFault,
    /// Duration.
    for_ms: u64,
  },
  /// A fault of the link between the boxes and an endpoint.
  EndpointLink {
    /// The endpoint's place.
    place: usize,
    /// The fault.
    fault: LinkFault,
    /// Duration.
    for_ms: u64,
  },
  /// A box is cut off from all endpoints.
  EndpointsCutOff {
    /// Index of the box.
    index: usize,
    /// How.
    cut: EndpointsCut,
    /// Duration.
    for_ms: u64,
  },
  /// A fault of the store.
  Store {
    /// The fault.
    fault: StoreFault,
    /// Duration.
    for_ms: u64,
  },
  /// An endpoint crashes, and a new incarnation starts at its address.
  EndpointCrashed {
    /// The endpoint's place.
    place: usize,
    /// Time until the restart.
    down_ms: u64,
  },
  /// An engine ends and starts again under its id with the other software version. Its store entry is updated later.
  EngineRestarted {
    /// Place from which on the first engine is taken.
    first: usize,
    /// Time until the restart.
    down_ms: u64,
    /// Time from the restart until the store entry is updated.
    stale_ms: u64,
  },
  /// An endpoint shuts down as planned, and a new incarnation starts at its address.
  EndpointLeaves {
    /// The endpoint's place.
    place: usize,
  },
  /// As `EndpointLeaves`, but signalled only in the endpoint's responses and not in its store entry.
  EndpointLeavesUnlisted {
    /// The endpoint's place.
    place: usize,
  },
  /// An endpoint advertises a limit for all boxes together.
  EndpointLimited {
    /// The endpoint's place.
    place: usize,
    /// Requests per second.
    per_s: u32,
    /// Duration.
    for_ms: u64,
  },
  /// Operators drain a data hall.
  HallDrained {
    /// The hall.
    hall: Hall,
    /// Duration.
    for_ms: u64,
  },
  /// Sound engines fall silent at the same moment, and then go on where they stopped.
  EnginesSilent {
    /// The engines, from `first` on.
    engines: SilentEngines,
    /// Place of the first engine.
    first: usize,
    /// Duration.
    for_ms: u64,
  },
  /// A fault of an endpoint that is up.
  Endpoint {
    /// The endpoint's place.
    place: usize,
    /// The fault.
    fault: EndpointFault,
    /// Duration.
    for_ms: u64,
  },
  /// Two endpoints crash, and each restarts at the other's address.
  AddressesSwapped {
    /// Place of the first endpoint.
    place: usize,
    /// Place of the second endpoint.
    other: usize,
  },
  /// The operator changes the configuration.
  ConfigurationChanged,
}
