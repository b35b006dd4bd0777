//! What is sent to an endpoint, as far as that decides whether it may be sent.

/// What is sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
  /// Work, or a question that leads to work: never to an endpoint that leaves or wants none.
  Work,
  /// What an endpoint keeps is given back: it frees memory, so it goes to one that leaves or wants no work too.
  GiveBack,
}
