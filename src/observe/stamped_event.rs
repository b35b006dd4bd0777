//! A timestamped event on the timeline.

use {
  super::Stamp,
  crate::{decide::EventKind, ids::Name},
  serde::{Deserialize, Serialize},
};

/// A timestamped event on the timeline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StampedEvent {
  /// The hybrid timestamp.
  pub stamp: Stamp,
  /// The box that recorded it.
  pub box_name: Name,
  /// The event's number in docs/EVENTS.md.
  pub number: u16,
  /// Its kind.
  pub kind: EventKind,
  /// The request, endpoint, box or other object that it concerns.
  pub subject: Name,
  /// Further details, may be empty.
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
