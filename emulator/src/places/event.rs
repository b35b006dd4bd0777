//! Events of the permit simulation.

use rillford::gateway::{PermitRequest, PermitVerdict, UsageTotals};

pub(super) enum Event {
  /// A caller's request arrives at a box.
  RequestArrives,
  /// A coordinator receives a permit request.
  PermitRequest {
    from: usize,
    to: usize,
    number: u32,
    request: PermitRequest,
    limit: ReceivedLimit,
  },
  /// A box receives the response to its permit request.
  PermitResponse {
    to: usize,
    number: u32,
    verdict: PermitVerdict,
    limit: ReceivedLimit,
  },
  /// The timeout of a permit request.
  PermitTimeout {
    at: usize,
    to: usize,
    number: u32,
    request: PermitRequest,
  },
  /// A request reaches the endpoint.
  AtEndpoint { from: usize, knows_limit: bool },
  /// A box receives the endpoint's response, which advertises a limit.
  ResponseReceived { at: usize, sent_ms: u64, per_s: f64 },
  /// A box receives the limit from another box.
  LimitReceived {
    to: usize,
    limit: ReceivedLimit,
    is_forwarded: bool,
  },
  /// A box announces its total to all others.
  AnnounceTotal { at: usize },
  /// A box receives another's total.
  TotalsReceived { to: usize, totals: Box<UsageTotals> },
  /// A box receives a change of the box list.
  ListReceived { at: usize, has_coordinator: bool },
  /// The coordinator restarts with empty state.
  CoordinatorRestarts,
}

/// An advertised limit with the time at which a box received it from the endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedLimit {
  pub(super) per_s: f64,
  pub(super) received_ms: u64,
}
