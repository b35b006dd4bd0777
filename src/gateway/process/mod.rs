//! The process: startup, tasks, graceful shutdown, log and status pages.
//!
//! May import every other module of the gateway; none imports it.

mod box_port;
mod log_writer;
mod start;
mod status_pages;

pub use self::start::run_gateway;
