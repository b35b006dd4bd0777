//! Confirms the end of a response that ends with its connection. The kernel closes the connections of a process that was killed in the
//! same way, so the end counts only if the endpoint still runs after it: on a connection from before the response, or, without one, by
//! its start or by accepting connections.

use {
  super::{
    call_request::CALL_TIMEOUT,
    end_witness::{EndWitness, WitnessState},
    incarnation_check::{Report, request_report},
    open_connection::open_connection,
    stage_error::StageError,
  },
  crate::gateway::{
    connections::{Connection, Liveness, probe},
    decisions::Unavailable,
    edge::EndpointEntry,
    state::Gateway,
  },
  http::StatusCode,
  std::{
    fmt,
    rc::Rc,
    time::{Duration, Instant},
  },
  tokio::time::{sleep, timeout},
};

/// How long an endpoint may be silent: a sound one goes on after a second or so.
const MAX_SILENCE: Duration = Duration::from_millis(1_200);
/// How long a process may still answer after it has closed its streams and before it ends.
const SHUTDOWN_TIME: Duration = Duration::from_millis(250);
/// The same for an endpoint that leaves, whose end is near.
const LEAVING_SHUTDOWN_TIME: Duration = Duration::from_millis(1_000);
/// Pause between attempts: an endpoint at its limit of connections resets new ones at once.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Connections that are closed at once, after which the endpoint counts as terminated.
const MAX_CLOSED: u32 = 3;

/// What showed that an endpoint runs after it has ended a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndProof {
  /// A connection from before the answer is open.
  OpenConnection,
  /// The endpoint's report on a connection from before the answer.
  EarlierReport,
  /// The endpoint's report on another connection.
  LaterReport,
  /// The endpoint accepts connections.
  Probe,
}

impl fmt::Display for EndProof {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    formatter.write_str(match self {
      Self::OpenConnection => "an open connection from before the answer",
      Self::EarlierReport => "a report on a connection from before the answer",
      Self::LaterReport => "a report on another connection",
      Self::Probe => "a probe",
    })
  }
}

/// Why an end was not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum UnconfirmedEnd {
  /// The endpoint has terminated.
  #[error("its endpoint terminated as the connection ended")]
  Terminated,
  /// The endpoint did not answer.
  #[error("its endpoint did not answer after the connection ended")]
  Unreachable,
  /// The endpoint runs on, and has made further events of the stream.
  #[error("its endpoint has made {events} events, of which {forwarded} arrived")]
  RunAhead { events: u64, forwarded: u64 },
}

impl From<UnconfirmedEnd> for StageError {
  fn from(error: UnconfirmedEnd) -> Self {
    Self::Lost(error.to_string())
  }
}

/// The end of a response that ended with its connection.
#[derive(Clone, Copy)]
pub(crate) struct ConnectionEnd<'a> {
  pub(super) ended_at: Instant,
  pub(super) request_id: &'a str,
  /// The endpoint's entry when the request was sent.
  pub(super) entry: &'a EndpointEntry,
  /// Events of a stream that have arrived, from any of its runs, as far as it is known.
  pub(super) forwarded: Option<u64>,
  pub(super) witness: Option<&'a EndWitness>,
}

impl<'a> ConnectionEnd<'a> {
  /// The end of a response whose connection is gone.
  pub(crate) fn of_former(
    request_id: &'a str,
    entry: &'a EndpointEntry,
    witness: Option<&'a EndWitness>,
    ended_at: Instant,
  ) -> Self {
    Self {
      ended_at,
      entry,
      forwarded: None,
      request_id,
      witness,
    }
  }
}

/// Confirms that an endpoint still runs after it has ended a connection.
pub(crate) async fn confirm_end(
  gateway: &Rc<Gateway>,
  end: ConnectionEnd<'_>,
) -> Result<EndProof, UnconfirmedEnd> {
  let ConnectionEnd {
    entry, request_id, ..
  } = end;
  let found = timeout(MAX_SILENCE, find_liveness(gateway, end)).await;
  let result = found.unwrap_or(Err(UnconfirmedEnd::Unreachable));
  match &result {
    Ok(_) => gateway.counters.ends_confirmed.inc(),
    Err(error) => {
      gateway.counters.ends_unconfirmed.inc();
      log::info!(
        "E519 end not confirmed: {request_id} at {}, {} ms after it: {error}",
        entry.id,
        end.ended_at.elapsed().as_millis()
      );
    }
  }
  result
}

/// Confirms an end that was confirmed before once more, after the time that an engine may need to end: it may close its streams first,
/// and still answer until it closes everything.
pub(crate) async fn confirm_end_again(
  gateway: &Rc<Gateway>,
  end: ConnectionEnd<'_>,
) -> Result<EndProof, UnconfirmedEnd> {
  let shutdown = match is_leaving(gateway, end.entry) {
    true => LEAVING_SHUTDOWN_TIME,
    false => SHUTDOWN_TIME,
  };
  sleep(shutdown.saturating_sub(end.ended_at.elapsed())).await;
  confirm_end(gateway, end).await
}

/// Whether an endpoint leaves, or has left, as far as it is known.
pub(super) fn is_leaving(gateway: &Gateway, entry: &EndpointEntry) -> bool {
  matches!(
    gateway.check(entry),
    Err(Unavailable::Unlisted | Unavailable::ListedAsLeaving | Unavailable::Leaving { .. })
  )
}

async fn find_liveness(
  gateway: &Rc<Gateway>,
  end: ConnectionEnd<'_>,
) -> Result<EndProof, UnconfirmedEnd> {
  let entry = end.entry;
  let backs_off = matches!(gateway.check(entry), Err(Unavailable::BackingOff { .. }));
  let is_engine = entry.role.is_some() && gateway.has_engines(&entry.service);
  let reports = is_engine && !backs_off;
  if let Some(witness) = end.witness
    && let Some(result) = witnessed(gateway, end, witness, reports).await
  {
    return result;
  }
  if is_listed_with_another_start(gateway, entry) {
    return Err(UnconfirmedEnd::Terminated);
  }
  // An idle connection leads to the process that was there before the end, also where new connections fail.
  let mut idle = gateway.pool.take_any_idle(entry, gateway.now_ms());
  let mut closed = 0;
  loop {
    let liveness = match reports {
      true => engine_liveness(gateway, end, idle.take()).await?,
      false => probe(entry.address).await,
    };
    match liveness {
      Liveness::Alive if reports => return Ok(EndProof::LaterReport),
      Liveness::Alive => return Ok(EndProof::Probe),
      Liveness::Terminated => return Err(UnconfirmedEnd::Terminated),
      Liveness::Closing => closed += 1,
      Liveness::Unknown => {}
    }
    // A relay leads to the next process at the address before long.
    if closed == MAX_CLOSED {
      return Err(UnconfirmedEnd::Terminated);
    }
    sleep(RETRY_PAUSE).await;
  }
}

/// What a connection from before the response shows; `None` if it shows nothing.
async fn witnessed(
  gateway: &Gateway,
  end: ConnectionEnd<'_>,
  witness: &EndWitness,
  reports: bool,
) -> Option<Result<EndProof, UnconfirmedEnd>> {
  let state = match reports {
    false => witness.state_after(end.ended_at).await,
    true => match witness.report(end.entry, end.ended_at).await {
      Ok(report) if report.head.status == StatusCode::MISDIRECTED_REQUEST => {
        return Some(Err(UnconfirmedEnd::Terminated));
      }
      Ok(report) => {
        if let Err(error) = check_run(gateway, end, &report) {
          return Some(Err(error));
        }
        WitnessState::Open
      }
      Err(state) => state,
    },
  };
  match state {
    WitnessState::Open if reports => Some(Ok(EndProof::EarlierReport)),
    WitnessState::Open => Some(Ok(EndProof::OpenConnection)),
    // The start of an engine tells whether it closed the connection for a reason of its own.
    WitnessState::ClosedWithAnswer if reports && end.entry.started_ms.is_some() => None,
    WitnessState::ClosedWithAnswer => Some(Err(UnconfirmedEnd::Terminated)),
    WitnessState::Unknown => None,
  }
}

fn is_listed_with_another_start(gateway: &Gateway, entry: &EndpointEntry) -> bool {
  let endpoints = gateway.endpoints.borrow();
  let current = endpoints.entry(&entry.id);
  current.is_some_and(|current| current.started_ms != entry.started_ms)
}

/// Whether an engine runs, by its report on a connection.
async fn engine_liveness(
  gateway: &Rc<Gateway>,
  end: ConnectionEnd<'_>,
  idle: Option<Connection>,
) -> Result<Liveness, UnconfirmedEnd> {
  let entry = end.entry;
  let mut connection = match idle {
    Some(connection) => connection,
    None => match open_connection(gateway, entry).await {
      Ok(connection) => connection,
      Err(StageError::Unsent(_)) => return Ok(Liveness::Terminated),
      Err(_) => return Ok(Liveness::Unknown),
    },
  };
  let report = request_report(gateway, entry, &mut connection);
  let Ok(Ok(report)) = timeout(CALL_TIMEOUT, report).await else {
    return Ok(Liveness::Unknown);
  };
  let liveness = liveness_by_report(gateway, entry, &report);
  if liveness == Liveness::Alive {
    gateway.keep_alive(connection, &report.head.headers);
    check_run(gateway, end, &report)?;
  }
  Ok(liveness)
}

/// Fails when the stream's run has made events that have not arrived. The report is older than the end of the stream, so a run with no
/// further events shows nothing.
fn check_run(
  gateway: &Gateway,
  end: ConnectionEnd<'_>,
  report: &Report,
) -> Result<(), UnconfirmedEnd> {
  let (Some(forwarded), Some(events)) =
    (end.forwarded, report.events_made(gateway, end.request_id))
  else {
    return Ok(());
  };
  if events <= forwarded {
    return Ok(());
  }
  Err(UnconfirmedEnd::RunAhead { events, forwarded })
}

/// Any answer shows that an engine runs, unless it is that of another one or of a later start.
fn liveness_by_report(gateway: &Gateway, entry: &EndpointEntry, report: &Report) -> Liveness {
  if report.head.status == StatusCode::MISDIRECTED_REQUEST {
    return Liveness::Terminated;
  }
  if entry.started_ms.is_none() {
    return Liveness::Alive;
  }
  match report.started_ms(gateway, entry) {
    Ok(None) | Err(_) => Liveness::Unknown,
    Ok(started_ms) if started_ms == entry.started_ms => Liveness::Alive,
    Ok(Some(_)) => Liveness::Terminated,
  }
}
