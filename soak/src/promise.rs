//! The promises that a run checks.

/// A promise of the gateway to its users.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
  /// A request that must not be retried runs at most once.
  RunsOnce,
  /// A request rejected as not run did not run.
  NotRunIsTrue,
  /// A caller receives the complete response to its own request, or can tell that it is incomplete.
  OwnCompleteResponse,
  /// A caller receives each event of a stream up to the last one that it has, over all its requests for the stream.
  NoEventMissing,
  /// A caller receives no event of a stream twice, over all its requests for the stream.
  EachEventOnce,
  /// The ids of a stream's events never go back, over all requests of its caller.
  EventsInOrder,
  /// The events of a response are written by runs of its own request, and by one run if the stream may not be resumed.
  OneRun,
  /// A stream that ends as complete has its last event.
  EndIsComplete,
  /// A stream holds events of one software version only, over all requests of its caller.
  OneVersion,
  /// Streams that callers resume go on at least half as often as new ones begin, while engines of their version serve.
  ResumedStreamsGoOn,
  /// No request is sent to more endpoints than its route allows.
  AttemptLimit,
  /// No endpoint runs, or reads the prompt of, a request that no caller sent with this method, path and body to its service. None
  /// decodes from another request's prompt.
  OnlyRequestedWork,
  /// Each request ends within its deadline.
  DeadlineKept,
  /// A stream is neither cut nor ended with an error while an engine that has it is sound, even if that engine is silent for
  /// a while: it goes on there, unless another engine has continued it.
  SilentEngineKeepsItsStreams,
  /// Endpoints stop work soon after the caller disconnects.
  StopsAfterDisconnect,
  /// Draining endpoints receive no new requests.
  Drained,
  /// An endpoint that signalled to a box that it is leaving receives no new requests from it, whatever its store entry says.
  LeavingSignalHonoured,
  /// An endpoint that asked a box to back off receives next to no requests from it meanwhile.
  BackoffHonoured,
  /// The boxes together do not exceed the rate of a cold endpoint.
  ColdRateHonoured,
  /// A drained data hall receives no new requests.
  HallDrained,
  /// The boxes together do not exceed the limit that an endpoint advertises.
  EndpointLimitHonoured,
  /// Configurations are applied in time.
  ConfigurationInTime,
  /// No box reverts to an older configuration, after a restart either.
  ConfigurationMonotonic,
  /// A planned stop of a box cuts no request.
  GracefulStop,
  /// Engines hold no resources after the traffic has ended.
  ResourcesReleased,
  /// Callers are served again after all faults.
  Recovered,
  /// Callers of boxes that are cut off from all endpoints are served nearly as often as those of the others.
  ServedWhileCutOff,
  /// Endpoints receive the name of the organisation that holds the caller's key.
  OrganisationNamed,
  /// Valid keys are accepted, revoked ones are rejected, and no key is sent to an endpoint.
  KeysHonoured,
  /// No organisation exceeds its limit.
  QuotaLimitHonoured,
  /// A request that crashed three engines is sent to few more.
  QuarantineHonoured,
  /// Role commands of an older leader never reach an engine after those of a newer one.
  SingleRoleLeader,
}
