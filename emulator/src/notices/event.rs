//! Events of the notice simulation.

use rillford::gateway::EndpointNotice;

pub(super) enum Event {
  /// A new caller sends its request.
  CallerArrives,
  /// A caller's request, the first or the retry, arrives at a box.
  AtBox { request: usize },
  /// It reaches the endpoint that the box chose.
  AtEndpoint { request: usize, endpoint: usize },
  /// The endpoint has processed it.
  Processed { request: usize, endpoint: usize },
  /// The box receives the endpoint's response.
  ResponseReceived {
    request: usize,
    endpoint: usize,
    reply: Reply,
  },
  /// A box receives an endpoint's notice from another box.
  NoticeReceived {
    at: usize,
    endpoint: usize,
    notice: EndpointNotice,
  },
  /// An endpoint terminates.
  Terminates { endpoint: usize },
  /// The store no longer lists an endpoint.
  Unlisted { endpoint: usize },
}

/// The result of sending a request to an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Reply {
  pub(super) kind: ReplyKind,
  pub(super) notice: EndpointNotice,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReplyKind {
  Done,
  /// The endpoint rejected the request.
  Rejected,
  /// The connection was refused, as the endpoint had terminated.
  Unreachable,
  /// The endpoint terminated with the request queued or in progress.
  Lost,
}
