//! A box's settings file, with its validation, and the operators' policy.
//!
//! Imports `decisions` and `edge`.

mod activation;
mod document;
mod limits;
mod mechanisms;
mod memory;
mod prefill_queue;
mod quarantine;
mod route_policy;

pub use self::{
  activation::Activation,
  document::{
    EndpointSettings, EnginePriority, EngineSettings, GatewayBounds, GatewayIdentity,
    GatewayListen, GatewaySettings, PolicySettings, StoreSettings,
  },
  limits::LimitSettings,
  mechanisms::Mechanisms,
  memory::MemorySettings,
  prefill_queue::PrefillQueueSettings,
  quarantine::QuarantineSettings,
  route_policy::{RoutePolicy, RouteRank},
};
