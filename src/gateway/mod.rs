//! A gateway box: routes requests by host and path to endpoints, which come and go.
//!
//! `requests` reads a request, finds its [`Route`] and chooses endpoints from the [`EndpointBook`] within the retry budget
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
mod roles;
mod settings;
mod stages;
mod state;

pub use self::{
  connections::remove_connection_headers,
  decisions::{
    ALONE_BOXES, AllowedHalls, Availability, BoxEntry, BoxList, Choice, ColdEndpoints, ColdSpan,
    DrainedHalls, EndpointBook, EndpointCounts, EndpointLife, EndpointLimits, Fingerprint,
    HallDrainNews, HeardLimit, KeptPrompts, LimitBook, LimitNews, LimitSource, LimitWay,
    LocalPermit, LocalVerdict, NoticeBook, NoticeNews, PartEnd, PermitAccount, PermitBook,
    PermitLedger, PermitRequest, PermitVerdict, QuarantineBook, QuarantineKey, QuarantineMark,
    QuarantineVerdict, QuarantineWay, RecentEngines, RequestIdentity, RetryAllowance, RetryWindow,
    SeatForecast, SeatPlace, SeatQueue, SeatUrgency, Surplus, ToldSpan, Unavailable, UseBook,
    UseBucket, UseLedger, UseRequest, UseTotals, UseVerdict, Wanted, counted_limit, endpoint_order,
    kept_pause_ms, lone_limit, retry_after_pause_ms, retry_pause_ms, staying_engines, surplus,
  },
  edge::{
    CallerAttributes, CallerLimits, ColdStart, DecodeError, EndpointCall, EndpointEntry,
    EndpointNotice, EngineReport, EngineSpec, Export, LimitHeader, Organisation, Organisations,
    PlatformCodec, PromptSegment, ProxyHeaders, ReadConsistency, RegionSet, ReportedLoad,
    ResponseAttributes, RoleChange, RoleLeadership, Route, RouteKind, RouteTable, ServiceSpec,
    Stage, Store, StoreChanges, StoreError, StoreItem, StoreKey, StoreLease, StorePage,
    UnreadableNotice, UsageLimit, UsageUnit, WeightedService,
  },
  process::run_gateway,
  requests::{EventSplitter, SseEvent},
  settings::{
    EnginePriority, EngineSettings, GatewayBounds, GatewayIdentity, GatewayListen, GatewaySettings,
    LimitSettings, Mechanisms, PolicySettings, QuarantineSettings, RoutePolicy, RouteRank,
    StoreSettings,
  },
  state::ChangeLog,
};
