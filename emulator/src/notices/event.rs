//! What happens in a replay of notices.

use rillford::gateway::EndpointNotice;

/// What happens at a moment.
pub(super) enum Event {
  /// A caller comes.
  Arrives,
  /// A caller's request is at a box.
  AtBox { request: usize },
  /// It reaches the endpoint that the box chose.
  AtEndpoint { request: usize, endpoint: usize },
  /// Its work is done there.
  Worked { request: usize, endpoint: usize },
  /// An answer is back at the box.
  Answered {
    request: usize,
    endpoint: usize,
    reply: Reply,
  },
  /// A box hears from another one.
  Told {
    at: usize,
    endpoint: usize,
    notice: EndpointNotice,
  },
  /// An endpoint ends.
  Ends { endpoint: usize },
  /// The store lists an endpoint no more.
  Unlisted { endpoint: usize },
}

/// What an endpoint answers.
#[derive(Clone, Debug)]
pub(super) struct Reply {
  pub(super) kind: ReplyKind,
  pub(super) notice: EndpointNotice,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReplyKind {
  Done,
  TurnedAway,
  /// The endpoint was not there.
  Refused,
  /// The endpoint ended with it.
  Lost,
}
