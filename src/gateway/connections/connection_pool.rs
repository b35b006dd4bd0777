//! The pool of idle connections to endpoints.

use {
  super::connection::Connection,
  crate::{gateway::edge::EndpointEntry, ids::Name},
  http::{HeaderMap, header::CONNECTION},
  std::{cell::RefCell, collections::HashMap},
};

/// Idle timeout when the endpoint sends none; a timeout that it sends is capped at twice this value.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;
/// A connection is not reused this shortly before its endpoint closes it.
const IDLE_MARGIN_MS: u64 = 1_000;

/// The idle connections of each endpoint, the most recently used one last.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
  idle: RefCell<HashMap<Name, Vec<Connection>>>,
}

impl ConnectionPool {
  /// Removes and returns the connection that was idle for the shortest time, of those that have not carried a request of this id.
  pub(crate) fn take_idle(
    &self,
    entry: &EndpointEntry,
    id: Option<&str>,
    now_ms: u64,
  ) -> Option<Connection> {
    self.take_where(entry, now_ms, |connection| !connection.may_have_carried(id))
  }

  /// Removes and returns the connection that was idle for the shortest time, for a call whose id no other call has.
  pub(crate) fn take_any_idle(&self, entry: &EndpointEntry, now_ms: u64) -> Option<Connection> {
    self.take_where(entry, now_ms, |_| true)
  }

  /// Closes the connections to a former address of the endpoint: a process there is not the one that is listed.
  fn take_where(
    &self,
    entry: &EndpointEntry,
    now_ms: u64,
    may_take: impl Fn(&Connection) -> bool,
  ) -> Option<Connection> {
    let mut idle = self.idle.borrow_mut();
    let connections = idle.get_mut(&entry.id)?;
    connections
      .retain(|connection| connection.address == entry.address && connection.is_usable(now_ms));
    let position = connections.iter().rposition(may_take)?;
    Some(connections.remove(position))
  }

  /// Returns a connection after a complete response, unless `max_idle` are idle already; `headers` are that response's.
  pub(crate) fn put_idle(
    &self,
    mut connection: Connection,
    headers: &HeaderMap,
    max_idle: usize,
    now_ms: u64,
  ) {
    let Some(idle_timeout_ms) = idle_timeout_ms(headers) else {
      return;
    };
    connection.reusable_until_ms = now_ms + idle_timeout_ms;
    self.push(connection, max_idle);
  }

  /// Returns a connection that was not used since it was taken, unless `max_idle` are idle already. One that never was may be
  /// idle for as long as after a response that names no time, and may not be ready yet.
  pub(crate) fn put_unused(&self, mut connection: Connection, max_idle: usize, now_ms: u64) {
    if connection.reusable_until_ms == 0 {
      connection.reusable_until_ms = now_ms + DEFAULT_IDLE_TIMEOUT_MS;
    }
    if connection.state.is_open() {
      self.push(connection, max_idle);
    }
  }

  fn push(&self, connection: Connection, max_idle: usize) {
    let mut idle = self.idle.borrow_mut();
    let connections = idle.entry(connection.endpoint.clone()).or_default();
    if connections.len() < max_idle {
      connections.push(connection);
    }
  }

  /// Closes the idle connections of an endpoint.
  pub(crate) fn close(&self, endpoint: &str) {
    self.idle.borrow_mut().remove(endpoint);
  }

  /// Closes the connections that may no longer be reused.
  pub(crate) fn close_expired(&self, now_ms: u64) {
    self.idle.borrow_mut().retain(|_, connections| {
      connections.retain(|connection| connection.is_usable(now_ms));
      !connections.is_empty()
    });
  }
}

/// Whether an endpoint closes the connection after a response.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
  headers
    .get_all(CONNECTION)
    .iter()
    .filter_map(|value| value.to_str().ok())
    .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// How long a connection may be idle after a response; `None` when it is closed.
fn idle_timeout_ms(headers: &HeaderMap) -> Option<u64> {
  if closes_connection(headers) {
    return None;
  }
  let advertised_ms = headers
    .get("keep-alive")
    .and_then(|value| value.to_str().ok())
    .and_then(|text| {
      text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))
    })
    .and_then(|seconds| seconds.trim().parse::<u64>().ok())
    .map(|seconds| seconds.saturating_mul(1_000));
  let idle_timeout_ms = advertised_ms.map_or(DEFAULT_IDLE_TIMEOUT_MS, |advertised_ms| {
    advertised_ms
      .saturating_sub(IDLE_MARGIN_MS)
      .min(DEFAULT_IDLE_TIMEOUT_MS * 2)
  });
  (idle_timeout_ms > 0).then_some(idle_timeout_ms)
}
