//! Requests that end the endpoints that run them: what was seen, what is shared with other boxes, and who may be sent.
//!
//! Imports the folders up to `parts`. What is decided stands in `decisions::quarantine_book`; the last look before each send is
//! in `parts`.

mod crash_detection;
mod messages;
mod screening;
mod sync;

pub(crate) use self::{
  crash_detection::{LostStage, record_lost_stage},
  messages::{MARKS_PATH, handle_marks},
  screening::{Quarantined, record_success, release_unsent_probe, screen},
  sync::{mark_age_ms, sync_quarantine},
};
