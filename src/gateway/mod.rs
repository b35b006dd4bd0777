//! A box that routes requests by host and path to endpoints that come and go.
//!
//! A request's way: `front` reads it and finds its [`Route`], `plain` or `stream` chooses endpoints from the
//! [`EndpointBook`] within the [`RetryWindow`], `part` sends it over a `connection`, and the answer goes back
//! unchanged. `store_sync` keeps routes and endpoints as the store has them. What a platform calls all this
//! stands behind [`Dialect`] and [`Store`].
//!
//! One thread serves everything: a box has a fraction of a core, and each thread costs it memory.

mod accept;
mod answer;
mod box_list;
mod change_log;
mod connection;
mod connection_pool;
mod counters;
mod dialect;
mod endpoint_book;
mod endpoint_entry;
mod engine_call;
mod event_cutter;
mod event_source;
mod front;
#[allow(clippy::module_inception)]
mod gateway;
mod headers;
mod kept_prompts;
mod log_writer;
mod mechanisms;
mod own_pages;
mod part;
mod plain;
mod prompt;
mod recent_engines;
mod relay;
mod request;
mod resume_seat;
mod retry_after;
mod retry_pause;
mod retry_window;
mod role_plan;
mod role_steward;
mod route_policy;
mod route_table;
mod seat;
mod seat_forecast;
mod seat_queue;
mod settings;
mod start;
mod store;
mod store_sync;
mod stream;
mod stream_request;

pub use self::{
  box_list::{BoxEntry, BoxList},
  change_log::ChangeLog,
  dialect::{
    AnswerFacts, CallerFacts, DecodeError, Dialect, EndpointCall, EngineReport, Export, Marks,
    Part, RoleChange, ToldLoad,
  },
  endpoint_book::{Choice, EndpointBook, PartEnd, Wanted},
  endpoint_entry::EndpointEntry,
  event_cutter::{EventCutter, WholeEvent},
  headers::remove_connection_headers,
  kept_prompts::{KeptPrompts, PromptPart},
  mechanisms::Mechanisms,
  recent_engines::{RecentEngines, staying_engines},
  retry_pause::retry_pause_ms,
  retry_window::{RetryAllowance, RetryWindow},
  role_plan::{Surplus, surplus},
  route_policy::{RoutePolicy, RouteRank},
  route_table::{
    CallerLimits, EngineSpec, Route, RouteKind, RouteTable, ServiceSpec, WeightedService,
  },
  seat_forecast::SeatForecast,
  seat_queue::{SeatPlace, SeatQueue, SeatUrgency},
  settings::{
    EngineSettings, GatewayBounds, GatewayIdentity, GatewayListen, GatewaySettings, PolicySettings,
    StoreSettings,
  },
  start::run_gateway,
  store::{
    Stewardship, Store, StoreChanges, StoreError, StoreItem, StoreKey, StoreLease, StorePage,
  },
};
