//! Whether another endpoint answers at the address of an endpoint that is still listed.

/// Time after which an endpoint whose entry has not changed is tried again: it may have rejected a request for another reason.
const MAX_DISPLACEMENT_MS: u64 = 30_000;
/// Time after which an engine that goes on rejecting requests is checked again.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Whether another endpoint answers at an endpoint's address.
///
/// A request that names its endpoint is rejected as misdirected by any other one. Engines also reject requests for another role like
/// this, so only their rejection of a call that any role answers confirms it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Displacement {
  /// Nothing indicates it.
  #[default]
  None,
  /// A request was rejected as misdirected.
  Suspected,
  /// A check did not confirm it.
  Unconfirmed {
    /// When the check ended.
    at_ms: u64,
  },
  /// Another endpoint answers there: nothing is sent until the entry changes.
  Confirmed {
    /// When it was confirmed.
    at_ms: u64,
  },
}

impl Displacement {
  /// Whether the endpoint gets nothing.
  ///
  /// ```
  /// use rillford::gateway::Displacement;
  /// let displacement = Displacement::Confirmed { at_ms: 1_000 };
  /// assert!(displacement.is_in_force(2_000));
  /// assert!(!displacement.is_in_force(61_000));
  /// ```
  pub fn is_in_force(self, now_ms: u64) -> bool {
    match self {
      Self::None | Self::Suspected | Self::Unconfirmed { .. } => false,
      Self::Confirmed { at_ms } => now_ms < at_ms + MAX_DISPLACEMENT_MS,
    }
  }

  /// Whether it was checked so recently that a further rejection does not lead to another check.
  ///
  /// ```
  /// use rillford::gateway::Displacement;
  /// let displacement = Displacement::Unconfirmed { at_ms: 1_000 };
  /// assert!(displacement.was_just_checked(1_500));
  /// assert!(!displacement.was_just_checked(2_000));
  /// ```
  pub fn was_just_checked(self, now_ms: u64) -> bool {
    match self {
      Self::None | Self::Suspected | Self::Confirmed { .. } => false,
      Self::Unconfirmed { at_ms } => now_ms < at_ms + CHECK_INTERVAL_MS,
    }
  }
}

/// What was rejected as misdirected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Misdirected {
  /// The call for an engine's report, which an engine answers in any role.
  Report,
  /// A request to a plain service, whose endpoints have no roles, whatever their entries state.
  PlainService,
  /// Any other call, or a request.
  Other,
}
