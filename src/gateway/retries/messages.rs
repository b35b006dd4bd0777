//! Messages between boxes on loans of retries. A box without this feature answers them with 404.

use {
  crate::{
    CallError, HttpClient,
    gateway::{
      connections::{message_response, read_message, send_message, status_response},
      decisions::{LoanAnswer, RetryNeed},
      state::Gateway,
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde::{Deserialize, Serialize},
  std::{net::SocketAddr, time::Duration},
};

/// The path on which a box is asked for a retry.
pub(crate) const LEND_RETRY_PATH: &str = "/retries/lend";
/// The path on which a box gets a retry back that was not sent.
pub(crate) const RETURN_RETRY_PATH: &str = "/retries/return";
/// Limit of a message body: a name and some numbers.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Timeout of a message: a reachable box answers in milliseconds, and within 100 ms when it has used up its CPU quota.
const TIMEOUT: Duration = Duration::from_millis(120);

/// Asks for a retry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct LoanMessage {
  pub(super) service: Name,
  pub(super) need: RetryNeed,
}

/// A retry that its lender counts.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct Loan {
  /// The run of the lender's process.
  incarnation: u64,
  /// When it was lent, on the lender's clock.
  lent_ms: u64,
}

/// Returns a retry that was not sent.
#[derive(Debug, Deserialize, Serialize)]
struct ReturnMessage {
  service: Name,
  loan: Loan,
}

/// Asks a box for a retry.
pub(super) async fn ask_for_retry(
  http: &HttpClient,
  address: SocketAddr,
  message: &LoanMessage,
) -> (LoanAnswer, Option<Loan>) {
  let sent = send_message(http, address, LEND_RETRY_PATH, message, TIMEOUT).await;
  let decoded = sent.and_then(|body| {
    postcard::from_bytes(&body).map_err(|error| CallError::InvalidResponse(error.to_string()))
  });
  match decoded {
    Ok(Some(loan)) => (LoanAnswer::Granted, Some(loan)),
    Ok(None) => (LoanAnswer::Refused, None),
    Err(CallError::Status {
      status: StatusCode::NOT_FOUND,
      ..
    }) => (LoanAnswer::Unsupported, None),
    Err(error) => {
      log::debug!("no retry lent by {address}: {error}");
      (LoanAnswer::Unanswered, None)
    }
  }
}

/// Returns a retry to its lender.
pub(super) async fn send_back(http: HttpClient, address: SocketAddr, service: Name, loan: Loan) {
  let message = ReturnMessage { service, loan };
  if let Err(error) = send_message(&http, address, RETURN_RETRY_PATH, &message, TIMEOUT).await {
    log::debug!("retry not returned to {address}: {error}");
  }
}

/// Lends a retry to another box, if this one can spare it. Responds with 404 where the settings disable loans.
pub(crate) async fn handle_lend_retry(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  if !gateway.settings.mechanisms.retry_loans {
    return status_response(StatusCode::NOT_FOUND);
  }
  match read_message::<LoanMessage>(request, MAX_BODY_BYTES).await {
    Ok(LoanMessage { service, need }) => {
      let lent_ms = gateway.lend_retry(&service, need);
      message_response(&lent_ms.map(|lent_ms| Loan {
        incarnation: gateway.incarnation,
        lent_ms,
      }))
    }
    Err(error) => {
      log::info!("E613 loan of a retry not read: {error}");
      status_response(StatusCode::BAD_REQUEST)
    }
  }
}

/// Takes a retry back that this run of the process has lent.
pub(crate) async fn handle_return_retry(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message::<ReturnMessage>(request, MAX_BODY_BYTES).await {
    Ok(ReturnMessage { service, loan }) => {
      if loan.incarnation == gateway.incarnation {
        gateway.return_retry(&service, loan.lent_ms);
      }
      status_response(StatusCode::OK)
    }
    Err(error) => {
      log::info!("E613 return of a retry not read: {error}");
      status_response(StatusCode::BAD_REQUEST)
    }
  }
}
