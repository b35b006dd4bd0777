//! A simulated store that speaks the platform's published protocol, for the integration tests and the soak.

mod platform_store;
mod start_store;
mod store_calls;
mod store_contents;

pub use self::platform_store::PlatformStore;
