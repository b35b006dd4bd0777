//! The promises of the users' pages.

/// A promise to the users.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
  /// What may not be repeated runs once at most.
  RunsOnce,
  /// "Not run" is true.
  NotRunIsTrue,
  /// A caller gets its own answer, whole, or sees that it is not.
  OwnCompleteResponse,
  /// No request goes to more endpoints than its route allows.
  AttemptLimit,
  /// No endpoint runs what nobody asked for, or goes on from another request's prompt.
  OnlyRequestedWork,
  /// Each request is ended within its deadline.
  DeadlineKept,
  /// Endpoints stop soon after a caller has left.
  StopsAfterDisconnect,
  /// Endpoints that leave get nothing new.
  Drained,
  /// An endpoint that has told a box that it leaves gets nothing new from it, whatever the store says.
  LeavingSignalHonoured,
  /// An endpoint that wants no requests of a box for a while gets next to none.
  BackoffHonoured,
  /// Boxes together send a cold endpoint no more than it carries.
  ColdRateHonoured,
  /// A data hall that operators drain gets nothing new.
  HallDrained,
  /// An endpoint that names a limit for all boxes gets no more of them together.
  EndpointLimitHonoured,
  /// Configurations are in force in time.
  ConfigurationInTime,
  /// Configurations never go back.
  ConfigurationMonotonic,
  /// A planned stop cuts no request.
  GracefulStop,
  /// Engines hold nothing once the traffic has ended.
  ResourcesReleased,
  /// Callers are served again after all faults.
  Recovered,
  /// Endpoints are told the organisation that holds the caller's key.
  OrganisationNamed,
  /// Keys that are held are served, those that were taken away are not, and none is shown to an endpoint.
  KeysHonoured,
  /// No organisation is served beyond its limit.
  QuotaLimitHonoured,
  /// A request that has ended three engines is sent to few more.
  QuarantineHonoured,
  /// Role orders of different boxes never pass each other.
  SingleRoleLeader,
}
