//! The settings file of a box, checked, with the switches of its mechanisms and the operators' policy.
//!
//! Imports `decisions` and `edge`.

mod document;
mod limits;
mod mechanisms;
mod quarantine;
mod route_policy;

pub use self::{
  document::{
    EnginePriority, EngineSettings, GatewayBounds, GatewayIdentity, GatewayListen, GatewaySettings,
    PolicySettings, StoreSettings,
  },
  limits::LimitSettings,
  mechanisms::Mechanisms,
  quarantine::QuarantineSettings,
  route_policy::{RoutePolicy, RouteRank},
};
