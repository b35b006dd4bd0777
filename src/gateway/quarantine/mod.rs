//! Quarantine of requests that crash the endpoints that run them: crash detection, marks shared with all boxes, and screening. A mark
//! records, under a request's fingerprint, that an endpoint crashed on it, or that a box claimed a probe: the one run that a
//! quarantined request is allowed at a time.
//!
//! Imports the folders up to `stages`. The decisions are in `decisions::quarantine_registry`; the last check before each send is in
//! `stages`.

mod crash_detection;
mod messages;
mod screening;
mod sync;

pub(crate) use self::{
  crash_detection::{LostStage, is_past_beginning, record_lost_stage, record_silent_stage},
  messages::{MARKS_PATH, SUSPECTS_PATH, handle_marks, handle_suspects},
  screening::{Quarantined, record_sound_segments, record_success, release_unsent_probe, screen},
  sync::{mark_age_ms, sync_quarantine},
};
