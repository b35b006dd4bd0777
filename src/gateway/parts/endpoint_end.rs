//! Whether an endpoint has ended, asked right after a part was lost there.

use {
  super::request::RoutedRequest,
  crate::gateway::{edge::EndpointEntry, state::Gateway},
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::{net::TcpStream, task::spawn_local, time::timeout},
};

/// An endpoint in reach accepts within milliseconds, or refuses; one behind a cut does neither.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Behind a relay a connection is accepted for an endpoint that is gone, and closed at once.
const CLOSE_LIMIT: Duration = Duration::from_millis(30);

/// What became of an endpoint at which a part was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Survival {
  /// Its process is gone: connections are refused, or closed at once.
  Ended,
  /// It accepts connections: the part alone was lost.
  Lives,
  /// It is not in reach, or it was leaving.
  Unknown,
}

/// A part that was lost after it had been sent.
#[derive(Clone, Debug)]
pub(crate) struct LostPart {
  /// Where it was sent, as the endpoint was then.
  pub(crate) entry: EndpointEntry,
  pub(crate) sent_ms: u64,
  /// What was seen.
  pub(crate) error: String,
}

/// Says what is known of a lost part: which request it belonged to, and whether its endpoint has ended.
pub(crate) fn note_lost(gateway: &Rc<Gateway>, request: &Rc<RoutedRequest>, lost: LostPart) {
  let (gateway, request) = (gateway.clone(), request.clone());
  spawn_local(async move {
    let ran_ms = gateway.now_ms() - lost.sent_ms;
    let survival = survival(&gateway, &lost.entry).await;
    let LostPart { entry, error, .. } = lost;
    log::info!(
      "E528 part lost: {} ({}) at {} born {:?}, {ran_ms} ms after it was sent: {error}; endpoint {survival:?}",
      request.id(),
      request.fingerprint(),
      entry.id,
      entry.born_ms
    );
    if survival == Survival::Ended {
      gateway.counters.lost_with_endpoint.inc();
    }
  });
}

/// Finds out whether an endpoint has ended.
async fn survival(gateway: &Gateway, entry: &EndpointEntry) -> Survival {
  let (is_leaving, born_ms) = match gateway.book.borrow().entry(&entry.id) {
    Some(now) => (now.leaving, now.born_ms),
    None => return Survival::Unknown,
  };
  if is_leaving {
    return Survival::Unknown;
  }
  if born_ms != entry.born_ms {
    return Survival::Ended;
  }
  probe(entry.address).await
}

/// Opens a connection, and looks whether it stays.
async fn probe(address: SocketAddr) -> Survival {
  let stream = match timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
    Ok(Ok(stream)) => stream,
    Ok(Err(_)) => return Survival::Ended,
    Err(_) => return Survival::Unknown,
  };
  // Nobody has asked for anything: what can be read is the end.
  match timeout(CLOSE_LIMIT, stream.readable()).await {
    Ok(_) => Survival::Ended,
    Err(_) => Survival::Lives,
  }
}
