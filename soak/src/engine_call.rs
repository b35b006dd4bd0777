//! A box's own calls to engines.

use {super::endpoint_kind::EndpointKind, http::Method};

/// A box's own call to an engine. To a plain service it is a request like any other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EngineCall<'a> {
  /// The prompts that the engine caches are listed.
  CachedPrompts,
  /// An exported prompt is released.
  ExportRelease { handle: &'a str },
  /// The engine reports its load.
  LoadReport,
  /// A slot is reserved.
  Reservation,
  /// A reserved slot is released.
  ReservationRelease { id: &'a str },
  /// The engine switches its role.
  RoleCommand,
}

impl<'a> EngineCall<'a> {
  /// The call that a request makes at an endpoint of a kind.
  pub(crate) fn of(kind: EndpointKind, method: &Method, path: &'a str) -> Option<Self> {
    if kind == EndpointKind::Plain {
      return None;
    }
    match (method, path) {
      (&Method::GET, "/kv-list") => Some(Self::CachedPrompts),
      (&Method::GET, "/report") => Some(Self::LoadReport),
      (&Method::POST, "/hold-take") => Some(Self::Reservation),
      (&Method::POST, "/order") => Some(Self::RoleCommand),
      (&Method::DELETE, path) => Self::release(path),
      _ => None,
    }
  }

  fn release(path: &'a str) -> Option<Self> {
    if let Some(id) = path.strip_prefix("/hold-drop/") {
      return Some(Self::ReservationRelease { id });
    }
    let handle = path.strip_prefix("/kv-handle/")?;
    Some(Self::ExportRelease { handle })
  }
}
