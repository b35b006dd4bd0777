//! Confirms that an engine is the listed incarnation: one that restarts under its id may have another version, and the list lags.

use {
  super::{
    call_request::{CALL_TIMEOUT, MAX_RESPONSE_BYTES, build_call},
    purpose::Purpose,
    send_call::send_call,
    stage_error::StageError,
  },
  crate::{
    bounded_body::buffer_body,
    gateway::{
      connections::{Connection, closes_connection},
      decisions::{Unavailable, VersionEvidence},
      edge::{DecodeError, EndpointEntry, RunReport},
      state::Gateway,
    },
  },
  bytes::Bytes,
  http::{StatusCode, response},
  std::{fmt::Display, rc::Rc},
  tokio::time::timeout,
};

/// Whether nothing is left to confirm on a connection. Entries without a start, and plain services, have none to confirm: their
/// processes are observed instead.
pub(super) fn has_confirmed_start(connection: &Connection, entry: &EndpointEntry) -> bool {
  !entry.confirms_start() || connection.confirmed_start_ms == entry.started_ms
}

/// On which evidence the process behind a connection has the version in an entry.
pub(super) fn version_evidence(
  gateway: &Gateway,
  entry: &EndpointEntry,
  connection: &Connection,
) -> VersionEvidence {
  if entry.confirms_start() && connection.confirmed_start_ms == entry.started_ms {
    return VersionEvidence::Start;
  }
  let Some(process) = &connection.process else {
    return VersionEvidence::None { observed_ms: 0 };
  };
  let endpoints = gateway.endpoints.borrow();
  endpoints.version_evidence(entry, process, gateway.now_ms())
}

/// What happens to a connection after the report on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AfterReport {
  /// It may be used.
  Open,
  /// The engine closes it.
  Closed,
  /// The response was no report, so the start is not confirmed.
  Unreadable,
}

/// Has an engine report its start on a connection, which outlives no restart. Fails when it reports another start than the listed
/// one, none, or nothing in time; a report that can't be decoded neither fails nor confirms.
pub(super) async fn confirm_start(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  connection: &mut Connection,
) -> Result<AfterReport, StageError> {
  let report = request_report(gateway, entry, connection);
  let Ok(report) = timeout(CALL_TIMEOUT, report).await else {
    gateway.record_unreached(entry);
    return Err(StageError::Unreachable);
  };
  let report = report?;
  let Ok(reported_ms) = report.started_ms(gateway, entry) else {
    return Ok(AfterReport::Unreadable);
  };
  let head = &report.head;
  if reported_ms != entry.started_ms {
    log::info!(
      "E518 start not confirmed: {} reports {reported_ms:?} with status {}, listed {}",
      entry.id,
      head.status,
      entry.start_text()
    );
    let unavailable = reported_ms.map_or(Unavailable::Unconfirmed, |_| Unavailable::Restarted);
    return Err(unavailable.into());
  }
  connection.confirmed_start_ms = entry.started_ms;
  if closes_connection(&head.headers) {
    return Ok(AfterReport::Closed);
  }
  Ok(AfterReport::Open)
}

/// Reads an engine's report on a connection, unless it is known whether its reports name a start that the entry does not. Fails when
/// they do, since such an entry may be that of another process.
pub(super) async fn learn_reported_start(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  connection: &mut Connection,
) -> Result<AfterReport, StageError> {
  let mut after = AfterReport::Open;
  let wants_report = gateway
    .endpoints
    .borrow()
    .wants_report(entry, gateway.now_ms());
  if wants_report && gateway.has_engines(&entry.service) {
    let report = timeout(CALL_TIMEOUT, request_report(gateway, entry, connection)).await;
    let is_readable = matches!(&report, Ok(Ok(report)) if report.head.status == StatusCode::OK);
    if !is_readable {
      let mut endpoints = gateway.endpoints.borrow_mut();
      endpoints.record_unread_report(&entry.id, gateway.now_ms());
    }
    let report = report.map_err(|_| StageError::Unreachable)??;
    if closes_connection(&report.head.headers) {
      after = AfterReport::Closed;
    }
  }
  if gateway.endpoints.borrow().lacks_start(entry) {
    return Err(Unavailable::Unconfirmed.into());
  }
  Ok(after)
}

/// The response to a request for an engine's report.
pub(super) struct Report {
  pub(super) head: response::Parts,
  body: Bytes,
}

/// Requests an engine's report on a connection.
pub(super) async fn request_report(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  connection: &mut Connection,
) -> Result<Report, StageError> {
  let unsent = |error: &dyn Display| StageError::Unsent(error.to_string());
  let call = gateway.codec.report_call();
  let call = build_call(gateway, entry, call, Purpose::Report).map_err(|error| unsent(&error))?;
  let response = send_call(gateway, entry, connection, call)
    .await
    .map_err(|error| unsent(&error))?;
  let (head, body) = response.into_parts();
  let read = buffer_body(body, MAX_RESPONSE_BYTES).await;
  let body = read.map_err(|error| unsent(&error))?;
  let report = Report { head, body };
  report.record_start(gateway, entry);
  Ok(report)
}

impl Report {
  /// The events that a request's run has made, if the report lists it.
  pub(super) fn events_made(&self, gateway: &Gateway, request_id: &str) -> Option<u64> {
    let report = gateway.codec.report(&self.body).ok()?;
    let of_request = |run: &&RunReport| &*run.request_id == request_id;
    report.runs.iter().find(of_request).map(|run| run.events)
  }

  /// Records whether the report names a start.
  fn record_start(&self, gateway: &Gateway, entry: &EndpointEntry) {
    if self.head.status != StatusCode::OK {
      return;
    }
    let now_ms = gateway.now_ms();
    let mut endpoints = gateway.endpoints.borrow_mut();
    match gateway.codec.report(&self.body) {
      Ok(report) => endpoints.record_reported_start(&entry.id, report.started_ms),
      Err(_) => endpoints.record_unread_report(&entry.id, now_ms),
    }
  }

  /// The start in the report; `None` when the engine rejects it, or when it holds none.
  pub(super) fn started_ms(
    &self,
    gateway: &Gateway,
    entry: &EndpointEntry,
  ) -> Result<Option<u64>, DecodeError> {
    if self.head.status != StatusCode::OK {
      return Ok(None);
    }
    let report = gateway.codec.report(&self.body);
    report
      .map(|report| report.started_ms)
      .inspect_err(|error| log::info!("E561 report not decoded: {}: {error}", entry.id))
  }
}
