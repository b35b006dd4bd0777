//! The process: its start, its threads of work, its planned stop, its log and its own pages.
//!
//! May import every other folder; none imports it.

mod log_writer;
mod own_pages;
mod start;

pub use self::start::run_gateway;
