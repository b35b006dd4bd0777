//! One event on the time line.

use {
  super::Stamp,
  crate::{decide::NoteKind, ids::Name},
  serde::{Deserialize, Serialize},
};

/// One event on the time line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StampedEvent {
  /// When, and after what.
  pub stamp: Stamp,
  /// The box.
  pub box_name: Name,
  /// The event's number in docs/EVENTS.md.
  pub number: u16,
  /// Its kind.
  pub kind: NoteKind,
  /// What it is about.
  pub subject: Name,
  /// A short detail.
  pub detail: Name,
}

impl StampedEvent {
  /// The event as a line of text.
  pub fn line(&self) -> String {
    format!(
      "{} {:<10} {} {:<22} {} {}",
      self.stamp.unix_ms(),
      self.box_name,
      self.number,
      format!("{:?}", self.kind),
      self.subject,
      self.detail
    )
    .trim_end()
    .to_string()
  }
}
