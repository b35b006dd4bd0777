//! What a platform has to provide, and the words shared with it: the traits [`Dialect`] and [`Store`], endpoints' entries,
//! routes.
//!
//! Imports nothing of the gateway. The folder `platform/` at the root implements the two traits.

mod caller_facts;
mod decode_error;
mod dialect;
mod endpoint_entry;
mod endpoint_notice;
mod homes;
mod organisation;
mod prompt_part;
mod route_table;
mod store;

pub use self::{
  caller_facts::CallerFacts,
  decode_error::DecodeError,
  dialect::{
    AnswerFacts, Dialect, EndpointCall, EngineReport, Export, Marks, Part, RoleChange, ToldLoad,
  },
  endpoint_entry::EndpointEntry,
  endpoint_notice::{EndpointNotice, NamedLimit, UnreadableNotice},
  homes::Homes,
  organisation::{Organisation, Organisations, UseLimit, UseUnit},
  prompt_part::PromptPart,
  route_table::{
    CallerLimits, ColdStart, EngineSpec, Route, RouteKind, RouteTable, ServiceSpec, WeightedService,
  },
  store::{
    MOST_CHANGED_KEYS, PageAge, Stewardship, Store, StoreChanges, StoreError, StoreItem, StoreKey,
    StoreLease, StorePage,
  },
};
