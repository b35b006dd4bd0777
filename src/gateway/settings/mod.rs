//! A box's settings file, with its validation, and the operators' policy.
//!
//! Imports `decisions` and `edge`.

mod document;
mod limits;
mod mechanisms;
mod memory;
mod quarantine;
mod route_policy;

pub use self::{
  document::{
    EnginePriority, EngineSettings, GatewayBounds, GatewayIdentity, GatewayListen, GatewaySettings,
    PolicySettings, StoreSettings,
  },
  limits::LimitSettings,
  mechanisms::Mechanisms,
  memory::MemorySettings,
  quarantine::QuarantineSettings,
  route_policy::{RoutePolicy, RouteRank},
};
