//! A simulated store that speaks the platform's published protocol, and links that can be cut, for the integration tests, the soak and
//! the replay of deployments.

mod call_rate;
mod cut;
mod fault_guard;
mod lateness;
mod link;
mod link_fault;
mod overlap;
mod platform_store;
mod start_store;
mod store_calls;
mod store_channel;
mod store_condition;
mod store_contents;
mod store_faults;
mod store_limits;
mod store_watch;
mod write_loss;

pub use self::{
  cut::Cut,
  fault_guard::FaultGuard,
  lateness::Lateness,
  link::{Link, Target},
  link_fault::LinkFault,
  platform_store::PlatformStore,
  store_condition::StoreCondition,
  store_limits::StoreLimits,
  write_loss::WriteLoss,
};
