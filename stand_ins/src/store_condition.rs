//! How the simulated store treats the callers of a view.

/// How the store treats the callers of a view.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreCondition {
  /// Serves them.
  #[default]
  Serving,
  /// Rejects every call with 503.
  Busy,
  /// Rejects every call with 429.
  Many,
  /// Resets connections.
  Reset,
  /// Accepts connections and doesn't respond.
  Silent,
}
