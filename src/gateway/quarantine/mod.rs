//! Requests that end the endpoints that run them: what was seen, what is shared with other boxes, and who may be sent.
//!
//! Imports the folders up to `stages`. What is decided stands in `decisions::quarantine_book`; the last look before each send is
//! in `stages`.

mod endpoint_end;
mod messages;
mod sharing;
mod vetting;

pub(crate) use self::{
  endpoint_end::{LostPart, note_lost},
  messages::{MARKS_PATH, answer_marks},
  sharing::{keep_quarantine, mark_age_ms},
  vetting::{Held, note_whole, release_unsent, vet},
};
