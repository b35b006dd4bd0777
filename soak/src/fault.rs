//! The faults that a run injects from outside the boxes.

use {
  super::{connection::Connection, hall::Hall, stray_response::Stray},
  stand_ins::{Cut, LinkFault},
};

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

/// How an endpoint closes a connection in the middle of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Close {
  /// In order.
  Fin,
  /// By a reset.
  Reset,
}

impl Close {
  /// The connection is about to end.
  pub(crate) fn begin(self, connection: &Connection) {
    match self {
      Self::Fin => {}
      Self::Reset => connection.reset(),
    }
  }
}

/// Responses that a sound endpoint loses, streams within an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Losses {
  /// Share of the responses.
  pub percent: u8,
  /// How the connection ends.
  pub close: Close,
}

impl Losses {
  pub(crate) fn share(self) -> f64 {
    f64::from(self.percent) / 100.0
  }
}

/// Stray bytes that an endpoint sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Strays {
  /// Share of the responses with which they come.
  pub percent: u8,
  /// What is sent.
  pub stray: Stray,
}

impl Strays {
  pub(crate) fn share(self) -> f64 {
    f64::from(self.percent) / 100.0
  }
}

/// What callers do otherwise for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerHabit {
  /// A fifth of them leave before the first event.
  GiveUp,
  /// They repeat a request that failed, at once.
  RepeatAtOnce,
  /// They send twice as often.
  Burst,
}

/// How an engine ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineEnd {
  /// It crashes; its store entry remains for a while.
  Crash,
  /// It shuts down as planned; its store entry goes with it.
  Planned,
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
  /// All boxes lose their power at once and are started again. Until then their connections stay open and silent.
  PowerLost {
    /// Time until the restart.
    down_ms: u64,
  },
  /// All engines are replaced by engines of the other software version, in two groups. The entries of a group go before its
  /// engines end, so that after the second one only the new version is listed.
  Release {
    /// Interval between the entries of a group.
    gap_ms: u64,
  },
  /// Engines are replaced one after another by engines of the other software version and other ids. Each replacement starts
  /// before its engine begins to leave. Every third entry goes instead of saying that its engine leaves, and every fourth
  /// engine serves on for three times as long.
  RollingRelease {
    /// Place from which on engines are taken.
    first: usize,
    /// Share of the engines.
    percent: u8,
    /// Interval between the replacements.
    gap_ms: u64,
    /// Time that an engine serves on.
    drain_ms: u64,
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
    cut: Cut,
    /// Duration.
    for_ms: u64,
  },
  /// A box is cut from all other boxes.
  BoxesCutOff {
    /// Index of the box.
    index: usize,
    /// How.
    cut: Cut,
    /// Duration.
    for_ms: u64,
  },
  /// A hall is cut from the others: their boxes from its endpoints and boxes, and its boxes from theirs and from the store.
  HallsCut {
    /// The hall.
    hall: Hall,
    /// How.
    cut: Cut,
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
  /// Engines crash at the same moment, and new incarnations start at their addresses.
  EnginesCrashed {
    /// Number of engines.
    count: usize,
    /// Place from which on they are taken.
    first: usize,
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
  /// Endpoints lose a share of their responses.
  ResponsesLost {
    /// Place of the first endpoint.
    first: usize,
    /// Number of endpoints.
    count: usize,
    /// What they lose.
    losses: Losses,
    /// Duration.
    for_ms: u64,
  },
  /// Endpoints send stray bytes with a share of their responses.
  StraySent {
    /// Place of the first endpoint.
    first: usize,
    /// Number of endpoints.
    count: usize,
    /// What they send.
    strays: Strays,
    /// Duration.
    for_ms: u64,
  },
  /// Endpoints garble a share of their answers, each in a way of its own.
  AnswersGarbled {
    /// Place of the first endpoint.
    first: usize,
    /// Number of endpoints.
    count: usize,
    /// Share of the answers.
    percent: u8,
    /// Duration.
    for_ms: u64,
  },
  /// An engine leaves as planned, and its place stays empty for a while.
  EngineRemoved {
    /// Place from which on the first engine is taken.
    first: usize,
    /// Duration.
    for_ms: u64,
  },
  /// Exported prompts expire soon.
  PromptsShort {
    /// Duration.
    for_ms: u64,
  },
  /// A box's process runs for a small share of the time.
  BoxSlowed {
    /// Index of the box.
    index: usize,
    /// Duration.
    for_ms: u64,
  },
  /// The boxes of a hall are cut off from the store and from the endpoints of other halls.
  HallCutOff {
    /// The hall.
    hall: Hall,
    /// How.
    fault: LinkFault,
    /// Duration.
    for_ms: u64,
  },
  /// Callers change their habits.
  CallersChange {
    /// What they do.
    habit: CallerHabit,
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
  /// An engine ends, and its address is given to an endpoint of the plain service, which boxes may not know yet. Later an engine
  /// takes the address of an endpoint of the plain service in the same way.
  AddressReused {
    /// Place from which on the first engine is taken.
    first: usize,
    /// How the engine ends.
    end: EngineEnd,
    /// Time from an endpoint's end until its address is in use again.
    down_ms: u64,
    /// Time from then until the store entry of a crashed endpoint is removed.
    stale_ms: u64,
    /// Time until an engine takes an address of the plain service.
    for_ms: u64,
  },
  /// The operator changes the configuration.
  ConfigurationChanged,
  /// The operator writes a configuration with many more routes, which later ones keep.
  ConfigurationGrown {
    /// Number of additional routes.
    routes: usize,
  },
  /// Callers of a hall go to boxes of the next one.
  CallersShifted {
    /// The callers' hall.
    hall: Hall,
    /// Duration.
    for_ms: u64,
  },
  /// A box's process is killed for good, and another box comes in its hall, under another name and at other addresses.
  BoxReplaced {
    /// Index of the box, which the other one takes over.
    index: usize,
    /// Time until the other one starts.
    down_ms: u64,
  },
  /// Prompts move to decode engines slowly.
  MovesSlow {
    /// Duration.
    for_ms: u64,
  },
  /// Engines do not answer role orders, and act on them later.
  OrdersLate {
    /// Place of the first endpoint.
    first: usize,
    /// Number of endpoints.
    count: usize,
    /// Time from an order to its effect.
    delay_ms: u64,
    /// Duration.
    for_ms: u64,
  },
}

impl Fault {
  /// Whether boxes are cut from each other.
  pub(crate) fn cuts_boxes_from_each_other(self) -> bool {
    matches!(self, Self::BoxesCutOff { .. } | Self::HallsCut { .. })
  }
}
