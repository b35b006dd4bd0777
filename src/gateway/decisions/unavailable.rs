//! Why an endpoint is sent nothing now.

/// Why an endpoint is sent nothing now, and by whose word.
///
/// ```
/// use rillford::gateway::Unavailable;
/// let pausing = Unavailable::BackingOff { requested_ago_ms: 200, remaining_ms: 2_800 };
/// assert_eq!(pausing.to_string(), "it wants no work for 2800 ms more, as it said 200 ms ago");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Unavailable {
  /// The store lists it no more.
  #[error("its entry has gone")]
  Unlisted,
  /// Operators drain its hall.
  #[error("its hall is drained")]
  HallDrained,
  /// It leaves, by the store's list.
  #[error("it leaves, as the store lists it")]
  ListedAsLeaving,
  /// It leaves, by its own word.
  #[error("it leaves, as it said {signalled_ago_ms} ms ago")]
  Leaving {
    /// How long ago it last said so.
    signalled_ago_ms: u64,
  },
  /// It wants no work for now.
  #[error("it wants no work for {remaining_ms} ms more, as it said {requested_ago_ms} ms ago")]
  BackingOff {
    /// How long ago it said so.
    requested_ago_ms: u64,
    /// How long that holds.
    remaining_ms: u64,
  },
  /// It takes so many requests a second of all boxes together, and these are there.
  #[error("there is no permit within its limit for {remaining_ms} ms more")]
  NoPermit {
    /// How long that holds.
    remaining_ms: u64,
  },
}
