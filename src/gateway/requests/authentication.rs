//! Authenticates callers by API key.

use {
  super::response::LocalReply,
  crate::{
    bearer_key::BearerKey,
    gateway::{
      decisions::RETRY_AFTER_NO_CONFIGURATION_MS,
      edge::{Organisation, Organisations, Route, RouteTable},
      state::Gateway,
    },
  },
  http::{HeaderMap, header::AUTHORIZATION},
  std::rc::Rc,
};

/// Finds the organisation that a request's key belongs to, and removes the key: endpoints receive the organisation's name
/// instead. `None` when the configuration has no organisations, or when the route allows anonymous callers and there is no key.
pub(super) fn authenticate(
  gateway: &Gateway,
  table: &RouteTable,
  route: &Route,
  headers: &mut HeaderMap,
) -> Result<Option<Rc<Organisation>>, LocalReply> {
  let Some(organisations) = table.organisations() else {
    return Ok(None);
  };
  let holder = holder(organisations, route, BearerKey::read(headers));
  headers.remove(AUTHORIZATION);
  holder.map_err(|error| reject(gateway, table, route, error))
}

/// Why a request could not be authenticated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AuthError {
  /// It has no readable key, and its route requires one.
  NoKey,
  /// Its key belongs to no organisation.
  UnknownKey,
  /// It has more than one key.
  SeveralKeys,
}

fn holder(
  organisations: &Organisations,
  route: &Route,
  key: BearerKey,
) -> Result<Option<Rc<Organisation>>, AuthError> {
  match key {
    BearerKey::Absent if route.allows_anonymous => Ok(None),
    BearerKey::Absent | BearerKey::Malformed => Err(AuthError::NoKey),
    BearerKey::Ambiguous => Err(AuthError::SeveralKeys),
    BearerKey::Present(key) => match organisations.holder(key) {
      Some(organisation) => Ok(Some(organisation.clone())),
      None => Err(AuthError::UnknownKey),
    },
  }
}

/// Rejects a request that could not be authenticated. While the box is out of contact with the store, a newer configuration may
/// contain an unknown key.
fn reject(gateway: &Gateway, table: &RouteTable, route: &Route, error: AuthError) -> LocalReply {
  let current = gateway.is_current();
  log::info!(
    "E607 caller rejected: {error:?} on route {} in configuration {}, current {current}",
    route.name,
    table.version()
  );
  match error {
    AuthError::SeveralKeys => LocalReply::Malformed,
    AuthError::UnknownKey if !current => LocalReply::NotRun {
      retry_after_ms: RETRY_AFTER_NO_CONFIGURATION_MS,
    },
    AuthError::NoKey | AuthError::UnknownKey => LocalReply::Unauthorised,
  }
}
