//! Why an endpoint gets no requests.

/// Why an endpoint gets no requests.
///
/// ```
/// use rillford::gateway::Unavailable;
/// let backing_off = Unavailable::BackingOff { requested_ago_ms: 200, remaining_ms: 2_800 };
/// assert_eq!(backing_off.to_string(), "endpoint backs off for another 2800 ms, as requested 200 ms ago");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Unavailable {
  /// The incarnation is no longer listed in the store.
  #[error("endpoint is no longer listed")]
  Unlisted,
  /// It reports another start than the listed one.
  #[error("endpoint has restarted since it was listed")]
  Restarted,
  /// It is listed with its start, but reports none.
  #[error("endpoint does not report its start")]
  Unconfirmed,
  /// It may have restarted with another version since it was listed.
  #[error("version of the endpoint's process is not known")]
  VersionUnknown,
  /// The store has no record of its version under which the stream may begin.
  #[error("version of the endpoint is not recorded in the store")]
  VersionUnrecorded,
  /// Another endpoint has its address.
  #[error("another endpoint has its address")]
  Displaced,
  /// Its hall is drained.
  #[error("data hall is drained")]
  HallDrained,
  /// It leaves, as listed in the store.
  #[error("endpoint is listed as leaving")]
  ListedAsLeaving,
  /// It leaves, as signalled by itself.
  #[error("endpoint signalled {signalled_ago_ms} ms ago that it leaves")]
  Leaving {
    /// Time since it last signalled that.
    signalled_ago_ms: u64,
  },
  /// It asked for a backoff.
  #[error(
    "endpoint backs off for another {remaining_ms} ms, as requested {requested_ago_ms} ms ago"
  )]
  BackingOff {
    /// Time since it asked.
    requested_ago_ms: u64,
    /// Remaining time.
    remaining_ms: u64,
  },
  /// No permit is available within its limit over all boxes.
  #[error("no permit within the endpoint's limit for another {remaining_ms} ms")]
  NoPermit {
    /// Remaining time.
    remaining_ms: u64,
  },
}
