//! Whose request it is, by its key.

use {
  super::answer::LocalReply,
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

/// Finds the organisation that holds a request's key, and removes the key: endpoints get the organisation's name instead.
/// Nothing where the configuration has no organisations, or the route is open and the request has no key.
pub(super) fn identify(
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
  holder.map_err(|refusal| refuse(gateway, table, route, refusal))
}

/// Why a request belongs to nobody.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Refusal {
  /// It has no key that can be read, and its route asks for one.
  NoKey,
  /// No organisation holds its key.
  UnknownKey,
  /// It has two keys or more.
  SeveralKeys,
}

fn holder(
  organisations: &Organisations,
  route: &Route,
  key: BearerKey,
) -> Result<Option<Rc<Organisation>>, Refusal> {
  match key {
    BearerKey::Absent if route.allows_anonymous => Ok(None),
    BearerKey::Absent | BearerKey::Unreadable => Err(Refusal::NoKey),
    BearerKey::Several => Err(Refusal::SeveralKeys),
    BearerKey::Given(key) => match organisations.holder(key) {
      Some(organisation) => Ok(Some(organisation.clone())),
      None => Err(Refusal::UnknownKey),
    },
  }
}

/// The answer to a request of nobody. A box that has not heard of changes for a while does not know that a key is wrong.
fn refuse(gateway: &Gateway, table: &RouteTable, route: &Route, refusal: Refusal) -> LocalReply {
  let current = gateway.is_current();
  log::info!(
    "E607 caller refused: {refusal:?} on route {} in configuration {}, current {current}",
    route.name,
    table.version()
  );
  match refusal {
    Refusal::SeveralKeys => LocalReply::Malformed,
    Refusal::UnknownKey if !current => LocalReply::NotRun {
      retry_after_ms: RETRY_AFTER_NO_CONFIGURATION_MS,
    },
    Refusal::NoKey | Refusal::UnknownKey => LocalReply::Unauthorised,
  }
}
