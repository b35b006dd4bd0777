//! Finds out whether a process listens at an address.

use {
  std::{fmt, io::ErrorKind, net::SocketAddr, time::Duration},
  tokio::{net::TcpStream, time::timeout},
};

/// A reachable host accepts or refuses a connection within milliseconds; an unreachable one does neither.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// A connection that is closed at once is closed within this time.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(30);

/// Whether an endpoint's process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Liveness {
  /// Its process terminated: connections are refused.
  Terminated,
  /// Connections are closed at once: by a relay whose target terminated, or by an endpoint that has too many.
  Closing,
  /// It accepts connections.
  Alive,
  /// It is unreachable, or it was leaving.
  Unknown,
}

impl fmt::Display for Liveness {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    formatter.write_str(match self {
      Self::Terminated | Self::Closing => "Ended",
      Self::Alive => "Lives",
      Self::Unknown => "Unknown",
    })
  }
}

/// Opens a connection, and checks that it stays open.
pub(crate) async fn probe(address: SocketAddr) -> Liveness {
  let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
    Ok(Ok(stream)) => stream,
    Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return Liveness::Terminated,
    Ok(Err(_)) => return Liveness::Closing,
    Err(_) => return Liveness::Unknown,
  };
  // Nothing was sent on it, so it becomes readable only when it is closed.
  match timeout(CLOSE_TIMEOUT, stream.readable()).await {
    Ok(_) => Liveness::Closing,
    Err(_) => Liveness::Alive,
  }
}
