//! A gateway box: routes requests by host and path to endpoints, which come and go.
//!
//! `requests` reads a request, finds its [`Route`] and chooses endpoints from the [`EndpointRegistry`] within the retry budget
//! ([`RetryWindow`]); `stages` sends it over `connections`; the response is forwarded unchanged. `membership` keeps routes and
//! endpoints in sync with the store. The platform is accessed through [`PlatformCodec`] and [`Store`] only.
//!
//! The modules in order, each importing only those before it: `edge`, `decisions`, `settings`, `connections`, `state`,
//! `permits`, `stages`, then `limits` and `quarantine`, then `requests`, `roles` and `membership`, and `process`. A test enforces
//! this order.
//!
//! One thread serves everything, since a box has only a fraction of a core and little memory.

mod connections;
mod decisions;
mod edge;
mod limits;
mod membership;
mod permits;
mod process;
mod quarantine;
mod requests;
mod resumption;
mod roles;
mod settings;
mod stages;
mod state;

pub use self::{
  connections::remove_connection_headers,
  decisions::{
    AdvertisedLimit, AdvertisedLimits, AllowedHalls, AttemptOutcome, Availability, BandCounts,
    BandDemand, BandRequest, BoxEntry, BoxList, CachedPrompts, Choice, ColdEndpoints, ColdPeriod,
    CopyBudget, DemandBand, DemandBands, DemandReport, DrainedHalls, EndpointCounts,
    EndpointCriteria, EndpointGroup, EndpointIncarnation, EndpointLimits, EndpointRegistry,
    Fingerprint, GroupLost, HallDrainChange, ISOLATED_BOXES, LimitChange, LimitSource,
    LimitStrategy, LocalPermitVerdict, LocalPermits, LocalUsage, LocalVerdict, NoticeChange,
    NoticeTracker, OrganisationLoad, OrganisationLoads, PeakBoxCount, PeerAnswers, PeerList,
    PermitAccount, PermitRequest, PermitTable, PermitVerdict, QuarantineKey, QuarantineMark,
    QuarantineRegistry, QuarantineStrategy, QuarantineVerdict, QueuePosition, RECORD_COPIES,
    RankedVerdict, Reachability, RecentEngines, RecordSource, RecordedOrigin, ReportScope,
    RequestIdentity, RequestedUnits, RetryAllowance, RetryUsage, RetryWindow, RolePlan,
    SegmentIdentity, ServiceVersions, ShareState, ShareVerdict, SlotForecast, SlotQueue,
    SlotUrgency, SoundSegments, StreamKey, StreamOrigin, StreamRecords, TokenBucket, Unavailable,
    UsageRequest, UsageTable, UsageTotals, UsageVerdict, coordinator_limit, coordinator_order,
    isolated_limit, jittered_backoff_ms, plan_roles, record_holders, record_sources,
    retry_after_backoff_ms, stable_engines, store_retry_delay_ms,
  },
  edge::{
    CallerAttributes, CallerLimits, ColdStart, DecodeError, EndpointCall, EndpointEntry,
    EndpointNotice, EngineReport, EngineSpec, Export, LimitHeader, LoadHeader, Organisation,
    Organisations, PlatformCodec, PromptSegment, ProxyHeaders, ReadConsistency, RegionSet,
    ResponseAttributes, RoleChange, RoleLeadership, Route, RouteKind, RouteTable, ServiceSpec,
    SoftwareVersion, Stage, Store, StoreChanges, StoreError, StoreItem, StoreKey, StoreLease,
    StorePage, UnreadableNotice, UsageLimit, UsageUnit, WeightedService,
  },
  process::run_gateway,
  requests::{EventSplitter, SseEvent},
  settings::{
    Activation, EnginePriority, EngineSettings, GatewayBounds, GatewayIdentity, GatewayListen,
    GatewaySettings, LimitSettings, Mechanisms, PolicySettings, PrefillQueueSettings,
    QuarantineSettings, RoutePolicy, RouteRank, StoreSettings,
  },
  state::ChangeLog,
};
