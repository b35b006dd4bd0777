//! The version at which a stream goes on: that of the process that began it, at engines whose processes are known to have it.

use {
  super::stream_request::{StreamFailure, StreamRequest},
  crate::{
    decide::Role,
    gateway::{
      decisions::{EndpointCriteria, ServiceVersion},
      edge::EndpointEntry,
      stages::{ResponseHead, observe_endpoint},
    },
    ids::Name,
  },
  futures_util::future::join_all,
  std::{collections::BTreeSet, time::Duration},
  tokio::time::sleep,
};

/// Heartbeats for which a stream waits until a version is known: the box's view of the store is updated meanwhile.
const MAX_HEARTBEATS: u64 = 3;
/// Interval at which it is checked whether a version is known.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Engines that are connected to at the same time when none is observed, and how often others are tried.
const MAX_CONNECTED: usize = 2;
const MAX_ROUNDS: u32 = 3;

impl StreamRequest {
  /// A response has begun, whose engine began the stream unless another one did.
  pub(super) fn record_beginning(&mut self, head: &mut ResponseHead) {
    let beside = head.take_beside();
    if self.version.is_some() {
      return;
    }
    match head.process() {
      Some(process) if !head.version_evidence(&self.gateway).is_known() => {
        self.began_at = Some(process.clone());
        self.beside = beside;
      }
      Some(_) | None => self.version = Some(head.entry.version.clone()),
    }
  }

  /// Waits until the version that began the stream is known. A stream that has not begun goes on at any; its engine is remembered,
  /// since a silent one may still begin it.
  pub(super) async fn settle_version(&mut self) -> Result<(), StreamFailure> {
    if self.last_event_id.is_none() {
      return Ok(());
    }
    let Some(process) = self.began_at.clone().filter(|_| self.version.is_none()) else {
      return Ok(());
    };
    let until_ms = self.known_until_ms();
    loop {
      self.gateway.endpoints.borrow().settle_versions();
      if let Some(version) = process.version() {
        self.version = Some(version.clone());
        self.beside = None;
        return Ok(());
      }
      if !process.is_observed() || !self.may_wait(until_ms) {
        return Err(StreamFailure::VersionUnknown);
      }
      sleep(CHECK_INTERVAL).await;
    }
  }

  /// Waits until the version of an engine is known that may go on with the stream, unless there is none of the stream's version.
  pub(super) async fn await_known_engine(&self, role: Option<Role>) {
    let until_ms = self.known_until_ms();
    let mut rounds = 0;
    loop {
      let unknown = self.engines_of_unknown_version(role);
      if unknown.is_empty() || !self.may_wait(until_ms) {
        return;
      }
      let is_observed = {
        let endpoints = self.gateway.endpoints.borrow();
        unknown.iter().any(|entry| endpoints.is_observed(entry))
      };
      if !is_observed && rounds < MAX_ROUNDS {
        rounds += 1;
        let first = (self.gateway.draw() * unknown.len() as f64) as usize;
        let drawn = unknown
          .iter()
          .cycle()
          .skip(first)
          .take(MAX_CONNECTED.min(unknown.len()));
        join_all(drawn.map(|entry| observe_endpoint(&self.gateway, entry))).await;
      }
      sleep(CHECK_INTERVAL).await;
    }
  }

  /// Whether the store has the record under which the stream may begin at an endpoint, or go on.
  pub(super) fn is_recorded(&self, entry: &EndpointEntry) -> bool {
    let resumable_ms = self.request.resumable_ms(self.gateway.now_ms());
    let endpoints = self.gateway.endpoints.borrow();
    endpoints.covering_record(entry, resumable_ms).is_some()
  }

  /// The endpoints that were tried, and those at which the stream must not begin.
  pub(super) fn tried_or_unrecorded(&self) -> Vec<Name> {
    let endpoints = self.gateway.endpoints.borrow();
    let of_service = endpoints
      .entries()
      .filter(|entry| entry.service == self.request.service);
    let unrecorded = of_service.filter(|entry| !self.is_recorded(entry));
    let unrecorded = unrecorded.map(|entry| entry.id.clone());
    self.tried.iter().cloned().chain(unrecorded).collect()
  }

  /// Waits for the record of a version, unless an engine of a recorded one may run the stream.
  pub(super) async fn await_recorded_version(&self, role: Option<Role>) {
    let missing = || self.unrecorded_versions(role);
    // Without a record no engine is chosen.
    let _ = self.gateway.await_version_records(missing).await;
  }

  /// The versions of the engines that may run the stream; none if one of them is recorded.
  fn unrecorded_versions(&self, role: Option<Role>) -> BTreeSet<ServiceVersion> {
    let request = &self.request;
    let now_ms = self.gateway.now_ms();
    let endpoints = self.gateway.endpoints.borrow();
    let may_run = |entry: &&EndpointEntry| {
      entry.service == request.service
        && (role.is_none() || entry.role == role)
        && request.allowed_halls.contains(&entry.hall)
        && self
          .version
          .as_ref()
          .is_none_or(|version| entry.version == *version)
        && !self.tried.contains(&entry.id)
        && endpoints.check(entry, now_ms).is_ok()
    };
    let mut unrecorded = BTreeSet::new();
    for entry in endpoints.entries().filter(may_run) {
      if self.is_recorded(entry) {
        return BTreeSet::new();
      }
      unrecorded.insert(ServiceVersion::of(entry));
    }
    unrecorded
  }

  /// The engines of the stream's version that may have restarted since they were listed; none if one has not, or if any will do.
  fn engines_of_unknown_version(&self, role: Option<Role>) -> Vec<EndpointEntry> {
    let criteria = EndpointCriteria {
      allowed_halls: &self.request.allowed_halls,
      hall: self.gateway.preferred_hall(),
      is_retryable: self.may_retry(),
      role,
      service: &self.request.service,
      size: self.request.expected_tokens().max(1),
      tried: &self.tried,
      version: self.version.as_ref(),
    };
    let now_ms = self.gateway.now_ms();
    let endpoints = self.gateway.endpoints.borrow();
    if self.version.is_none() || endpoints.choose(criteria, now_ms, || 0.0).is_some() {
      return Vec::new();
    }
    endpoints.with_unknown_version(criteria, now_ms)
  }

  fn known_until_ms(&self) -> u64 {
    let heartbeat_ms = self.gateway.settings.endpoints.heartbeat_ms;
    self.gateway.now_ms() + MAX_HEARTBEATS * heartbeat_ms
  }

  /// Whether to wait: without contact with the store no version becomes known.
  fn may_wait(&self, until_ms: u64) -> bool {
    self.gateway.now_ms() < until_ms && self.gateway.is_current()
  }
}
