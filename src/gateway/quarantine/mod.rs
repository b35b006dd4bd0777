//! Quarantine of requests that crash the endpoints that run them: crash detection, marks shared with all boxes, and screening.
//!
//! Imports the folders up to `parts`. The decisions are in `decisions::quarantine_registry`; the last check before each send is in
//! `parts`.

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
