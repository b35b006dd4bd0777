//! What is sent to an endpoint, as far as that decides whether it may be sent.

/// What is sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
  /// A caller's request, or a part of it: never to an endpoint that leaves or wants none.
  Request,
  /// A question or an order of the router's own that leads to work: as little.
  Call,
  /// What an endpoint keeps is given back: it frees memory, so it goes to one that leaves or wants no work too.
  GiveBack,
}
