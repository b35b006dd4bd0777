//! The crate's error type.

use {
  crate::settings::SettingsError,
  std::{io, path::PathBuf},
};

/// A result with the crate's error.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// A failure outside of a single request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
  /// A file could not be read.
  #[error("reading {}: {source}", path.display())]
  Read {
    /// The file.
    path: PathBuf,
    /// The cause.
    source: io::Error,
  },
  /// Settings, policies or configuration documents are invalid; lists all errors.
  #[error("{}", error_lines(.0))]
  Settings(Vec<SettingsError>),
  /// A socket could not be bound or listened on.
  #[error("listening for {purpose} on {address}: {source}")]
  Listen {
    /// What the socket is for.
    purpose: &'static str,
    /// The local address.
    address: String,
    /// The cause.
    source: io::Error,
  },
  /// A thread or its runtime could not be started.
  #[error("starting the {name} thread: {source}")]
  Thread {
    /// The thread's name.
    name: &'static str,
    /// The cause.
    source: io::Error,
  },
  /// A certificate or key is unusable.
  #[error("loading {item} from {}: {message}", path.display())]
  Tls {
    /// What was to be loaded.
    item: &'static str,
    /// The file.
    path: PathBuf,
    /// The cause.
    message: String,
  },
  /// The logger could not be set up.
  #[error("opening the log: {0}")]
  Log(String),
  /// The metrics address is unusable.
  #[error("opening metrics to {address}: {message}")]
  Metrics {
    /// The statsd address.
    address: String,
    /// The cause.
    message: String,
  },
  /// A call from the command line to a box failed.
  #[error("{operation} at {server}: {message}")]
  Call {
    /// The operation.
    operation: &'static str,
    /// The URL of the box.
    server: String,
    /// The cause.
    message: String,
  },
  /// The command line is invalid.
  #[error("{0}")]
  Usage(String),
}

fn error_lines(errors: &[SettingsError]) -> String {
  errors
    .iter()
    .map(ToString::to_string)
    .collect::<Vec<_>>()
    .join("\n")
}

impl Error {
  /// The exit code of the process.
  pub(crate) fn exit_code(&self) -> u8 {
    match self {
      Self::Usage(_) => 2,
      Self::Settings(_) | Self::Read { .. } | Self::Tls { .. } => 3,
      Self::Call { .. } => 4,
      Self::Listen { .. } | Self::Thread { .. } | Self::Log(_) | Self::Metrics { .. } => 1,
    }
  }
}
