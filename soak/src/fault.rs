//! What a run makes misbehave, from outside the boxes.

use super::hall::Hall;

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
  /// Bytes come later.
  Delayed {
    /// By how much, each way.
    delay_ms: u64,
  },
  /// Nothing passes, and nothing is said.
  Blocked,
  /// Nothing passes towards the target.
  BlockedForward,
  /// Nothing passes back from the target.
  BlockedBack,
  /// All connections are reset at once; new ones pass.
  Reset,
}

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
  /// It answers 503.
  Down,
  /// It answers later.
  Slow {
    /// By how much.
    delay_ms: u64,
  },
  /// It carries out writes and does not answer them.
  DropsResponses,
  /// It forgets its history once.
  CompactsHistory,
  /// It is down, and on its return the endpoints' entries are missing for a while.
  LosesEntries,
  /// The leases that boxes hold are over at once.
  ExpiresLeases,
}

/// How an endpoint misbehaves while it is up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointFault {
  /// It runs requests and answers 500.
  Fails,
  /// It runs requests and closes the connection instead of answering.
  DropsResponses,
  /// It breaks answers off within.
  TruncatesResponses,
  /// It runs requests and never answers.
  Hangs,
  /// It says that it is full.
  Full,
  /// It answers with another request's id.
  WrongRequestId,
  /// It turns all away, and wants none for a while.
  Sheds,
  /// It begins its work late: much may change between a prompt and its answer.
  Slow,
}

/// One fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
  /// A box's process is killed and started again.
  BoxKilled {
    /// The box.
    index: usize,
    /// How long it is down.
    down_ms: u64,
  },
  /// A box is told to stop, and started again once it is gone.
  BoxStopped {
    /// The box.
    index: usize,
  },
  /// A box's process stands still.
  BoxPaused {
    /// The box.
    index: usize,
    /// For how long.
    for_ms: u64,
  },
  /// A box is told that its settings have changed.
  BoxReloaded {
    /// The box.
    index: usize,
  },
  /// The link between callers and a box.
  CallerLink {
    /// The box.
    index: usize,
    /// What is wrong.
    fault: LinkFault,
    /// For how long.
    for_ms: u64,
  },
  /// The link between a box and the store.
  StoreLink {
    /// The box.
    index: usize,
    /// What is wrong.
    fault: LinkFault,
    /// For how long.
    for_ms: u64,
  },
  /// The link between the boxes and an endpoint.
  EndpointLink {
    /// The endpoint's place.
    place: usize,
    /// What is wrong.
    fault: LinkFault,
    /// For how long.
    for_ms: u64,
  },
  /// The store.
  Store {
    /// What is wrong.
    fault: StoreFault,
    /// For how long.
    for_ms: u64,
  },
  /// An endpoint crashes, and a new incarnation comes at its address.
  EndpointCrashed {
    /// The endpoint's place.
    place: usize,
    /// How long it is down.
    down_ms: u64,
  },
  /// An endpoint leaves as planned, and a new incarnation comes at its address.
  EndpointLeaves {
    /// Its place.
    place: usize,
  },
  /// The same, but for the store's entry: its answers alone say so.
  EndpointLeavesUnlisted {
    /// The endpoint's place.
    place: usize,
  },
  /// An endpoint names a limit for all boxes together.
  EndpointLimited {
    /// Its place.
    place: usize,
    /// Requests a second.
    per_s: u32,
    /// For how long.
    for_ms: u64,
  },
  /// Operators drain a data hall.
  HallDrained {
    /// The hall.
    hall: Hall,
    /// For how long.
    for_ms: u64,
  },
  /// An endpoint misbehaves.
  Endpoint {
    /// The endpoint's place.
    place: usize,
    /// What is wrong.
    fault: EndpointFault,
    /// For how long.
    for_ms: u64,
  },
  /// Two endpoints crash, and each comes back at the other's address.
  AddressesSwapped {
    /// The one's place.
    place: usize,
    /// The other's.
    other: usize,
  },
  /// The operator changes the configuration.
  ConfigurationChanged,
}
