//! A simulated store that speaks the platform's published protocol, and links that can be cut, for the integration tests, the soak and
//! the replay of deployments.

mod cut;
mod link;
mod link_fault;
mod platform_store;
mod start_store;
mod store_calls;
mod store_contents;

pub use self::{
  cut::Cut,
  link::{Link, Target},
  link_fault::LinkFault,
  platform_store::PlatformStore,
};
