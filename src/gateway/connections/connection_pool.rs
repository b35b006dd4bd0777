//! Connections that rest between requests.

use {
  super::connection::Connection,
  crate::ids::Name,
  http::{HeaderMap, header::CONNECTION},
  std::{cell::RefCell, collections::HashMap},
};

/// How long a connection may rest when its endpoint does not say; one that does gets twice that at the most.
const REST_MS: u64 = 4_000;
/// A connection is not used when its endpoint may be closing it at this moment.
const REST_MARGIN_MS: u64 = 1_000;

/// The connections that rest, newest last.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
  resting: RefCell<HashMap<Name, Vec<Connection>>>,
}

impl ConnectionPool {
  /// The connection that rested for the shortest time.
  pub(crate) fn take(&self, endpoint: &str, now_ms: u64) -> Option<Connection> {
    let mut resting = self.resting.borrow_mut();
    let connections = resting.get_mut(endpoint)?;
    connections.retain(|connection| connection.is_usable(now_ms));
    connections.pop()
  }

  /// Lets a connection rest whose answer came whole, unless `most` rest already; `headers` are that answer's.
  pub(crate) fn put(
    &self,
    mut connection: Connection,
    headers: &HeaderMap,
    most: usize,
    now_ms: u64,
  ) {
    let Some(rest_ms) = rest_ms(headers) else {
      return;
    };
    connection.good_until_ms = now_ms + rest_ms;
    let mut resting = self.resting.borrow_mut();
    let connections = resting.entry(connection.endpoint.clone()).or_default();
    if connections.len() < most {
      connections.push(connection);
    }
  }

  /// Closes the connections of an endpoint.
  pub(crate) fn close(&self, endpoint: &str) {
    self.resting.borrow_mut().remove(endpoint);
  }

  /// Closes the connections that have rested for too long.
  pub(crate) fn close_old(&self, now_ms: u64) {
    self.resting.borrow_mut().retain(|_, connections| {
      connections.retain(|connection| connection.is_usable(now_ms));
      !connections.is_empty()
    });
  }
}

/// How long a connection may rest after an answer; nothing when it ends with it.
fn rest_ms(headers: &HeaderMap) -> Option<u64> {
  let closes = headers
    .get_all(CONNECTION)
    .iter()
    .filter_map(|value| value.to_str().ok())
    .any(|value| value.to_ascii_lowercase().contains("close"));
  if closes {
    return None;
  }
  let told_ms = headers
    .get("keep-alive")
    .and_then(|value| value.to_str().ok())
    .and_then(|text| {
      text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))
    })
    .and_then(|seconds| seconds.trim().parse::<u64>().ok())
    .map(|seconds| seconds.saturating_mul(1_000));
  let rest_ms = told_ms.map_or(REST_MS, |told_ms| {
    told_ms.saturating_sub(REST_MARGIN_MS).min(REST_MS * 2)
  });
  (rest_ms > 0).then_some(rest_ms)
}
