//! A request with the peer that it is for.

use {
  crate::{
    gateway::edge::{EndpointEntry, PlatformCodec},
    ids::Name,
  },
  bytes::Bytes,
  http::{Method, Request, Uri},
  http_body_util::Full,
};

/// A request with the peer that it is for: it is sent on connections to that peer only.
#[derive(Clone, Debug)]
pub(crate) struct AddressedRequest {
  peer: Name,
  request: Request<Full<Bytes>>,
}

impl AddressedRequest {
  /// A request for an endpoint, which it names: another endpoint at the address rejects it.
  pub(crate) fn to_endpoint(
    codec: &dyn PlatformCodec,
    entry: &EndpointEntry,
    mut request: Request<Full<Bytes>>,
  ) -> Self {
    codec.set_expected_endpoint(request.headers_mut(), &entry.id);
    Self {
      peer: entry.id.clone(),
      request,
    }
  }

  /// A request that is forwarded to another box.
  pub(crate) fn to_box(peer: Name, request: Request<Full<Bytes>>) -> Self {
    Self { peer, request }
  }

  pub(super) fn peer(&self) -> &Name {
    &self.peer
  }

  pub(crate) fn method(&self) -> &Method {
    self.request.method()
  }

  pub(crate) fn uri(&self) -> &Uri {
    self.request.uri()
  }

  pub(super) fn into_request(self) -> Request<Full<Bytes>> {
    self.request
  }
}
