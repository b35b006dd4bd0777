//! Why this box left an endpoint's response unread.

use {super::gateway::Gateway, std::fmt};

/// Why this box left an endpoint's response unread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnreadCause {
  /// Its caller did not read.
  Caller,
  /// The box had no room for it.
  Memory,
}

impl fmt::Display for UnreadCause {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    formatter.write_str(match self {
      Self::Caller => "its caller did not read",
      Self::Memory => "this box held as many bytes as it may",
    })
  }
}

impl Gateway {
  /// Records that an endpoint aborted a response that this box had left unread: neither is the endpoint at fault nor the request.
  pub(crate) fn record_left_unread(
    &self,
    request_id: &str,
    endpoint: &str,
    cause: UnreadCause,
    unread_ms: u64,
  ) {
    self.counters.aborted_unread.inc();
    log::info!(
      "E587 response aborted unread: {request_id} at {endpoint}, unread for {unread_ms} ms since {cause}; the endpoint is not \
       avoided"
    );
  }
}
