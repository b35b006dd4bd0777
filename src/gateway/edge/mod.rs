//! The interface to a platform: the traits [`PlatformCodec`] and [`Store`], and the types that they share with the gateway, such
//! as endpoint entries and routes.
//!
//! Imports no other module of the gateway. The folder `platform/` at the root of the repository implements both traits.

mod caller_attributes;
mod decode_error;
mod endpoint_entry;
mod endpoint_notice;
mod organisation;
mod platform_codec;
mod prompt_segment;
mod region_set;
mod route_table;
mod software_version;
mod store;

pub use self::{
  caller_attributes::CallerAttributes,
  decode_error::DecodeError,
  endpoint_entry::EndpointEntry,
  endpoint_notice::{EndpointNotice, LimitHeader, UnreadableNotice},
  organisation::{Organisation, Organisations, UsageLimit, UsageUnit},
  platform_codec::{
    EndpointCall, EngineReport, Export, LoadHeader, PlatformCodec, ProxyHeaders,
    ResponseAttributes, RoleChange, RunReport, Stage,
  },
  prompt_segment::PromptSegment,
  region_set::RegionSet,
  route_table::{
    CallerLimits, ColdStart, EngineSpec, Route, RouteKind, RouteTable, ServiceSpec, WeightedService,
  },
  software_version::SoftwareVersion,
  store::{
    MAX_CHANGED_KEYS, ReadConsistency, RoleLeadership, Store, StoreChanges, StoreError, StoreItem,
    StoreKey, StoreLease, StorePage,
  },
};
