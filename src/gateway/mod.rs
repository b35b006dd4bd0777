//! A box that routes requests by host and path to endpoints that come and go.
//!
//! A request's way: [`front`](requests) reads it and finds its [`Route`], `requests` choose endpoints from the
//! [`EndpointBook`] within the [`RetryWindow`], `stages` send it over `connections`, and the answer goes back unchanged.
//! `membership` keeps routes and endpoints as the store has them. What a platform calls all this stands behind [`PlatformCodec`]
//! and [`Store`].
//!
//! The folders in order, each importing only those before it: `edge`, `decisions`, `settings`, `connections`, `state`,
//! `permits`, `stages`, `limits` and `quarantine`, then `requests`, `roles` and `membership` side by side, and `process`. A test holds that order.
//!
//! One thread serves everything: a box has a fraction of a core, and each thread costs it memory.

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
