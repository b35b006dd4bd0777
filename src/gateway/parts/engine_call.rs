//! The router's own calls to engines: reservations, and freeing what is no longer wanted.

use {
  super::{
    part::{PartError, exchange},
    purpose::Purpose,
  },
  crate::{
    gateway::{
      decisions::{AttemptOutcome, Unavailable},
      edge::{EndpointCall, EndpointEntry, Export},
      permits::{Permit, return_permit},
      state::Gateway,
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{
    Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
  },
  http_body_util::{BodyExt, Full, Limited},
  std::{fmt::Display, rc::Rc, time::Duration},
  tokio::{task::spawn_local, time::timeout},
};

/// An engine answers a call of the router's own within milliseconds.
const CALL_LIMIT: Duration = Duration::from_millis(150);
/// These answers are a few words long.
const MOST_ANSWER_BYTES: usize = 64 * 1024;
/// An export is not handed on when it is about to lapse.
const EXPORT_MARGIN_MS: u64 = 120;

/// Why a call came to nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallFailure {
  /// The engine refused it.
  #[error("status {0}")]
  Refused(StatusCode),
  /// The engine does not answer at all.
  #[error("no answer in time")]
  TimedOut,
  /// The engine is sent nothing now.
  #[error("not sent: {0}")]
  Unavailable(Unavailable),
  /// The engine was not reached, or its answer was lost.
  #[error("{0}")]
  Lost(String),
}

impl CallFailure {
  /// How the work asked for ended, for the endpoint book.
  pub(crate) fn part_end(&self) -> AttemptOutcome {
    match self {
      Self::Refused(_) => AttemptOutcome::Full,
      Self::TimedOut => AttemptOutcome::Unreachable,
      Self::Unavailable(_) => AttemptOutcome::Cancelled,
      Self::Lost(_) => AttemptOutcome::Lost,
    }
  }
}

/// Makes a call within [`CALL_LIMIT`] and answers with the body of a success.
pub(crate) async fn call_engine(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  call: EndpointCall,
  purpose: Purpose,
) -> Result<Bytes, CallFailure> {
  let lost = |error: &dyn Display| CallFailure::Lost(error.to_string());
  let request = build_request(entry, call).map_err(|error| lost(&error))?;
  let answer = async {
    let (connection, response) =
      exchange(gateway, entry, request, purpose)
        .await
        .map_err(|error| match error {
          PartError::Unreachable => CallFailure::TimedOut,
          PartError::Unavailable(unavailable) => CallFailure::Unavailable(unavailable),
          error => lost(&error),
        })?;
    let (head, body) = response.into_parts();
    let read = Limited::new(body, MOST_ANSWER_BYTES).collect().await;
    let body = read.map_err(|error| lost(&error))?.to_bytes();
    gateway.keep_alive(connection, &head.headers);
    match head.status {
      status if status.is_success() => Ok(body),
      status => Err(CallFailure::Refused(status)),
    }
  };
  timeout(CALL_LIMIT, answer)
    .await
    .unwrap_or(Err(CallFailure::TimedOut))
}

fn build_request(entry: &EndpointEntry, call: EndpointCall) -> http::Result<Request<Full<Bytes>>> {
  let mut request = Request::builder()
    .method(call.method)
    .uri(call.path)
    .header(HOST, entry.address.to_string());
  if !call.body.is_empty() {
    request = request.header(CONTENT_TYPE, "application/json");
  }
  let mut request = request.body(Full::new(call.body))?;
  request.headers_mut().extend(call.headers);
  Ok(request)
}

/// A prompt that an engine keeps; freed there unless it was used.
pub(crate) struct KeptExport {
  pub(crate) export: Export,
  gateway: Rc<Gateway>,
  entry: EndpointEntry,
  good_until_ms: u64,
  used: bool,
}

impl KeptExport {
  /// A prompt that an engine has just read and keeps for `ttl_ms`.
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
      good_until_ms: gateway.now_ms() + ttl_ms.saturating_sub(EXPORT_MARGIN_MS),
      gateway: gateway.clone(),
      used: false,
    }
  }

  /// Another engine was sent for it: it is not freed from here.
  pub(crate) fn set_used(&mut self) {
    self.used = true;
  }

  /// Whether another engine can still fetch it.
  pub(crate) fn is_fresh(&self) -> bool {
    self.gateway.now_ms() < self.good_until_ms
  }

  /// The engine that keeps it.
  pub(crate) fn engine(&self) -> &Name {
    &self.entry.id
  }
}

impl Drop for KeptExport {
  fn drop(&mut self) {
    if !self.used {
      let call = self.gateway.dialect.free_export(&self.export.handle);
      free_later(&self.gateway, &self.entry, call);
    }
  }
}

/// A reserved seat; given back unless it was used.
pub(crate) struct Reservation {
  pub(crate) id: Name,
  /// The permit for the request that it is for, until that is sent.
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

  /// A request has used it up.
  pub(crate) fn set_used(&mut self) {
    self.used = true;
  }

  /// The permit, for the request that is sent now: from here on it goes back only if the engine never sees that request.
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
      let call = self.gateway.dialect.free_reservation(&self.id);
      free_later(&self.gateway, &self.entry, call);
    }
  }
}

/// Frees something without holding anybody up; the engine drops it by itself when the call is lost.
fn free_later(gateway: &Rc<Gateway>, entry: &EndpointEntry, call: EndpointCall) {
  let gateway = gateway.clone();
  let entry = entry.clone();
  spawn_local(async move {
    if let Err(error) = call_engine(&gateway, &entry, call, Purpose::GiveBack).await {
      log::info!("E512 not freed at {}: {error}", entry.id);
    }
  });
}
