//! The crate's error: each carries the step and the peer at which it arose.

use {
  crate::settings::SettingsError,
  std::{io, path::PathBuf},
};

/// The crate's result.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// What can go wrong outside of a single request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
  /// A file can't be read.
  #[error("reading {}: {source}", path.display())]
  Read {
    /// The file.
    path: PathBuf,
    /// Why.
    source: io::Error,
  },
  /// Settings or policies are wrong; all that is wrong is listed.
  #[error("{}", list(.0))]
  Settings(Vec<SettingsError>),
  /// An address can't be listened on.
  #[error("listening for {step} on {peer}: {source}")]
  Listen {
    /// What for.
    step: &'static str,
    /// The address.
    peer: String,
    /// Why.
    source: io::Error,
  },
  /// A thread can't be started.
  #[error("starting the {step} thread: {source}")]
  Thread {
    /// The duty.
    step: &'static str,
    /// Why.
    source: io::Error,
  },
  /// A certificate or key is unusable.
  #[error("loading {step} from {}: {message}", path.display())]
  Tls {
    /// What was loaded.
    step: &'static str,
    /// The file.
    path: PathBuf,
    /// Why.
    message: String,
  },
  /// The log can't be set up.
  #[error("opening the log: {0}")]
  Log(String),
  /// The metrics address is unusable.
  #[error("opening metrics to {peer}: {message}")]
  Metrics {
    /// The address.
    peer: String,
    /// Why.
    message: String,
  },
  /// A call over HTTP failed.
  #[error("{step} at {peer}: {message}")]
  Call {
    /// What was asked.
    step: &'static str,
    /// Whom.
    peer: String,
    /// Why it failed.
    message: String,
  },
  /// A user's request makes no sense.
  #[error("{0}")]
  Usage(String),
}

fn list(errors: &[SettingsError]) -> String {
  errors
    .iter()
    .map(ToString::to_string)
    .collect::<Vec<_>>()
    .join("\n")
}

impl Error {
  /// The exit code that scripts can go by.
  pub(crate) fn exit_code(&self) -> u8 {
    match self {
      Self::Usage(_) => 2,
      Self::Settings(_) | Self::Read { .. } | Self::Tls { .. } => 3,
      Self::Call { .. } => 4,
      Self::Listen { .. } | Self::Thread { .. } | Self::Log(_) | Self::Metrics { .. } => 1,
    }
  }
}
