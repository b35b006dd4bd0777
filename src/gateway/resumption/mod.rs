//! Streams that their callers resume: which version began a stream is recorded at a few boxes while several versions serve, and
//! looked up by the box that the caller returns to. Which versions serve is recorded in the store, and which one began each stream while
//! there are several.
//!
//! Imports `state`, `stages` and the folders below them.

mod handing_over;
mod holding;
mod lookup;
mod messages;
mod origin_handling;
mod origin_messages;
mod origin_reading;
mod origin_sending;
mod origin_writing;
mod publishing;
mod version_sync;

pub(crate) use self::{
  holding::{handle_begin, handle_hold},
  lookup::{resolve_resumption, stream_metrics},
  messages::{FIND_STREAM_PATH, STREAMS_PATH, handle_lookup, handle_records},
  origin_handling::{handle_find_origin, handle_origins},
  origin_messages::{FIND_ORIGIN_PATH, ORIGINS_PATH},
  origin_reading::serve_origin_reads,
  origin_sending::send_origins,
  origin_writing::write_origins,
  publishing::{publish_streams, record_stream},
  version_sync::{serve_version_reads, sync_versions},
};
