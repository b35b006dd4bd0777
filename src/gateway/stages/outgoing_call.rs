//! A request to an endpoint, with the id that distinguishes its answer from those to other calls on the connection.

use {
  super::purpose::Purpose,
  crate::{gateway::connections::AddressedRequest, ids::Name},
};

/// A request to an endpoint.
#[derive(Clone, Debug)]
pub(super) struct OutgoingCall {
  /// The answer repeats it; `None` if the caller sent none.
  pub(super) id: Option<Name>,
  pub(super) purpose: Purpose,
  pub(super) request: AddressedRequest,
}
