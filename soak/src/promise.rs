//! The promises of the users' pages.

/// A promise to the users.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
  /// What may not be repeated runs once at most.
  RunsOnce,
  /// "Not run" is true.
  NotRunIsTrue,
  /// A caller gets its own answer, whole, or sees that it is not.
  OwnWholeAnswer,
  /// No request goes to more endpoints than its route allows.
  Attempts,
  /// No endpoint runs what nobody asked for, or goes on from another request's prompt.
  OnlyWhatWasAsked,
  /// Each request is ended within its deadline.
  Ended,
  /// Endpoints stop soon after a caller has left.
  Freed,
  /// Endpoints that leave get nothing new.
  Drained,
  /// An endpoint that has told a box that it leaves gets nothing new from it, whatever the store says.
  OwnWordOfLeaving,
  /// An endpoint that wants no requests of a box for a while gets next to none.
  PauseKept,
  /// Boxes together send a cold endpoint no more than it carries.
  ColdRateKept,
  /// A data hall that operators drain gets nothing new.
  HallDrained,
  /// An endpoint that names a limit for all boxes gets no more of them together.
  EndpointLimitKept,
  /// Configurations are in force in time.
  Configured,
  /// Configurations never go back.
  NeverBack,
  /// A planned stop cuts no request.
  StopCutsNothing,
  /// Engines hold nothing once the traffic has ended.
  NothingHeld,
  /// Callers are served again after all faults.
  Recovered,
  /// Endpoints are told the organisation that holds the caller's key.
  Named,
  /// Keys that are held are served, those that were taken away are not, and none is shown to an endpoint.
  KeysKept,
  /// No organisation is served beyond its limit.
  LimitKept,
  /// A request that has ended three engines is sent to few more.
  FewCrashes,
  /// Role orders of different boxes never pass each other.
  OneSteward,
}
