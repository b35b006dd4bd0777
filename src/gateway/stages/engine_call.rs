//! The gateway's own calls to engines: to reserve batch slots, and to release what is no longer needed.

use {
  super::{
    call_request::{CALL_TIMEOUT, MAX_RESPONSE_BYTES, build_call},
    purpose::Purpose,
    stage::exchange,
    stage_error::StageError,
  },
  crate::{
    bounded_body::buffer_body,
    gateway::{
      decisions::{AttemptOutcome, Unavailable},
      edge::{EndpointCall, EndpointEntry, Export},
      permits::{Permit, return_permit},
      state::Gateway,
    },
    ids::Name,
  },
  bytes::Bytes,
  http::StatusCode,
  std::{fmt::Display, rc::Rc},
  tokio::{task::spawn_local, time::timeout},
};

/// An export is not used this shortly before it expires.
const EXPORT_EXPIRY_MARGIN_MS: u64 = 120;

/// Why a call to an engine failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EngineCallError {
  /// The engine rejected it.
  #[error("status {0}")]
  Rejected(StatusCode),
  /// Another endpoint has its address, or it has another role.
  #[error("misdirected")]
  Misdirected,
  /// The engine did not answer in time.
  #[error("timed out")]
  TimedOut,
  /// The engine may not be sent work now.
  #[error("not sent: {0}")]
  Unavailable(Unavailable),
  /// The connection failed, or the response was invalid.
  #[error("{0}")]
  Lost(String),
}

impl EngineCallError {
  /// The outcome to record for the engine.
  pub(crate) fn outcome(&self) -> AttemptOutcome {
    match self {
      Self::Rejected(_) => AttemptOutcome::Full,
      Self::TimedOut => AttemptOutcome::Unreachable,
      Self::Unavailable(_) => AttemptOutcome::Cancelled,
      Self::Lost(_) | Self::Misdirected => AttemptOutcome::Lost,
    }
  }
}

/// Makes a call within [`CALL_TIMEOUT`] and returns the body of a successful response.
pub(crate) async fn call_engine(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  call: EndpointCall,
  purpose: Purpose,
) -> Result<Bytes, EngineCallError> {
  let lost = |error: &dyn Display| EngineCallError::Lost(error.to_string());
  let call = build_call(gateway, entry, call, purpose).map_err(|error| lost(&error))?;
  let response = async {
    let (connection, response) =
      exchange(gateway, entry, call)
        .await
        .map_err(|error| match error {
          StageError::Unreachable => EngineCallError::TimedOut,
          StageError::Unavailable(unavailable) => EngineCallError::Unavailable(unavailable),
          error => lost(&error),
        })?;
    let (head, body) = response.into_parts();
    let read = buffer_body(body, MAX_RESPONSE_BYTES).await;
    let body = read.map_err(|error| lost(&error))?;
    if head.status == StatusCode::MISDIRECTED_REQUEST {
      return Err(EngineCallError::Misdirected);
    }
    gateway.keep_alive(connection, &head.headers);
    match head.status {
      status if status.is_success() => Ok(body),
      status => Err(EngineCallError::Rejected(status)),
    }
  };
  let result = timeout(CALL_TIMEOUT, response)
    .await
    .unwrap_or(Err(EngineCallError::TimedOut));
  if matches!(result, Err(EngineCallError::TimedOut)) {
    gateway.record_unreached(entry);
  }
  result
}

/// An exported KV cache, released at its engine on drop unless it was used.
pub(crate) struct ExportGuard {
  pub(crate) export: Export,
  gateway: Rc<Gateway>,
  entry: EndpointEntry,
  expires_ms: u64,
  used: bool,
}

impl ExportGuard {
  /// A KV cache that an engine has just computed and retains for `ttl_ms`.
  pub(crate) fn new(
    gateway: &Rc<Gateway>,
    entry: &EndpointEntry,
    handle: Name,
    ttl_ms: u64,
  ) -> Self {
    Self {
      entry: entry.clone(),
      export: Export {
        handle,
        source: entry.address,
      },
      expires_ms: gateway.now_ms() + ttl_ms.saturating_sub(EXPORT_EXPIRY_MARGIN_MS),
      gateway: gateway.clone(),
      used: false,
    }
  }

  /// Another engine fetches it, so it is not released on drop.
  pub(crate) fn set_used(&mut self) {
    self.used = true;
  }

  /// Whether it has not expired, and no other endpoint is listed in place of its engine. An engine whose entry is gone may hold it
  /// still.
  pub(crate) fn is_fresh(&self) -> bool {
    let endpoints = self.gateway.endpoints.borrow();
    let current = endpoints.entry(&self.entry.id);
    self.gateway.now_ms() < self.expires_ms
      && current.is_none_or(|current| current.is_same_endpoint(&self.entry))
  }

  /// The engine that holds it.
  pub(crate) fn engine(&self) -> &Name {
    &self.entry.id
  }
}

impl Drop for ExportGuard {
  fn drop(&mut self) {
    if !self.used {
      let call = self.gateway.codec.release_export_call(&self.export.handle);
      release_in_background(&self.gateway, &self.entry, call);
    }
  }
}

/// A reserved batch slot, released on drop unless it was used.
pub(crate) struct Reservation {
  pub(crate) id: Name,
  /// The permit for the request, until the request is sent.
  permit: Permit,
  gateway: Rc<Gateway>,
  entry: EndpointEntry,
  used: bool,
}

impl Reservation {
  pub(crate) fn new(
    gateway: &Rc<Gateway>,
    entry: &EndpointEntry,
    id: Name,
    permit: Permit,
  ) -> Self {
    Self {
      entry: entry.clone(),
      gateway: gateway.clone(),
      id,
      permit,
      used: false,
    }
  }

  /// A request has consumed it, so it is not released on drop.
  pub(crate) fn set_used(&mut self) {
    self.used = true;
  }

  /// Moves the permit to the request that is sent now.
  pub(crate) fn take_permit(&mut self) -> Permit {
    std::mem::replace(&mut self.permit, Permit::NotNeeded)
  }
}

impl Drop for Reservation {
  fn drop(&mut self) {
    if !self.used {
      if self.permit == Permit::Taken {
        return_permit(&self.gateway, &self.entry);
      }
      let call = self.gateway.codec.release_reservation_call(&self.id);
      release_in_background(&self.gateway, &self.entry, call);
    }
  }
}

/// Releases something in the background. If the call fails, the engine releases it when it expires.
fn release_in_background(gateway: &Rc<Gateway>, entry: &EndpointEntry, call: EndpointCall) {
  let gateway = gateway.clone();
  let entry = entry.clone();
  spawn_local(async move {
    if let Err(error) = call_engine(&gateway, &entry, call, Purpose::Release).await {
      log::info!("E512 not released at {}: {error}", entry.id);
    }
  });
}
