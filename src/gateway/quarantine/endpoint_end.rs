//! Whether an endpoint has ended, asked right after a part was lost there; and with which request it ended.

use {
  super::vetting::share,
  crate::gateway::{
    decisions::{
      EndpointIncarnation, Fingerprint, QuarantineKey, QuarantineMark, QuarantineStrategy,
    },
    edge::EndpointEntry,
    stages::RoutedRequest,
    state::Gateway,
  },
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
  },
};

/// An endpoint in reach accepts within milliseconds, or refuses; one behind a cut does neither.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Behind a relay a connection is accepted for an endpoint that is gone, and closed at once.
const CLOSE_LIMIT: Duration = Duration::from_millis(30);

/// An endpoint enters itself as it starts, and its entry reaches a box within a second.
const ENTRY_LIMIT_MS: u64 = 1_000;
/// Pause between looks for that entry.
const ENTRY_PAUSE: Duration = Duration::from_millis(20);

/// What became of an endpoint at which a part was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Survival {
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
  /// What it shares with repeats of the same part.
  pub(crate) fingerprint: Fingerprint,
}

/// Finds out whether an endpoint ended with a part of a request, and tells the other boxes. Nobody waits for that, but for the
/// end after which the request is held: it has to be known before the request is sent on.
pub(crate) async fn note_lost(gateway: &Rc<Gateway>, request: &Rc<RoutedRequest>, lost: LostPart) {
  let is_near = {
    let book = gateway.quarantine.book.borrow();
    !book.is_empty() && book.is_near_quarantine(lost.fingerprint)
  };
  // It goes on when the caller leaves meanwhile.
  let judged = spawn_local(judge(gateway.clone(), request.clone(), lost));
  if is_near && let Err(error) = judged.await {
    log::error!("E528 a lost part was not judged: {error}");
  }
}

async fn judge(gateway: Rc<Gateway>, request: Rc<RoutedRequest>, lost: LostPart) {
  let ran_ms = gateway.now_ms() - lost.sent_ms;
  let survival = survival(&gateway, &lost.entry).await;
  let LostPart {
    entry,
    error,
    fingerprint,
    sent_ms,
  } = lost;
  log::info!(
    "E528 part lost: {} ({fingerprint}) at {} born {:?}, {ran_ms} ms after it was sent: {error}; endpoint {survival:?}",
    request.id(),
    entry.id,
    entry.started_ms
  );
  if survival != Survival::Ended {
    return;
  }
  gateway.counters.lost_with_endpoint.inc();
  if gateway.settings.quarantine.strategy != QuarantineStrategy::Off {
    let life = reached_life(&gateway, &entry, fingerprint, sent_ms).await;
    note_end(&gateway, fingerprint, life);
  }
}

/// The life of an endpoint that a part reached. Where the chosen one had ended before the part was sent, it was the next one,
/// which may not be entered yet: its end must not pass for the end that is known.
async fn reached_life(
  gateway: &Gateway,
  chosen: &EndpointEntry,
  fingerprint: Fingerprint,
  sent_ms: u64,
) -> EndpointIncarnation {
  let life = EndpointIncarnation::of(&chosen.id, chosen.started_ms);
  let ended_ms = gateway
    .quarantine
    .book
    .borrow()
    .crashed_since_ms(fingerprint, life);
  if ended_ms.is_none_or(|ended_ms| sent_ms <= ended_ms) {
    return life;
  }
  let until_ms = gateway.now_ms() + ENTRY_LIMIT_MS;
  loop {
    let started_ms = gateway
      .book
      .borrow()
      .entry(&chosen.id)
      .and_then(|now| now.started_ms);
    if started_ms.is_some() && started_ms != chosen.started_ms {
      return EndpointIncarnation::of(&chosen.id, started_ms);
    }
    if gateway.now_ms() >= until_ms {
      return life;
    }
    sleep(ENTRY_PAUSE).await;
  }
}

/// Notes that a life of an endpoint ended with a request.
fn note_end(gateway: &Gateway, fingerprint: Fingerprint, life: EndpointIncarnation) {
  let key = QuarantineKey {
    fingerprint,
    mark: QuarantineMark::Crashed(life),
  };
  let now_ms = gateway.now_ms();
  let mut book = gateway.quarantine.book.borrow_mut();
  if !book.record(key, now_ms) {
    return;
  }
  // Most requests are there at one end only: theirs can wait.
  let is_pressing = book.counts(key.fingerprint).0 > 1;
  drop(book);
  share(gateway, &[key], is_pressing);
}

/// Finds out whether an endpoint has ended.
async fn survival(gateway: &Gateway, entry: &EndpointEntry) -> Survival {
  let (is_leaving, started_ms) = {
    let book = gateway.book.borrow();
    match book.entry(&entry.id) {
      Some(now) => (book.is_leaving(now, gateway.now_ms()), now.started_ms),
      None => return Survival::Unknown,
    }
  };
  if is_leaving {
    return Survival::Unknown;
  }
  if started_ms != entry.started_ms {
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
