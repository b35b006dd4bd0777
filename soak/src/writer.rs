//! The run of an engine that writes an event of a stream.

use std::fmt;

/// The run that writes an event, in the event's text: `v1 i-3 17 5 c1-8`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Writer<'a> {
  /// Version of the engine's software.
  pub(crate) version: &'a str,
  /// The engine's incarnation.
  pub(crate) incarnation: &'a str,
  /// Number of the engine's start, which differs between starts under one incarnation.
  pub(crate) start_number: u64,
  /// Number of the run among those of this start.
  pub(crate) run: u64,
  /// The id of the request that the engine received.
  pub(crate) request_id: &'a str,
}

impl<'a> Writer<'a> {
  /// Parses the text between an event's ` by ` and its full stop, that included. `None` if a part is missing.
  pub(crate) fn parse(text: &'a str) -> Option<Self> {
    let mut parts = text.strip_suffix('.')?.split(' ');
    Some(Self {
      version: parts.next()?,
      incarnation: parts.next()?,
      start_number: parts.next()?.parse().ok()?,
      run: parts.next()?.parse().ok()?,
      request_id: parts.next()?,
    })
  }
}

impl fmt::Display for Writer<'_> {
  fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
    let Self {
      version,
      incarnation,
      start_number,
      run,
      request_id,
    } = self;
    write!(
      formatter,
      "{version} {incarnation} {start_number} {run} {request_id}"
    )
  }
}
