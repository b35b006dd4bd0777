//! A box that routes requests by host and path to endpoints that come and go.
//!
//! A request's way: [`front`](requests) reads it and finds its [`Route`], `requests` choose endpoints from the
//! [`EndpointRegistry`] within the [`RetryWindow`], `parts` send it over `connections`, and the answer goes back unchanged.
//! `membership` keeps routes and endpoints as the store has them. What a platform calls all this stands behind [`Dialect`]
//! and [`Store`].
//!
//! The folders in order, each importing only those before it: `edge`, `decisions`, `settings`, `connections`, `state`,
//! `permits`, `parts`, `limits` and `quarantine`, then `requests`, `roles` and `membership` side by side, and `process`. A test holds that order.
//!
//! One thread serves everything: a box has a fraction of a core, and each thread costs it memory.

mod connections;
mod decisions;
mod edge;
mod limits;
mod membership;
mod parts;
mod permits;
mod process;
mod quarantine;
mod requests;
mod roles;
mod settings;
mod state;

pub use self::{
  connections::remove_connection_headers,
  decisions::{
    AdvertisedLimit, AdvertisedLimits, AllowedHalls, AttemptOutcome, Availability, BoxEntry,
    BoxList, CachedPrompts, Choice, ColdEndpoints, ColdPeriod, DrainedHalls, EndpointCounts,
    EndpointCriteria, EndpointIncarnation, EndpointLimits, EndpointRegistry, Fingerprint,
    HallDrainChange, ISOLATED_BOXES, LimitChange, LimitSource, LimitStrategy, LocalPermitVerdict,
    LocalPermits, LocalUsage, LocalVerdict, NoticeChange, NoticeTracker, PermitAccount,
    PermitRequest, PermitTable, PermitVerdict, QuarantineKey, QuarantineMark, QuarantineRegistry,
    QuarantineStrategy, QuarantineVerdict, QueuePosition, RecentEngines, ReportScope,
    RequestIdentity, RetryAllowance, RetryWindow, RolePlan, SlotForecast, SlotQueue, SlotUrgency,
    TokenBucket, Unavailable, UsageRequest, UsageTable, UsageTotals, UsageVerdict,
    coordinator_limit, coordinator_order, isolated_limit, jittered_backoff_ms, plan_roles,
    retry_after_backoff_ms, stable_engines, store_retry_delay_ms,
  },
  edge::{
    AnswerFacts, CallerFacts, CallerLimits, ColdStart, DecodeError, Dialect, EndpointCall,
    EndpointEntry, EndpointNotice, EngineReport, EngineSpec, Export, Homes, Marks, NamedLimit,
    Organisation, Organisations, PageAge, Part, PromptPart, RoleChange, Route, RouteKind,
    RouteTable, ServiceSpec, Stewardship, Store, StoreChanges, StoreError, StoreItem, StoreKey,
    StoreLease, StorePage, ToldLoad, UnreadableNotice, UseLimit, UseUnit, WeightedService,
  },
  process::run_gateway,
  requests::{EventCutter, WholeEvent},
  settings::{
    EngineMarks, EngineSettings, GatewayBounds, GatewayIdentity, GatewayListen, GatewaySettings,
    LimitSettings, Mechanisms, PolicySettings, QuarantineSettings, RoutePolicy, RouteRank,
    StoreSettings,
  },
  state::ChangeLog,
};
