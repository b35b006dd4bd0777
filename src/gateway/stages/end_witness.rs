//! A second connection to the endpoint that writes an answer, opened before the answer. It leads to the same process, whose end closes
//! it too, so it tells whether the process outlived an answer that ended with its connection.

use {
  super::{
    incarnation_check::{Report, request_report},
    open_connection::open_connection,
    stage_error::StageError,
  },
  crate::gateway::{
    connections::{Connection, SharedConnection, closes_connection},
    edge::EndpointEntry,
    state::Gateway,
  },
  std::{
    fmt,
    rc::{Rc, Weak},
    time::{Duration, Instant},
  },
  tokio::{task::spawn_local, time::sleep},
};

/// The connections of a process that ends are closed within this time of each other.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(30);
/// A connection that was closed longer before an answer's end was not closed by the end of the process.
const MAX_CLOSED_BEFORE: Duration = Duration::from_millis(100);
/// An endpoint at its limit of connections resets a new one within this time.
const MAX_REJECTED_AGE: Duration = Duration::from_millis(100);

/// What a connection shows after an answer's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WitnessState {
  /// It is open: the process runs.
  Open,
  /// It was closed when the answer ended.
  ClosedWithAnswer,
  /// It was closed for another reason, or has failed.
  Unknown,
}

/// A share in a connection; with the last one, the connection returns to the pool.
#[derive(Clone)]
pub(crate) struct EndWitness {
  gateway: Rc<Gateway>,
  shared: Rc<SharedConnection>,
}

impl fmt::Debug for EndWitness {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    formatter.debug_struct("EndWitness").finish_non_exhaustive()
  }
}

impl Drop for EndWitness {
  fn drop(&mut self) {
    if Rc::strong_count(&self.shared) > 1 {
      return;
    }
    if let Ok(mut connection) = self.shared.try_lock()
      && let Some(connection) = connection.take()
    {
      self.gateway.keep_unused(connection);
    }
  }
}

impl EndWitness {
  /// Shares the connection to an endpoint, or begins to open one.
  pub(super) fn begin(gateway: &Rc<Gateway>, entry: &EndpointEntry) -> Self {
    let current = gateway.shared_connections.get(entry);
    let current = current.filter(|shared| is_open(shared) != Some(false));
    let shared = current.unwrap_or_else(|| {
      let shared = gateway.shared_connections.add(entry);
      spawn_local(open(gateway.clone(), entry.clone(), Rc::downgrade(&shared)));
      shared
    });
    Self {
      gateway: gateway.clone(),
      shared,
    }
  }

  /// Whether it was opened: it shows nothing about an answer whose head arrived before that.
  pub(super) fn was_opened(&self) -> bool {
    // One that is in use was opened.
    let connection = self.shared.try_lock();
    connection.map_or(true, |connection| connection.is_some())
  }

  /// Waits until the end of the process would have closed it.
  pub(super) async fn state_after(&self, ended_at: Instant) -> WitnessState {
    sleep(CLOSE_TIMEOUT).await;
    match &*self.shared.lock().await {
      None => WitnessState::Unknown,
      Some(connection) => state_of(connection, ended_at),
    }
  }

  /// Requests an engine's report on it. `Err` is its state if it brings none.
  pub(super) async fn report(
    &self,
    entry: &EndpointEntry,
    ended_at: Instant,
  ) -> Result<Report, WitnessState> {
    let mut shared = self.shared.lock().await;
    // Taken, so that a call that is cancelled closes it.
    let mut connection = shared.take().ok_or(WitnessState::Unknown)?;
    match request_report(&self.gateway, entry, &mut connection).await {
      Ok(report) => {
        if !closes_connection(&report.head.headers) {
          *shared = Some(connection);
        }
        Ok(report)
      }
      Err(_) => {
        sleep(CLOSE_TIMEOUT).await;
        let state = state_of(&connection, ended_at);
        if state == WitnessState::Open {
          return Err(WitnessState::Unknown);
        }
        *shared = Some(connection);
        Err(state)
      }
    }
  }
}

/// Whether a connection is open; `None` while it is opened or in use.
fn is_open(shared: &SharedConnection) -> Option<bool> {
  let connection = shared.try_lock().ok()?;
  Some(connection.as_ref()?.closed().is_none())
}

fn state_of(connection: &Connection, ended_at: Instant) -> WitnessState {
  let Some(closed) = connection.closed() else {
    return WitnessState::Open;
  };
  let before = ended_at.saturating_duration_since(closed.at);
  let is_rejected = closed.was_reset && closed.age < MAX_REJECTED_AGE;
  if is_rejected && before > CLOSE_TIMEOUT || before > MAX_CLOSED_BEFORE {
    return WitnessState::Unknown;
  }
  WitnessState::ClosedWithAnswer
}

/// Takes an idle connection that the request itself has not taken, or opens one.
async fn open(gateway: Rc<Gateway>, entry: EndpointEntry, shared: Weak<SharedConnection>) {
  let idle = gateway.pool.take_any_idle(&entry, gateway.now_ms());
  let opened = match idle {
    Some(connection) => Ok(connection),
    None => open_connection(&gateway, &entry).await,
  };
  match (opened, shared.upgrade()) {
    (Ok(connection), Some(shared)) => *shared.lock().await = Some(connection),
    (Ok(connection), None) => gateway.keep_unused(connection),
    (Err(error), _) => log_unopened(&entry, &error),
  }
}

fn log_unopened(entry: &EndpointEntry, error: &StageError) {
  log::debug!("second connection to {} not opened: {error}", entry.id);
}
