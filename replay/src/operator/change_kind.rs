//! The kinds of changes of the configuration.

/// What a change of the configuration concerns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ChangeKind {
  /// A route that nobody uses comes, another goes.
  Idle,
  /// A route moves to another service.
  Route,
  /// The time-out of a route.
  Timeout,
  /// The weights of a route's services.
  Weights,
}

impl ChangeKind {
  /// The kind that the words of a step name; `None` for kinds that are not played.
  pub(super) fn parse(how: &str) -> Option<Self> {
    how.split_whitespace().find_map(|word| match word {
      "idle" => Some(Self::Idle),
      "route" => Some(Self::Route),
      "timeout" => Some(Self::Timeout),
      "weights" => Some(Self::Weights),
      _ => None,
    })
  }
}
