//! Where streams began, as boxes keep it in the store while a service has several versions: it outlasts all boxes. Free of I/O.
//!
//! Load pattern: streams of the services that have several versions begin at all boxes, from a few to thousands a second in all; any
//! number of boxes may be killed at any moment, all of them included, and their callers return to any box within seconds.

mod batch;
mod bucket;
mod outbox;
mod stored;
mod writer;

pub use self::{
  batch::{BegunStream, OriginBatch, StoredStream},
  bucket::{BucketWriters, OriginBucket},
  outbox::{ORIGIN_SEND_INTERVAL_MS, OriginOutbox},
  stored::StoredOrigins,
  writer::{ORIGIN_WRITE_INTERVAL_MS, OriginWrite, OriginWriter, TakenLease},
};
