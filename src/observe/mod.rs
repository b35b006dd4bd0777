//! Observability: timeline, log and metrics.

mod hybrid_clock;
mod logging;
mod metrics;
mod observer;
mod stamped_event;
mod timeline;

pub(crate) use self::{
  hybrid_clock::unix_ms,
  logging::set_up_logging,
  metrics::MetricSink,
  observer::{Observation, Observer, observe},
};

pub use self::{
  hybrid_clock::{HybridClock, Stamp},
  stamped_event::StampedEvent,
  timeline::{EventPage, Timeline, chrome_trace, merge},
};
