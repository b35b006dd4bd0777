//! A request to an endpoint, with the id that distinguishes its answer from those to other calls on the connection.

use {
  super::purpose::Purpose,
  crate::{
    gateway::{connections::AddressedRequest, decisions::StreamKey},
    ids::Name,
  },
  std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc},
};

/// A request to an endpoint.
#[derive(Clone, Debug)]
pub(super) struct OutgoingCall {
  /// The answer repeats it; `None` if the caller sent none.
  pub(super) id: Option<Name>,
  pub(super) purpose: Purpose,
  pub(super) request: AddressedRequest,
  /// The stream that it may begin.
  pub(super) begins: Option<BeginningStream>,
}

/// A stream that a request may begin.
#[derive(Clone, Debug)]
pub(super) struct BeginningStream {
  pub(super) key: StreamKey,
  /// For how long its caller may resume it.
  pub(super) ttl_ms: u64,
  /// The boxes that were asked to hold it.
  pub(super) asked: Rc<RefCell<BTreeSet<SocketAddr>>>,
}
