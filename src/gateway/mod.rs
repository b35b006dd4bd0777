//! A gateway box: routes requests by host and path to endpoints, which come and go.
//!
//! `requests` reads a request, finds its [`Route`] and chooses endpoints from the [`EndpointRegistry`] within the retry budget
//! ([`RetryWindow`]); `stages` sends it over `connections`; the response is forwarded unchanged. `membership` keeps routes and
//! endpoints in sync with the store. The platform is accessed through [`PlatformCodec`] and [`Store`] only.
//!
//! The modules in order, each importing only those before it: `edge`, `decisions`, `settings`, `connections`, `state`,
//! `permits`, `stages`, then `limits`, `prefill_queue`, `quarantine`, `resumption` and `retries`, then `requests`, `roles` and `membership`, and `process`. A test enforces
//! this order.
//!
//! One thread serves everything, since a box has only a fraction of a core and little memory.

mod connections;
mod decisions;
mod edge;
mod limits;
mod membership;
mod permits;
mod prefill_queue;
mod process;
mod quarantine;
mod requests;
mod resumption;
mod retries;
mod roles;
mod settings;
mod stages;
mod state;

pub use self::{
  connections::remove_connection_headers,
  decisions::{
    AdvertisedLimit, AdvertisedLimits, AllowedHalls, AnswerEnd, AttemptOutcome, Availability,
    BandCounts, BandDemand, BandRequest, BegunStream, BoxEntry, BoxList, BucketWriters,
    CachedPrompts, CheckDenial, CheckedEnds, Choice, ColdEndpoints, ColdPeriod, ConnectionState,
    CopyBudget, DemandBand, DemandBands, DemandReport, Displacement, DrainedHalls, EarlyEnds,
    EndEvidence, EndVerdict, EndpointCounts, EndpointCriteria, EndpointGroup, EndpointIncarnation,
    EndpointLimits, EndpointProcesses, EndpointRegistry, EngineQueue, Fingerprint, GroupLost,
    GroupedEngine, HallDrainChange, HeldBytes, HeldKind, ISOLATED_BOXES, IdSteps, JoinedBoxes,
    LateReading, LimitChange, LimitSource, LimitStrategy, LoanAnswer, LocalPermitVerdict,
    LocalPermits, LocalUsage, LocalVerdict, LongestDeadlines, LostBoxes, MAX_SUSPECTS_IN_RECORD,
    Misdirected, NoiseBudget, NoticeChange, NoticeTracker, Numbering, ORIGIN_SEND_INTERVAL_MS,
    ORIGIN_WRITE_INTERVAL_MS, ObservedProcess, OrganisationLoad, OrganisationLoads, OriginBatch,
    OriginBucket, OriginOutbox, OriginWrite, OriginWriter, PeakBoxCount, PeerAnswers, PeerList,
    PermitAccount, PermitRequest, PermitTable, PermitVerdict, Place, PlaceId, PlaceOutcome,
    PlaceRequest, PrefillDirectory, PrefillGroup, PrefillOffer, PrefillQueue, QuarantineKey,
    QuarantineMark, QuarantineRegistry, QuarantineStrategy, QuarantineVerdict, QueuePosition,
    RECORD_COPIES, RankedVerdict, Reachability, RecentEngines, RecordChange, RecordMaker,
    RecordSource, RecordState, RecordedOrigin, ReportScope, ReportedEngineLoad, ReportedStart,
    RequestIdentity, RequestedUnits, ResponseTicket, RetryAllowance, RetryLenders, RetryNeed,
    RetryUsage, RetryWindow, ReturnSchedule, ReturningCaller, RolePlan, SegmentIdentity,
    ServiceVersion, ServiceVersions, ShareState, ShareVerdict, SlotForecast, SlotQueue, SlotSupply,
    SlotUrgency, SoundSegments, StoredOrigins, StoredStream, StrayAnswers, StreamHold, StreamIds,
    StreamKey, StreamOrigin, StreamRecords, SuspectChange, SuspectQueue, SuspectRecord,
    SuspectRecordKey, SuspectRecords, TakenLease, TokenBucket, Unavailable, UnreadTime,
    UsageRequest, UsageTable, UsageTotals, UsageVerdict, VersionEvidence, VersionIdSteps,
    VersionRecord, VersionRecords, WatchedProcess, asked_by_all_halls, asks_other_halls,
    best_prefill_offer, coordinator_limit, coordinator_order, extra_transfer_ms, isolated_limit,
    jittered_backoff_ms, last_known_order, plan_roles, prefill_shard, prefill_shard_count,
    record_holders, record_sources, registration_delay_ms, renewal_retry_ms,
    retry_after_backoff_ms, share_over, stable_engines, store_retry_delay_ms, unlisted_limit,
  },
  edge::{
    CallerAttributes, CallerLimits, ColdStart, DecodeError, EndpointCall, EndpointEntry,
    EndpointNotice, EngineReport, EngineSpec, Export, LimitHeader, LoadHeader, Organisation,
    Organisations, PlatformCodec, PromptSegment, ProxyHeaders, ReadConsistency, RegionSet,
    ResponseAttributes, RoleChange, RoleLeadership, Route, RouteKind, RouteTable, RunReport,
    ServiceSpec, SoftwareVersion, Stage, Store, StoreChanges, StoreError, StoreItem, StoreKey,
    StoreLease, StorePage, UnreadableNotice, UsageLimit, UsageUnit, WeightedService,
  },
  process::run_gateway,
  requests::{EventSplitter, SseEvent},
  settings::{
    Activation, EndpointSettings, EnginePriority, EngineSettings, GatewayBounds, GatewayIdentity,
    GatewayListen, GatewaySettings, LimitSettings, Mechanisms, MemorySettings, PolicySettings,
    PrefillQueueSettings, QuarantineSettings, RoutePolicy, RouteRank, StoreSettings,
  },
  state::ChangeLog,
};
